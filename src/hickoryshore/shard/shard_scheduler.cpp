#include "hickoryshore/shard/shard_scheduler.h"

#include "scheduler_state.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

ShardScheduler::ShardScheduler(ShardSettings settings, std::uint64_t seed)
    : state(std::make_unique<State>(std::move(settings), seed))
{ }

ShardScheduler::~ShardScheduler() = default;
ShardScheduler::ShardScheduler(ShardScheduler &&) noexcept = default;
ShardScheduler &ShardScheduler::operator=(ShardScheduler &&) noexcept = default;

void ShardScheduler::submit(Instant now, const SubRequest &subRequest, std::vector<ShardAction> &actions)
{
    this->state->lastEventAt = now;
    this->state->submit(now, subRequest, actions);
}

void ShardScheduler::onReply(Instant now,
                             AttemptId attempt,
                             const AttemptReply &reply,
                             std::vector<ShardAction> &actions)
{
    this->state->lastEventAt = now;
    this->state->onReply(now, attempt, reply, actions);
}

void ShardScheduler::cancel(Instant now, SubRequestId subRequest, std::vector<ShardAction> &actions)
{
    this->state->lastEventAt = now;
    this->state->cancel(now, subRequest, actions);
}

void ShardScheduler::onTimer(Instant now, std::vector<ShardAction> &actions)
{
    this->state->lastEventAt = now;
    this->state->onTimer(now, actions);
}

std::optional<Instant> ShardScheduler::nextTimer() const
{
    return this->state->timers.next();
}

void ShardScheduler::update(Instant now, ShardSettings settings, std::vector<ShardAction> &actions)
{
    this->state->lastEventAt = now;
    this->state->update(now, std::move(settings), actions);
}

void ShardScheduler::markDraining(const ReplicaId &replica, bool draining)
{
    if (ReplicaState *known = this->state->replicas.find(replica)) {
        known->drain.signalled = draining;
        this->state->scheduleQueueCheck();
    }
}

std::vector<SnapshotId> ShardScheduler::snapshotsHeld() const
{
    std::vector<SnapshotId> held;
    for (const ReplicaState &replica : this->state->replicas.all()) {
        if (replica.isUsable(this->state->lastEventAt)) {
            held.insert(held.end(), replica.snapshots.held.begin(), replica.snapshots.held.end());
        }
    }
    std::ranges::sort(held);
    held.erase(std::unique(held.begin(), held.end()), held.end());
    return held;
}

std::vector<ReplicaView> ShardScheduler::replicas() const
{
    std::vector<ReplicaView> views;
    const Instant now = this->state->lastEventAt;
    for (const ReplicaState &replica : this->state->replicas.all()) {
        ReplicaView view{.id = replica.settings.id,
                         .inFlight = replica.inFlight,
                         .recentLatency = Duration(std::llround(replica.latency.value)),
                         .draining = replica.drain.isDraining(now),
                         .ejected = replica.health.isEjected(now)};
        if (!replica.snapshots.held.empty()) {
            view.oldestSnapshot = replica.snapshots.held.front();
            view.newestSnapshot = replica.snapshots.held.back();
        }
        views.push_back(std::move(view));
    }
    return views;
}

std::size_t ShardScheduler::queued() const
{
    return this->state->queue.size();
}

std::size_t ShardScheduler::inFlight() const
{
    return this->state->attempts.size();
}

} // namespace hickoryshore
