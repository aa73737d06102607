#include "relay.h"

#include "hickoryshore/clock/clock.h"
#include "socket_owner.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

constexpr int pollMs = 10;
constexpr int backlog = 128;
constexpr Duration identifyTimeout = std::chrono::seconds(1);
constexpr std::size_t largestDatagram = 65536;

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        throw std::system_error(EINVAL, std::generic_category(), ip);
    }
    return address;
}

/// Opens a socket that does not block, bound to the address.
int openBound(int type, const RelayedAddress &to)
{
    const int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(to.address, to.port);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::system_error(errno, std::generic_category(), "relay at " + to.address);
    }
    return descriptor;
}

void sendAtOnce(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

Relay::Relay()
    : thread([this] {
          this->run();
      })
{ }

Relay::~Relay()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->thread.join();
    for (RelayConnection &connection : this->connections) {
        closeEnds(connection);
    }
    for (const TcpListener &listener : this->listeners) {
        close(listener.descriptor);
    }
    for (const UdpSocket &udp : this->sockets) {
        close(udp.descriptor);
    }
}

void Relay::relayTcp(const RelayedAddress &to, const std::optional<Party> &source)
{
    const int descriptor = openBound(SOCK_STREAM, to);
    if (listen(descriptor, backlog) != 0) {
        throw std::system_error(errno, std::generic_category(), "relay at " + to.address);
    }
    const std::lock_guard lock(this->mutex);
    this->listeners.push_back({descriptor, to, source});
}

void Relay::relayUdp(const RelayedAddress &to)
{
    const int descriptor = openBound(SOCK_DGRAM, to);
    const std::lock_guard lock(this->mutex);
    this->sockets.push_back({descriptor, to.party, socketAddress(to.target, to.port)});
}

void Relay::sendFrom(const Party &party, const std::string &address)
{
    const std::lock_guard lock(this->mutex);
    this->sourceAddresses[party] = address;
}

void Relay::setProcess(const Party &party, int processId)
{
    const std::lock_guard lock(this->mutex);
    this->processes[party] = processId;
}

void Relay::cutOneWay(const std::set<Party> &from, const std::set<Party> &to)
{
    const std::lock_guard lock(this->mutex);
    for (const Party &sender : from) {
        for (const Party &receiver : to) {
            this->cuts.emplace(sender, receiver);
        }
    }
}

void Relay::cut(const std::set<Party> &one, const std::set<Party> &other)
{
    this->cutOneWay(one, other);
    this->cutOneWay(other, one);
}

void Relay::heal()
{
    const std::lock_guard lock(this->mutex);
    this->cuts.clear();
}

int Relay::silenceConnections(const std::set<Party> &one, const std::set<Party> &other)
{
    return this->forEachBetween(one, other, [](RelayConnection &connection) {
        connection.silent = true;
    });
}

int Relay::resetConnections(const std::set<Party> &one, const std::set<Party> &other)
{
    return this->forEachBetween(one, other, [](RelayConnection &connection) {
        for (const int descriptor : connection.descriptors) {
            const linger atOnce{.l_onoff = 1, .l_linger = 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        }
        closeEnds(connection);
    });
}

/// Changes the connections between the two groups that still pass something on; returns how many.
int Relay::forEachBetween(const std::set<Party> &one,
                          const std::set<Party> &other,
                          const std::function<void(RelayConnection &)> &change)
{
    const std::lock_guard lock(this->mutex);
    int count = 0;
    for (RelayConnection &connection : this->connections) {
        const auto &[opener, target] = connection.parties;
        const bool between
            = (one.contains(opener) && other.contains(target)) || (other.contains(opener) && one.contains(target));
        if (between && !connection.silent) {
            change(connection);
            ++count;
        }
    }
    return count;
}

bool Relay::isCut(const Party &from, const Party &to) const
{
    return this->cuts.contains({from, to});
}

std::array<bool, 2> Relay::cutsOf(const RelayConnection &connection) const
{
    const auto &[opener, target] = connection.parties;
    return {this->isCut(opener, target), this->isCut(target, opener)};
}

void Relay::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        std::vector<pollfd> polled;
        for (const TcpListener &listener : this->listeners) {
            polled.push_back({listener.descriptor, POLLIN, 0});
        }
        for (const UdpSocket &udp : this->sockets) {
            polled.push_back({udp.descriptor, POLLIN, 0});
        }
        for (const RelayConnection &connection : this->connections) {
            for (std::size_t end = 0; end < 2; ++end) {
                const bool idle = connection.silent || connection.descriptors[1] < 0;
                polled.push_back(idle ? pollfd{-1, 0, 0} : pollOf(connection, end, this->cutsOf(connection)));
            }
        }
        const std::size_t listenerCount = this->listeners.size();
        const std::size_t socketCount = this->sockets.size();
        lock.unlock();
        poll(polled.data(), polled.size(), pollMs);
        lock.lock();
        this->serveAll(polled, listenerCount, socketCount);
    }
}

