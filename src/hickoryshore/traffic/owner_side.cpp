#include "hickoryshore/traffic/owner_side.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hickoryshore {

namespace {

/// Kept back from each deadline, so that the reply is at the entry before it gives up.
constexpr Duration replyTransitTime = std::chrono::milliseconds(1);

/// A shard that was not asked for during this time is no longer polled.
constexpr Duration shardIdleTime = std::chrono::seconds(30);

/// Connections that an owner opens to a replica for each of its slots: one in use, one that still waits for the reply
/// to a cancelled attempt.
constexpr int connectionsPerSlot = 2;

/// Connections beyond those: cancellation and health.
constexpr int spareConnections = 2;

/// A round trip grows by at most one part in so many with each measurement, so that one slow reply counts little.
constexpr int roundTripGrowth = 20;

/// A change by less than one part in so many is not told to the scheduler.
constexpr int roundTripTolerance = 30;

std::string pendingKey(const Origin &origin, std::uint64_t id)
{
    return origin.routingId + '\0' + std::to_string(id);
}

int connectionLimit(const RoutingView &view, const ShardPlace &place)
{
    const Index &index = *place.index;
    const std::size_t vms = view.members == nullptr ? 1 : std::max<std::size_t>(1, view.members->members.size());
    // Each region with a replica has an owner of its own, and one of them may be changing hands.
    const std::size_t owners = std::max<std::size_t>(1, regionsOf(view, *place.shard).size()) + 1;
    const int sharers = static_cast<int>(index.routing == Routing::Direct ? vms : owners);
    const int budget = std::max(1, index.connectionsPerReplica / sharers);
    return std::min(budget, connectionsPerSlot * index.slotsPerReplica + spareConnections);
}

AttemptReply attemptReplyOf(const UpstreamReply &reply)
{
    return {.code = reply.code,
            .inFlight = reply.report.inFlight,
            .draining = reply.report.draining,
            .coldStart = reply.report.coldStart,
            .snapshotsHeld = reply.report.snapshotsHeld};
}

} // namespace

OwnerSide::OwnerSide(std::string attemptPrefix, OwnerHooks hooks, Metrics &metrics)
    : attemptPrefix(std::move(attemptPrefix)), hooks(std::move(hooks)), metrics(metrics)
{ }

void OwnerSide::setDirectory(Instant now, ShardDirectory &newDirectory)
{
    this->directory = &newDirectory;
    std::vector<ShardId> idleAndGone;
    for (auto &[name, owned] : this->shards) {
        const ShardPlace place = newDirectory.find(name);
        if (place.shard == nullptr) {
            if (owned.scheduler.inFlight() == 0 && owned.scheduler.queued() == 0) {
                idleAndGone.push_back(name);
            }
            continue;
        }
        owned.scheduler.update(now, this->settingsOf(place), this->actions);
        this->perform(now, name, nullptr);
        for (const Replica &replica : place.shard->replicas) {
            this->hooks.limitConnections(replica.address, connectionLimit(newDirectory.view(), place));
        }
    }
    for (const ShardId &name : idleAndGone) {
        this->shards.erase(name);
    }
}

ShardSettings OwnerSide::settingsOf(const ShardPlace &place) const
{
    const RoutingView &view = this->directory->view();
    ShardSettings settings;
    settings.shard = place.shard->name;
    settings.replyTransitTime = replyTransitTime;
    for (const Replica &replica : place.shard->replicas) {
        const DataCentre *dataCentre = findDataCentre(*view.deployment, replica.dataCentre.value);
        const bool sameRegion = dataCentre == nullptr || dataCentre->region == view.region;
        const auto roundTrip = this->roundTrips.find(replica.address);
        ReplicaSettings replicaSettings;
        replicaSettings.id = replica.address;
        replicaSettings.slots = place.index->slotsPerReplica;
        replicaSettings.roundTrip = roundTrip == this->roundTrips.end() ? Duration(0) : roundTrip->second;
        replicaSettings.draining = isDeclaredDraining(view, replica);
        replicaSettings.sameRegion = sameRegion;
        settings.replicas.push_back(std::move(replicaSettings));
    }
    for (const Caller &caller : view.deployment->callers) {
        settings.callers.push_back({caller.name, caller.weight});
    }
    const Policy *policy = findPolicy(*view.deployment, place.index->policy.value);
    if (policy != nullptr) {
        settings.hedgePercentile = policy->hedgePercentile;
        settings.hedgeBudget = policy->hedgeBudget;
        settings.retryBudget = policy->retryBudget;
        settings.maximumQueue = policy->maximumQueue;
    }
    return settings;
}

