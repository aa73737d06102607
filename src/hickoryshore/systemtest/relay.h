// Stands between the processes of a test fleet and cuts them off from each other.
//
// A real cut drops packets; a relay of streams holds the bytes back instead, as the sender's system does while its
// packets are lost, and passes them on after the heal. A new connection made during a cut hangs.
#pragma once

#include "relay_connection.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <netinet/in.h>

namespace hickoryshore {

/// One address at which a party is reached, and where it really listens. The port is the same.
struct RelayedAddress
{
    Party party;
    std::string address; ///< IP number on which the relay listens.
    std::string target; ///< IP number on which the party listens.
    int port = 0;
};

/// Relays TCP and UDP on a thread of its own until it goes.
///
///     Relay relay;
///     relay.relayTcp({"vm-0", "127.51.4.1", "127.51.1.1", 18002});
///     relay.cut({"vm-0"}, {"vm-1", "vm-2"});
class Relay
{
public:
    Relay();
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Relays connections to the address. Their source is the party whose process holds the other end, or `source`
    /// where it is given. Throws std::system_error.
    void relayTcp(const RelayedAddress &to, const std::optional<Party> &source = std::nullopt);

    /// Relays datagrams between all the addresses given so far. A party sends from its target address, and its
    /// datagrams arrive as from its relayed one. Throws std::system_error.
    void relayUdp(const RelayedAddress &to);

    /// Makes the connections that the party opens from now on reach their targets from this IP number.
    void sendFrom(const Party &party, const std::string &address);

    /// Tells which process a party is from now on.
    void setProcess(const Party &party, int processId);

    /// Drops what goes from one party to another, until heal().
    void cutOneWay(const std::set<Party> &from, const std::set<Party> &to);

    /// Cuts both ways.
    void cut(const std::set<Party> &one, const std::set<Party> &other);

    /// Ends all cuts. Connections that went silent stay so.
    void heal();

    /// Makes the connections that are open now between the two groups silent for good; new ones work. Returns how many.
    int silenceConnections(const std::set<Party> &one, const std::set<Party> &other);

    /// Resets the connections that are open now between the two groups. Returns how many.
    int resetConnections(const std::set<Party> &one, const std::set<Party> &other);

private:
    struct TcpListener
    {
        int descriptor = -1;
        RelayedAddress to;
        std::optional<Party> source;
    };

    struct UdpSocket
    {
        int descriptor = -1;
        Party party;
        sockaddr_in target{};
    };

    void run();
    void serveAll(std::span<const pollfd> polled, std::size_t listenerCount, std::size_t socketCount);
    void accept(const TcpListener &listener);
    void connect(RelayConnection &connection);
    std::optional<Party> openerOf(const RelayConnection &connection) const;
    std::array<bool, 2> cutsOf(const RelayConnection &connection) const;
    void serve(RelayConnection &connection, const std::array<pollfd, 2> &polled);
    void relayDatagrams(const UdpSocket &to);
    bool isCut(const Party &from, const Party &to) const;
    int forEachBetween(const std::set<Party> &one,
                       const std::set<Party> &other,
                       const std::function<void(RelayConnection &)> &change);

    std::mutex mutex; ///< Held except while the thread waits.
    bool stopping = false;
    std::vector<TcpListener> listeners;
    std::vector<UdpSocket> sockets;
    std::vector<RelayConnection> connections;
    std::map<Party, int> processes;
    std::map<Party, std::string> sourceAddresses;
    std::set<std::pair<Party, Party>> cuts; ///< From, to.
    std::thread thread;
};

} // namespace hickoryshore
