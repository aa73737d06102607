#include "hickoryshore/traffic/traffic_loop.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/traffic/owner_side.h"
#include "hickoryshore/traffic/peer_socket.h"

#include <deque>
#include <optional>
#include <utility>

#include <zmq.hpp>

namespace hickoryshore {

namespace {

constexpr Duration healthPeriod = std::chrono::seconds(1);
constexpr Duration healthTimeout = std::chrono::milliseconds(500);

/// Added to an attempt's remaining time before its connection counts as silent: the scheduler has answered by then.
constexpr Duration connectionGrace = std::chrono::milliseconds(50);

std::string hexadecimal(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += digits[(value >> shift) & 0xF];
    }
    return text;
}

/// A hedge or a retry finds a connection open and does not wait until one is.
UpstreamPoolSettings withSpare(UpstreamPoolSettings settings)
{
    settings.warmSpare = true;
    return settings;
}

std::optional<PeerAddress> addressOf(const RoutingView &view, const VmId &vm)
{
    const Member *member = view.members == nullptr ? nullptr : findMember(*view.members, vm);
    if (member == nullptr) {
        return std::nullopt;
    }
    return PeerAddress{"tcp://" + member->address + ':' + std::to_string(member->peerPort), member->processId};
}

} // namespace

struct TrafficLoop::State
{
    State(TrafficSettings settings, TrafficHooks hooks, Metrics &metrics);

    OwnerHooks ownerHooks();
    EntryHooks entryHooks();
    PeerSocketHooks socketHooks();
    void takeView(std::shared_ptr<const RoutingView> view);
    void takeRequests(const std::string &routingId, const wire::Frame &frame);
    void takeReplies(const wire::Frame &frame);
    void callUpstream(UpstreamCall call);
    void pollHealth();
    void runDue();
    void endRound();
    void wakeAt(std::optional<Instant> due);
    std::optional<VmId> vmAt(const PeerAddress &address) const;

    TrafficSettings settings;
    TrafficHooks hooks;
    EventLoop loop;
    zmq::context_t context;
    UpstreamPool upstream;
    std::shared_ptr<const RoutingView> view;
    std::unique_ptr<ShardDirectory> directory;
    OwnerSide owner;
    EntrySide entry;
    PeerSocket socket;
    std::deque<std::function<void()>> local; ///< What this VM's two sides hand each other.
    Instant wakeUp = Instant::max();
    std::atomic<QueryNumber> lastQuery = 0;
    std::atomic<int> queries = 0;
    std::atomic<int> subRequests = 0;
};

TrafficLoop::State::State(TrafficSettings settings, TrafficHooks hooks, Metrics &metrics)
    : settings(std::move(settings)),
      hooks(std::move(hooks)),
      loop(1),
      upstream(this->loop, withSpare(this->settings.upstream)),
      owner(this->settings.vm.value + '.' + hexadecimal(this->settings.processId) + '.', this->ownerHooks(), metrics),
      entry(this->entryHooks(), metrics),
      socket(this->context,
             this->settings.endpoint,
             this->settings.vm.value,
             this->settings.processId,
             this->socketHooks(),
             metrics)
{
    auto initial = std::make_shared<RoutingView>();
    initial->self = this->settings.vm;
    this->takeView(std::move(initial));
    this->loop.watchSocket(this->socket.requestsHandle(), [this] {
        this->socket.receiveRequests();
    });
    this->loop.watchSocket(this->socket.repliesHandle(), [this] {
        this->socket.receiveReplies();
    });
    this->loop.every(healthPeriod, [this] {
        this->pollHealth();
    });
    this->loop.afterEachRound([this] {
        this->endRound();
    });
}

OwnerHooks TrafficLoop::State::ownerHooks()
{
    OwnerHooks owner;
    owner.reply = [this](const Origin &origin, wire::SubReplyMessage reply) {
        if (!origin.routingId.empty()) {
            *this->socket.toSender(origin.routingId).add_sub_replies() = std::move(reply);
            return;
        }
        this->local.push_back([this, reply = std::move(reply)] {
            this->entry.onSubReply(monotonicNow(), reply);
        });
    };
    owner.call = [this](UpstreamCall call) {
        this->callUpstream(std::move(call));
    };
    owner.cancel = [this](const ReplicaId &replica, const std::string &attemptId) {
        this->upstream.cancel(replica, attemptId);
    };
    owner.limitConnections = [this](const ReplicaId &replica, int connections) {
        this->upstream.limitConnections(replica, connections);
    };
    return owner;
}