OwnerSide::OwnedShard *OwnerSide::openShard(Instant now, const ShardId &name)
{
    const ShardPlace place = this->directory == nullptr ? ShardPlace{} : this->directory->find(name);
    if (place.shard == nullptr) {
        return nullptr;
    }
    const auto known = this->shards.find(name);
    if (known != this->shards.end()) {
        known->second.lastUsed = now;
        return &known->second;
    }
    const RoutingView &view = this->directory->view();
    for (const Replica &replica : place.shard->replicas) {
        this->hooks.limitConnections(replica.address, connectionLimit(view, place));
    }
    const std::uint64_t seed = std::hash<ShardId>{}(name);
    OwnedShard owned{place.index->name, ShardScheduler(this->settingsOf(place), seed), now};
    return &this->shards.emplace(name, std::move(owned)).first->second;
}

void OwnerSide::onSubRequest(Instant now, const Origin &origin, const wire::SubRequestMessage &message)
{
    std::string key = pendingKey(origin, message.id());
    if (this->pendingByOrigin.contains(key)) {
        return;
    }
    const ShardId shard{message.shard()};
    OwnedShard *owned = this->openShard(now, shard);
    if (owned == nullptr) {
        this->refuse(origin, message, ResultCode::NotOwner);
        return;
    }
    const SubRequestId id{++this->lastSubRequest};
    this->pendingByOrigin.emplace(key, id);
    this->pending.emplace(id, PendingSubRequest{origin, std::move(key), message, now});
    owned->scheduler.submit(now,
                            {.id = id,
                             .caller = {message.caller()},
                             .arrival = now,
                             .deadline = now + std::chrono::milliseconds(message.remaining_ms()),
                             .idempotent = message.idempotent(),
                             .snapshot = {message.snapshot()}},
                            this->actions);
    this->perform(now, shard, nullptr);
}

void OwnerSide::onCancel(Instant now, const Origin &origin, std::span<const std::uint64_t> ids)
{
    for (const std::uint64_t entryId : ids) {
        const auto known = this->pendingByOrigin.find(pendingKey(origin, entryId));
        if (known == this->pendingByOrigin.end()) {
            continue;
        }
        const SubRequestId id = known->second;
        const ShardId shard{this->pending.at(id).message.shard()};
        this->pendingByOrigin.erase(known);
        this->pending.erase(id);
        this->shards.at(shard).scheduler.cancel(now, id, this->actions);
        this->perform(now, shard, nullptr);
    }
}

void OwnerSide::onUpstreamReply(Instant now, const ShardId &shard, AttemptId attempt, const UpstreamReply &reply)
{
    const auto owned = this->shards.find(shard);
    if (owned == this->shards.end()) {
        return;
    }
    owned->second.scheduler.onReply(now, attempt, attemptReplyOf(reply), this->actions);
    this->perform(now, shard, &reply);
}

void OwnerSide::onHealth(const ShardId &shard, const ReplicaId &replica, const UpstreamReport &report)
{
    const auto owned = this->shards.find(shard);
    if (owned != this->shards.end()) {
        owned->second.scheduler.markDraining(replica, report.draining);
    }
}

void OwnerSide::onRoundTrip(Instant now, const ShardId &shard, const ReplicaId &replica, Duration roundTrip)
{
    const auto owned = this->shards.find(shard);
    const ShardPlace place = this->directory->find(shard);
    if (owned == this->shards.end() || place.shard == nullptr) {
        return;
    }
    const auto [known, isNew] = this->roundTrips.try_emplace(replica, roundTrip);
    const Duration before = known->second;
    known->second = std::min(roundTrip, before + before / roundTripGrowth);
    const bool changed = std::abs((known->second - before).count()) > before.count() / roundTripTolerance;
    if (isNew || changed) {
        owned->second.scheduler.update(now, this->settingsOf(place), this->actions);
        this->perform(now, shard, nullptr);
    }
}

void OwnerSide::onTimer(Instant now)
{
    for (auto &[name, owned] : this->shards) {
        const std::optional<Instant> due = owned.scheduler.nextTimer();
        if (due.has_value() && *due <= now) {
            owned.scheduler.onTimer(now, this->actions);
            this->perform(now, name, nullptr);
        }
    }
}