void Relay::serveAll(std::span<const pollfd> polled, std::size_t listenerCount, std::size_t socketCount)
{
    const std::span<const pollfd> ends = polled.subspan(listenerCount + socketCount);
    for (std::size_t number = 0; 2 * number < ends.size(); ++number) {
        this->serve(this->connections[number], {ends[2 * number], ends[2 * number + 1]});
    }
    std::erase_if(this->connections, [](const RelayConnection &connection) {
        return connection.descriptors[0] < 0;
    });
    for (std::size_t number = 0; number < socketCount; ++number) {
        if (polled[listenerCount + number].revents != 0) {
            this->relayDatagrams(this->sockets[number]);
        }
    }
    for (std::size_t number = 0; number < listenerCount; ++number) {
        if (polled[number].revents != 0) {
            this->accept(this->listeners[number]);
        }
    }
}

void Relay::serve(RelayConnection &connection, const std::array<pollfd, 2> &polled)
{
    if (connection.silent || connection.descriptors[0] < 0) {
        return;
    }
    if (connection.descriptors[1] < 0) {
        this->connect(connection);
        return;
    }
    const std::array<bool, 2> cut = this->cutsOf(connection);
    passOn(connection, polled, cut);
    if (hasEnded(connection, cut)) {
        closeEnds(connection);
    }
}

void Relay::accept(const TcpListener &listener)
{
    const int descriptor = accept4(listener.descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    sendAtOnce(descriptor);
    RelayConnection connection;
    connection.descriptors[0] = descriptor;
    connection.parties = {listener.source.value_or(""), listener.to.party};
    connection.target = listener.to.target;
    connection.port = listener.to.port;
    connection.giveUpAt = monotonicNow() + identifyTimeout;
    this->connections.push_back(std::move(connection));
    this->connect(this->connections.back());
}

std::optional<Party> Relay::openerOf(const RelayConnection &connection) const
{
    sockaddr_in opener{};
    sockaddr_in accepted{};
    socklen_t size = sizeof(opener);
    getpeername(connection.descriptors[0], reinterpret_cast<sockaddr *>(&opener), &size);
    getsockname(connection.descriptors[0], reinterpret_cast<sockaddr *>(&accepted), &size);
    const std::optional<std::uint64_t> inode = findSocketInode(opener, accepted);
    for (const auto &[party, processId] : this->processes) {
        if (inode.has_value() && holdsSocket(processId, *inode)) {
            return party;
        }
    }
    return std::nullopt;
}

void Relay::connect(RelayConnection &connection)
{
    if (connection.parties[0].empty()) {
        connection.parties[0] = this->openerOf(connection).value_or("");
    }
    if (connection.parties[0].empty()) {
        if (monotonicNow() > connection.giveUpAt) {
            closeEnds(connection);
        }
        return;
    }
    const std::array<bool, 2> cut = this->cutsOf(connection);
    if (cut[0] || cut[1]) {
        return; // A handshake needs both ways.
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sendAtOnce(descriptor);
    const auto source = this->sourceAddresses.find(connection.parties[0]);
    if (source != this->sourceAddresses.end()) {
        const sockaddr_in local = socketAddress(source->second, 0);
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0) {
            throw std::system_error(errno, std::generic_category(), "relay from " + source->second);
        }
    }
    const sockaddr_in target = socketAddress(connection.target, connection.port);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    connection.descriptors[1] = descriptor;
    if (result != 0 && errno != EINPROGRESS) {
        closeEnds(connection);
    }
}

void Relay::relayDatagrams(const UdpSocket &to)
{
    std::array<char, largestDatagram> buffer;
    sockaddr_in sender{};
    socklen_t size = sizeof(sender);
    auto *senderAddress = reinterpret_cast<sockaddr *>(&sender);
    while (true) {
        const ssize_t count = recvfrom(to.descriptor, buffer.data(), buffer.size(), 0, senderAddress, &size);
        if (count < 0) {
            return;
        }
        const auto from = std::ranges::find_if(this->sockets, [&sender](const UdpSocket &udp) {
            return udp.target.sin_addr.s_addr == sender.sin_addr.s_addr && udp.target.sin_port == sender.sin_port;
        });
        if (from == this->sockets.end() || this->isCut(from->party, to.party)) {
            continue;
        }
        const auto *target = reinterpret_cast<const sockaddr *>(&to.target);
        sendto(from->descriptor, buffer.data(), static_cast<std::size_t>(count), 0, target, sizeof(to.target));
    }
}

} // namespace hickoryshore
