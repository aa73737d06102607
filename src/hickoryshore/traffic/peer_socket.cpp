#include "hickoryshore/traffic/peer_socket.h"

#include <unordered_set>
#include <utility>

#include <zmq.hpp>

namespace hickoryshore {

namespace {

constexpr int heartbeatMs = 1000;
constexpr int heartbeatTimeoutMs = 3000;
constexpr int reconnectMs = 20;
constexpr int longestReconnectMs = 500;
constexpr int framesQueuedPerPeer = 10000;

/// Frames taken in one round, so that timers are not kept waiting by a flood.
constexpr int framesPerRound = 256;

std::unique_ptr<zmq::socket_t> makeRouter(zmq::context_t &context)
{
    auto socket = std::make_unique<zmq::socket_t>(context, zmq::socket_type::router);
    socket->set(zmq::sockopt::linger, 0);
    socket->set(zmq::sockopt::sndhwm, framesQueuedPerPeer);
    socket->set(zmq::sockopt::rcvhwm, framesQueuedPerPeer);
    socket->set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(largestFrame));
    // A connection that went silent is replaced, also while nothing is sent over it.
    socket->set(zmq::sockopt::heartbeat_ivl, heartbeatMs);
    socket->set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
    socket->set(zmq::sockopt::reconnect_ivl, reconnectMs);
    socket->set(zmq::sockopt::reconnect_ivl_max, longestReconnectMs);
    // Sending to a peer that is not connected fails instead of losing the frame unseen.
    socket->set(zmq::sockopt::router_mandatory, true);
    return socket;
}

} // namespace

PeerSocket::PeerSocket(zmq::context_t &context,
                       const std::string &endpoint,
                       std::string vm,
                       std::uint64_t processId,
                       PeerSocketHooks hooks,
                       Metrics &metrics)
    : vm(std::move(vm)),
      processId(processId),
      hooks(std::move(hooks)),
      metrics(metrics),
      bound(makeRouter(context)),
      connecting(makeRouter(context))
{
    this->bound->bind(endpoint);
}

PeerSocket::~PeerSocket() = default;

wire::Frame &PeerSocket::toPeer(const PeerAddress &address)
{
    return this->outgoing[address];
}

wire::Frame &PeerSocket::toSender(const std::string &routingId)
{
    return this->answers[routingId];
}

bool PeerSocket::hasOutgoing() const
{
    return !this->outgoing.empty() || !this->answers.empty();
}

void PeerSocket::flush()
{
    std::vector<PeerAddress> unreachable;
    for (auto &[address, frame] : this->outgoing) {
        const std::string &routingId = this->connect(address.endpoint);
        frame.set_to_process_id(address.processId);
        if (!this->send(*this->connecting, routingId, frame)) {
            unreachable.push_back(address);
        }
    }
    this->outgoing.clear();
    for (auto &[routingId, frame] : this->answers) {
        // An entry VM that is gone needs no answer.
        this->send(*this->bound, routingId, frame);
    }
    this->answers.clear();
    for (const PeerAddress &address : unreachable) {
        this->hooks.onUnreachable(address);
    }
}

bool PeerSocket::send(zmq::socket_t &socket, const std::string &routingId, wire::Frame &frame)
{
    frame.set_from_vm(this->vm);
    try {
        const std::string bytes = encodeFrame(frame);
        // The first part stays with the socket until the second one completes the message.
        if (!socket.send(zmq::buffer(routingId), zmq::send_flags::sndmore | zmq::send_flags::dontwait).has_value()) {
            return false;
        }
        socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        this->metrics.count(Count::FramesSent);
        this->metrics.count(Count::BytesSent, bytes.size());
        return true;
    } catch (const FrameError &error) {
        this->metrics.countBadInput(error.code);
    } catch (const zmq::error_t &) {
        // Not connected, by router_mandatory.
    }
    return false;
}

const std::string &PeerSocket::connect(const std::string &endpoint)
{
    const auto [place, isNew] = this->connected.try_emplace(endpoint);
    if (isNew) {
        // Never a routing id anew: ZeroMQ ends the process where a closing connection still has it.
        place->second = endpoint + '#' + std::to_string(++this->connections);
        this->connecting->set(zmq::sockopt::connect_routing_id, place->second);
        this->connecting->connect(endpoint);
    }
    return place->second;
}

void PeerSocket::reconnect(const PeerAddress &address)
{
    if (this->connected.erase(address.endpoint) > 0) {
        this->connecting->disconnect(address.endpoint);
    }
}

void PeerSocket::keepOnly(const std::vector<PeerAddress> &addresses)
{
    std::unordered_set<std::string> kept;
    for (const PeerAddress &address : addresses) {
        kept.insert(address.endpoint);
    }
    std::erase_if(this->connected, [this, &kept](const auto &connection) {
        if (kept.contains(connection.first)) {
            return false;
        }
        this->connecting->disconnect(connection.first);
        return true;
    });
}

void PeerSocket::receiveRequests()
{
    this->receive(*this->bound, [this](const std::string &routingId, const wire::Frame &frame) {
        this->hooks.onRequests(routingId, frame);
    });
}

void PeerSocket::receiveReplies()
{
    this->receive(*this->connecting, [this](const std::string & /*routingId*/, const wire::Frame &frame) {
        this->hooks.onReplies(frame);
    });
}

void PeerSocket::receive(zmq::socket_t &socket,
                         const std::function<void(const std::string &, const wire::Frame &)> &take)
{
    for (int count = 0; count < framesPerRound; ++count) {
        zmq::message_t routingId;
        if (!socket.recv(routingId, zmq::recv_flags::dontwait).has_value()) {
            return;
        }
        zmq::message_t last;
        bool more = routingId.more();
        while (more) {
            static_cast<void>(socket.recv(last, zmq::recv_flags::none));
            more = last.more();
        }
        this->metrics.count(Count::FramesReceived);
        this->metrics.count(Count::BytesReceived, last.size());
        try {
            const wire::Frame frame = decodeFrame(last.to_string_view());
            const bool forFormerProcess = frame.to_process_id() != 0 && frame.to_process_id() != this->processId;
            if (!forFormerProcess) {
                take(routingId.to_string(), frame);
            }
        } catch (const FrameError &error) {
            this->metrics.countBadInput(error.code);
        }
    }
}

void *PeerSocket::requestsHandle()
{
    return this->bound->handle();
}

void *PeerSocket::repliesHandle()
{
    return this->connecting->handle();
}

} // namespace hickoryshore