EntryHooks TrafficLoop::State::entryHooks()
{
    EntryHooks entry;
    entry.send = [this](const VmId &vm, wire::SubRequestMessage message) {
        const auto address = addressOf(*this->view, vm);
        if (vm == this->settings.vm || !address.has_value()) {
            this->local.push_back([this, message = std::move(message)] {
                this->owner.onSubRequest(monotonicNow(), Origin{}, message);
            });
            return;
        }
        *this->socket.toPeer(*address).add_sub_requests() = std::move(message);
    };
    entry.cancel = [this](const VmId &vm, std::span<const std::uint64_t> ids) {
        const auto address = addressOf(*this->view, vm);
        if (vm == this->settings.vm || !address.has_value()) {
            this->local.push_back([this, copied = std::vector(ids.begin(), ids.end())] {
                this->owner.onCancel(monotonicNow(), Origin{}, copied);
            });
            return;
        }
        wire::CancelMessage *message = this->socket.toPeer(*address).mutable_cancel();
        message->mutable_ids()->Add(ids.begin(), ids.end());
    };
    entry.probe = [this](const VmId &vm) {
        if (const auto address = addressOf(*this->view, vm)) {
            this->socket.toPeer(*address).mutable_heartbeat()->set_sequence(1);
        }
    };
    entry.reconnect = [this](const VmId &vm) {
        if (const auto address = addressOf(*this->view, vm)) {
            this->socket.reconnect(*address);
        }
    };
    return entry;
}

PeerSocketHooks TrafficLoop::State::socketHooks()
{
    PeerSocketHooks socketHooks;
    socketHooks.onRequests = [this](const std::string &routingId, const wire::Frame &frame) {
        this->takeRequests(routingId, frame);
    };
    socketHooks.onReplies = [this](const wire::Frame &frame) {
        this->takeReplies(frame);
    };
    socketHooks.onUnreachable = [this](const PeerAddress &address) {
        if (const auto vm = this->vmAt(address)) {
            this->entry.onPeerLost(monotonicNow(), *vm);
        }
    };
    return socketHooks;
}

std::optional<VmId> TrafficLoop::State::vmAt(const PeerAddress &address) const
{
    if (this->view->members == nullptr) {
        return std::nullopt;
    }
    for (const Member &member : this->view->members->members) {
        if (addressOf(*this->view, member.vm) == address) {
            return member.vm;
        }
    }
    return std::nullopt;
}

void TrafficLoop::State::takeView(std::shared_ptr<const RoutingView> newView)
{
    const std::shared_ptr<const RoutingView> former = std::exchange(this->view, std::move(newView));
    if (former != nullptr && routesAlike(*former, *this->view)) {
        // Ranking the owners of all shards anew is the dearest part of a change of view.
        return;
    }
    auto newDirectory = std::make_unique<ShardDirectory>(this->view);
    const Instant now = monotonicNow();
    this->owner.setDirectory(now, *newDirectory);
    this->entry.setDirectory(*newDirectory);
    this->directory = std::move(newDirectory);
    if (this->view->members == nullptr) {
        return;
    }
    std::vector<PeerAddress> kept;
    for (const Member &member : this->view->members->members) {
        if (member.state != MemberState::Dead) {
            kept.push_back(*addressOf(*this->view, member.vm));
        } else if (former != nullptr && former->members != nullptr) {
            const Member *before = findMember(*former->members, member.vm);
            if (before != nullptr && before->state != MemberState::Dead) {
                this->entry.onPeerLost(now, member.vm);
            }
        }
    }
    this->socket.keepOnly(kept);
}

void TrafficLoop::State::takeRequests(const std::string &routingId, const wire::Frame &frame)
{
    const Instant now = monotonicNow();
    const Origin origin{routingId};
    if (frame.has_heartbeat()) {
        this->socket.toSender(routingId).mutable_heartbeat()->set_reply(true);
    }
    for (const wire::SubRequestMessage &message : frame.sub_requests()) {
        this->owner.onSubRequest(now, origin, message);
    }
    if (frame.has_cancel()) {
        this->owner.onCancel(
            now, origin, {frame.cancel().ids().data(), static_cast<std::size_t>(frame.cancel().ids_size())});
    }
    for (const wire::LedgerCall &call : frame.ledger_calls()) {
        this->hooks.onLedgerCall(call, [this, routingId](wire::LedgerReply reply) {
            this->loop.post([this, routingId, reply = std::move(reply)] {
                *this->socket.toSender(routingId).add_ledger_replies() = reply;
            });
        });
    }
    if (frame.has_config_fetch()) {
        this->hooks.onConfigFetch(frame.config_fetch(), [this, routingId](wire::ConfigChunks chunks) {
            this->loop.post([this, routingId, chunks = std::move(chunks)] {
                *this->socket.toSender(routingId).mutable_config_chunks() = chunks;
            });
        });
    }
}

