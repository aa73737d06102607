// ZeroMQ connections between VMs. Frames to one VM are gathered and go out together.
#pragma once

#include "hickoryshore/metrics/metrics.h"
#include "hickoryshore/wire/frame.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace zmq {
class context_t;
class socket_t;
} // namespace zmq

namespace hickoryshore {

/// A VM that frames go to: its endpoint and the process that is meant.
struct PeerAddress
{
    std::string endpoint; ///< "tcp://ip:port"
    std::uint64_t processId = 0; ///< Zero where it is not known.

    auto operator<=>(const PeerAddress &) const = default;
};

/// What comes in. `routingId` addresses the answer where a frame came as a request, and is empty for replies.
struct PeerSocketHooks
{
    std::function<void(const std::string &routingId, const wire::Frame &)> onRequests;
    std::function<void(const wire::Frame &)> onReplies;
    std::function<void(const PeerAddress &)> onUnreachable;
};

/// One bound socket for requests to this VM, and one connecting socket for requests to all others. Not thread-safe.
///
///     PeerSocket socket(context, "tcp://127.0.0.1:18002", "vm-1", processId, hooks, metrics);
///     socket.toPeer(address).add_sub_requests()->set_id(1);
///     socket.flush();
class PeerSocket
{
public:
    /// Binds. Throws zmq::error_t.
    PeerSocket(zmq::context_t &context,
               const std::string &endpoint,
               std::string vm,
               std::uint64_t processId,
               PeerSocketHooks hooks,
               Metrics &metrics);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    /// The frame that goes to this VM with the next flush().
    wire::Frame &toPeer(const PeerAddress &address);

    /// The frame that goes back to the sender of a request with the next flush().
    wire::Frame &toSender(const std::string &routingId);

    /// Whether anything is gathered.
    bool hasOutgoing() const;

    /// Sends everything gathered.
    void flush();

    /// Receives what has come, and calls the hooks.
    void receiveRequests();
    void receiveReplies();

    /// Closes the connection to this VM; the next frame goes over a new one.
    void reconnect(const PeerAddress &address);

    /// Closes the connections to VMs that are not in this list.
    void keepOnly(const std::vector<PeerAddress> &addresses);

    /// The sockets, for the poll.
    void *requestsHandle();
    void *repliesHandle();

private:
    void receive(zmq::socket_t &socket, const std::function<void(const std::string &, const wire::Frame &)> &take);
    bool send(zmq::socket_t &socket, const std::string &routingId, wire::Frame &frame);
    const std::string &connect(const std::string &endpoint);

    std::string vm;
    std::uint64_t processId;
    PeerSocketHooks hooks;
    Metrics &metrics;
    std::unique_ptr<zmq::socket_t> bound;
    std::unique_ptr<zmq::socket_t> connecting;
    std::unordered_map<std::string, std::string> connected; ///< Routing ids by endpoint.
    std::uint64_t connections = 0; ///< Made so far.
    std::map<PeerAddress, wire::Frame> outgoing;
    std::map<std::string, wire::Frame> answers;
};

} // namespace hickoryshore