std::optional<Instant> OwnerSide::nextTimer() const
{
    std::optional<Instant> next;
    for (const auto &[name, owned] : this->shards) {
        const std::optional<Instant> due = owned.scheduler.nextTimer();
        if (due.has_value() && (!next.has_value() || *due < *next)) {
            next = due;
        }
    }
    return next;
}

std::vector<ReplicaInUse> OwnerSide::replicasInUse(Instant now) const
{
    std::vector<ReplicaInUse> replicas;
    for (const auto &[name, owned] : this->shards) {
        if (now - owned.lastUsed > shardIdleTime) {
            continue;
        }
        for (const ReplicaView &replica : owned.scheduler.replicas()) {
            replicas.push_back({name, replica.id});
        }
    }
    return replicas;
}

std::size_t OwnerSide::queued() const
{
    std::size_t total = 0;
    for (const auto &[name, owned] : this->shards) {
        total += owned.scheduler.queued();
    }
    return total;
}

std::size_t OwnerSide::inFlight() const
{
    return this->pending.size();
}

void OwnerSide::perform(Instant now, const ShardId &shard, const UpstreamReply *current)
{
    // Taken out first: a hook may lead back here.
    std::vector<ShardAction> taken;
    taken.swap(this->actions);
    for (const ShardAction &action : taken) {
        if (const auto *dispatched = std::get_if<DispatchAction>(&action)) {
            this->dispatch(shard, *dispatched);
        } else if (const auto *cancelled = std::get_if<CancelAction>(&action)) {
            this->metrics.count(Count::Cancellations);
            this->hooks.cancel(cancelled->replica,
                               this->attemptPrefix + shard.value + '.' + std::to_string(cancelled->attempt.value));
        } else {
            this->answer(now, shard, std::get<AnswerAction>(action), current);
        }
    }
}

void OwnerSide::dispatch(const ShardId &shard, const DispatchAction &action)
{
    this->metrics.count(Count::Attempts);
    if (action.reason == AttemptReason::Hedge) {
        this->metrics.count(Count::Hedges);
    } else if (action.reason != AttemptReason::First) {
        this->metrics.countRetry(action.retryCause);
    }
    const wire::SubRequestMessage &message = this->pending.at(action.subRequest).message;
    UpstreamCall call;
    call.shard = shard;
    call.attempt = action.attempt;
    call.replica = action.replica;
    call.proven = action.provenConnection;
    call.request = {.attemptId = this->attemptPrefix + shard.value + '.' + std::to_string(action.attempt.value),
                    .requestId = {message.request_id()},
                    .index = {message.index()},
                    .shard = shard,
                    .query = message.query(),
                    .snapshot = {message.snapshot()},
                    .remaining = action.remaining,
                    .idempotent = message.idempotent()};
    this->hooks.call(std::move(call));
}

void OwnerSide::answer(Instant now, const ShardId &shard, const AnswerAction &action, const UpstreamReply *current)
{
    const auto found = this->pending.find(action.subRequest);
    if (found == this->pending.end()) {
        return;
    }
    this->metrics.countSubAnswer(action.code);
    wire::SubReplyMessage reply;
    reply.set_id(found->second.message.id());
    reply.set_result_code(static_cast<int>(action.code));
    reply.set_shard(shard.value);
    reply.set_retry_after_ms(static_cast<std::uint32_t>(ceilMilliseconds(action.retryAfter)));
    reply.set_attempts(static_cast<std::uint32_t>(action.attempts));
    reply.set_owner_micros(static_cast<std::uint32_t>((now - found->second.arrival).count()));
    for (const SnapshotId &snapshot : this->shards.at(shard).scheduler.snapshotsHeld()) {
        reply.add_snapshots_held(snapshot.value);
    }
    if (action.code == ResultCode::Ok && current != nullptr) {
        reply.set_payload(current->result);
        reply.set_snapshot(current->snapshot.value);
        reply.set_layout(current->report.layout);
    }
    const Origin origin = found->second.origin;
    this->pendingByOrigin.erase(found->second.originKey);
    this->pending.erase(found);
    this->hooks.reply(origin, std::move(reply));
}

void OwnerSide::refuse(const Origin &origin, const wire::SubRequestMessage &message, ResultCode code)
{
    this->metrics.countSubAnswer(code);
    wire::SubReplyMessage reply;
    reply.set_id(message.id());
    reply.set_result_code(static_cast<int>(code));
    reply.set_shard(message.shard());
    this->hooks.reply(origin, std::move(reply));
}

} // namespace hickoryshore