void TrafficLoop::State::takeReplies(const wire::Frame &frame)
{
    const Instant now = monotonicNow();
    const VmId from{frame.from_vm()};
    this->entry.onHeard(now, from);
    for (const wire::SubReplyMessage &message : frame.sub_replies()) {
        this->entry.onSubReply(now, message);
    }
    for (const wire::LedgerReply &reply : frame.ledger_replies()) {
        this->hooks.onLedgerReply(from, reply);
    }
    if (frame.has_config_chunks()) {
        this->hooks.onConfigChunks(from, frame.config_chunks());
    }
}

void TrafficLoop::State::callUpstream(UpstreamCall call)
{
    const Duration timeout = call.request.remaining + connectionGrace;
    auto completion = [this, shard = call.shard, attempt = call.attempt](const UpstreamReply &reply) {
        this->owner.onUpstreamReply(monotonicNow(), shard, attempt, reply);
    };
    this->upstream.call(call.replica, std::move(call.request), timeout, call.proven, std::move(completion));
}

void TrafficLoop::State::pollHealth()
{
    for (const ReplicaInUse &inUse : this->owner.replicasInUse(monotonicNow())) {
        const Instant sentAt = monotonicNow();
        this->upstream.readHealth(inUse.replica, healthTimeout, [this, inUse, sentAt](const UpstreamReport *report) {
            if (report == nullptr) {
                return;
            }
            const Instant now = monotonicNow();
            this->owner.onHealth(inUse.shard, inUse.replica, *report);
            this->owner.onRoundTrip(now, inUse.shard, inUse.replica, now - sentAt);
        });
    }
}

void TrafficLoop::State::runDue()
{
    const Instant now = monotonicNow();
    this->owner.onTimer(now);
    this->entry.onTimer(now);
}

void TrafficLoop::State::endRound()
{
    this->runDue();
    // Sending may show a peer to be unreachable, which gives further work to hand on.
    while (!this->local.empty() || this->socket.hasOutgoing()) {
        while (!this->local.empty()) {
            const auto next = std::move(this->local.front());
            this->local.pop_front();
            next();
        }
        this->socket.flush();
    }
    this->queries = static_cast<int>(this->entry.inFlight());
    this->subRequests = static_cast<int>(this->owner.inFlight());
    this->wakeAt(this->owner.nextTimer());
    this->wakeAt(this->entry.nextTimer());
}

void TrafficLoop::State::wakeAt(std::optional<Instant> due)
{
    if (!due.has_value() || *due >= this->wakeUp) {
        return;
    }
    this->wakeUp = *due;
    this->loop.after(*due - monotonicNow(), [this, at = *due] {
        if (this->wakeUp == at) {
            this->wakeUp = Instant::max();
        }
    });
}

TrafficLoop::TrafficLoop(TrafficSettings settings, TrafficHooks hooks, Metrics &metrics)
    : state(std::make_unique<State>(std::move(settings), std::move(hooks), metrics))
{ }

TrafficLoop::~TrafficLoop() = default;

void TrafficLoop::setView(std::shared_ptr<const RoutingView> view)
{
    this->state->loop.post([state = this->state.get(), view = std::move(view)] {
        state->takeView(view);
    });
}

QueryNumber TrafficLoop::submit(QueryRequest request, QueryCompletion completion)
{
    const QueryNumber number = ++this->state->lastQuery;
    this->state->loop.post(
        [state = this->state.get(), number, request = std::move(request), completion = std::move(completion)] {
            state->entry.submit(monotonicNow(), number, request, completion);
        });
    return number;
}

void TrafficLoop::abandon(QueryNumber number)
{
    this->state->loop.post([state = this->state.get(), number] {
        state->entry.abandon(monotonicNow(), number);
    });
}

void TrafficLoop::fetchConfig(const VmId &vm, wire::ConfigFetch fetch)
{
    this->state->loop.post([state = this->state.get(), vm, fetch = std::move(fetch)] {
        if (const auto address = addressOf(*state->view, vm)) {
            *state->socket.toPeer(*address).mutable_config_fetch() = fetch;
        }
    });
}

void TrafficLoop::callLedger(const VmId &vm, wire::LedgerCall call)
{
    this->state->loop.post([state = this->state.get(), vm, call = std::move(call)] {
        if (const auto address = addressOf(*state->view, vm)) {
            *state->socket.toPeer(*address).add_ledger_calls() = call;
        }
    });
}

int TrafficLoop::queriesInFlight() const
{
    return this->state->queries;
}

int TrafficLoop::subRequestsInFlight() const
{
    return this->state->subRequests;
}

UpstreamPoolCounts TrafficLoop::upstreamCounts() const
{
    return this->state->upstream.counts();
}

void TrafficLoop::run()
{
    this->state->loop.run();
}

void TrafficLoop::stop()
{
    this->state->loop.stop();
}

} // namespace hickoryshore
