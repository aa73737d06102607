#include "scheduler_state.h"

#include "hickoryshore/shard/retry_policy.h"

#include <algorithm>

namespace hickoryshore {

namespace {

/// Part of the hedge budget that is kept for urgent hedges.
constexpr double budgetKeptForUrgent = 0.875;
/// While nothing is known of the latencies, a hedge is sent after this part of the time remaining.
constexpr int firstHedgeDivisor = 3;
/// Part of the retry budget's reserve below which retries are scarce.
constexpr double plentifulRetries = 0.5;
/// Of one sub-request, probes not counted.
constexpr int maximumHedges = 3;
/// Further hedges follow each other after this part of the hedge delay.
constexpr int furtherHedgeDivisor = 2;

} // namespace

void ShardScheduler::State::dispatchWaiting(Instant now, std::vector<ShardAction> &actions)
{
    this->hedgeOverdue(now, true, actions);
    this->dispatchQueue(now, actions);
    this->dispatchLast(now, actions);
    if (this->queue.size() == 0) {
        this->hedgeOverdue(now, false, actions);
    }
}

std::optional<ReplicaNumber> ShardScheduler::State::replicaFor(Instant now,
                                                               const PendingSubRequest &waiting,
                                                               double waitingBefore)
{
    return chooseReplica(this->replicas.all(),
                         now,
                         {.snapshot = waiting.subRequest.snapshot,
                          .tried = waiting.tried,
                          .retriesScarce = !this->retryBudget.canSpend(plentifulRetries),
                          .waitingBefore = waitingBefore,
                          .randomChoice = this->random()});
}

void ShardScheduler::State::dispatchQueue(Instant now, std::vector<ShardAction> &actions)
{
    std::vector<SnapshotId> unservable; ///< First attempts pinned to these find no slot now.
    while (this->queue.size() > 0) {
        std::optional<ReplicaNumber> replica;
        const auto next = this->queue.next([this, now, &replica, &unservable](SubRequestId id) {
            const PendingSubRequest &waiting = this->pending.at(id);
            const bool first = waiting.tried.empty();
            if (first && std::ranges::find(unservable, waiting.subRequest.snapshot) != unservable.end()) {
                return false;
            }
            const auto chosen = this->replicaFor(now, waiting, 0.0);
            if (!chosen && first) {
                unservable.push_back(waiting.subRequest.snapshot);
            }
            replica = chosen ? chosen : replica;
            return chosen.has_value();
        });
        if (!next) {
            return;
        }
        this->startQueued(now, *next, *replica, actions);
    }
}

/// Gives a slow replica that is free the sub-request that would wait longest.
void ShardScheduler::State::dispatchLast(Instant now, std::vector<ShardAction> &actions)
{
    const std::optional<SubRequestId> last = this->queue.last();
    if (!last) {
        return;
    }
    const auto before = static_cast<double>(this->queue.size() - 1);
    if (const auto replica = this->replicaFor(now, this->pending.at(*last), before)) {
        this->startQueued(now, *last, *replica, actions);
    }
}

void ShardScheduler::State::startQueued(Instant now,
                                        SubRequestId id,
                                        ReplicaNumber replica,
                                        std::vector<ShardAction> &actions)
{
    PendingSubRequest &owner = this->pending.at(id);
    this->queue.take(now, id);
    owner.queued = false;
    AttemptPlan plan{.replica = replica};
    if (owner.lastResult) {
        const ResultCode cause = *owner.lastResult;
        plan.reason = certainlyNotRun(cause) ? AttemptReason::RetryNotRun : AttemptReason::RetryIdempotent;
        plan.suspectsConnection = cause == ResultCode::ConnectionSilent || cause == ResultCode::ConnectionLost;
    }
    this->setDeadlineTimer(owner, owner.deadline);
    this->dispatch(now, owner, plan, actions);
    this->scheduleHedge(now, owner);
    this->probe(now, owner, actions);
}

void ShardScheduler::State::dispatch(Instant now,
                                     PendingSubRequest &owner,
                                     const AttemptPlan &plan,
                                     std::vector<ShardAction> &actions)
{
    const AttemptId id{++this->lastAttempt};
    ReplicaState &chosen = *this->replicas.find(plan.replica);
    chosen.quietSince = chosen.inFlight == 0 ? now : chosen.quietSince;
    ++chosen.inFlight;
    ++owner.attempts;
    owner.live.push_back(id);
    owner.tried.push_back(plan.replica);
    this->attempts[id] = {.subRequest = owner.subRequest.id,
                          .snapshot = owner.subRequest.snapshot,
                          .replica = plan.replica,
                          .started = now,
                          .inFlightAtStart = chosen.inFlight};
    const bool isRetry = plan.reason == AttemptReason::RetryNotRun || plan.reason == AttemptReason::RetryIdempotent;
    actions.emplace_back(DispatchAction{.attempt = id,
                                        .subRequest = owner.subRequest.id,
                                        .replica = chosen.settings.id,
                                        .reason = plan.reason,
                                        .retryCause = isRetry ? *owner.lastResult : ResultCode::Ok,
                                        .remaining = owner.deadline - now,
                                        .provenConnection = plan.suspectsConnection || !owner.subRequest.idempotent});
}

void ShardScheduler::State::scheduleHedge(Instant now, PendingSubRequest &owner)
{
    const Duration known = this->serviceTimes.hedgeDelay;
    const Duration delay = known > Duration(0) ? known : (owner.deadline - now) / firstHedgeDivisor;
    const bool wanted = owner.subRequest.idempotent && this->settings.hedgeBudget > 0.0;
    if (!wanted || owner.hedges >= maximumHedges) {
        return;
    }
    // A further hedge is for the case that the one before met the same fault, so it waits until it is urgent. That is
    // sooner than for the first: a whole hedge delay is spent already.
    const Duration urgency = std::max(delay, this->serviceTimes.hedgeUrgency);
    owner.hedgeUrgent = now + (owner.hedges == 0 ? urgency : delay / furtherHedgeDivisor);
    owner.hedgeDue = owner.hedges == 0 ? now + delay : owner.hedgeUrgent;
    this->timers.add({owner.hedgeDue, TimerKind::Hedge, owner.subRequest.id.value});
    this->timers.add({owner.hedgeUrgent, TimerKind::Hedge, owner.subRequest.id.value});
}

void ShardScheduler::State::clearHedge(const PendingSubRequest &owner)
{
    this->timers.remove({owner.hedgeDue, TimerKind::Hedge, owner.subRequest.id.value});
    this->timers.remove({owner.hedgeUrgent, TimerKind::Hedge, owner.subRequest.id.value});
    this->overdueHedges.erase({owner.hedgeDue, owner.subRequest.id});
}

void ShardScheduler::State::hedgeOverdue(Instant now, bool urgentOnly, std::vector<ShardAction> &actions)
{
    const double kept = urgentOnly ? 0.0 : budgetKeptForUrgent;
    auto next = this->overdueHedges.begin();
    while (next != this->overdueHedges.end() && this->hedgeBudget.canSpend(kept)) {
        PendingSubRequest &slow = this->pending.at(next->second);
        ++next;
        if (!urgentOnly || this->isHedgeUrgent(now, slow)) {
            this->hedge(now, slow, actions);
        }
    }
}

/// An urgent hedge goes before the queue and may use the whole budget. A hedge becomes urgent after a while, and at
/// once where no reply has come from the replicas since the attempts there began: their connections may be silent.
bool ShardScheduler::State::isHedgeUrgent(Instant now, const PendingSubRequest &owner)
{
    if (owner.hedgeUrgent <= now) {
        return true;
    }
    return std::ranges::all_of(owner.live, [this](AttemptId id) {
        const AttemptInFlight &attempt = this->attempts.at(id);
        const ReplicaState *replica = this->replicas.find(attempt.replica);
        return replica == nullptr || replica->repliedAt <= attempt.started;
    });
}

void ShardScheduler::State::hedge(Instant now, PendingSubRequest &owner, std::vector<ShardAction> &actions)
{
    const bool urgent = this->isHedgeUrgent(now, owner);
    std::vector<ReplicaNumber> busy;
    for (const AttemptId id : owner.live) {
        busy.push_back(this->attempts.at(id).replica);
    }
    ReplicaRequest request{.snapshot = owner.subRequest.snapshot,
                           .tried = busy,
                           .purpose = urgent ? AttemptPurpose::UrgentHedge : AttemptPurpose::Hedge,
                           .randomChoice = this->random()};
    if (owner.hedges == 0) {
        request.excluded = busy;
    }
    const auto replica = chooseReplica(this->replicas.all(), now, request);
    if (!replica) {
        return;
    }
    this->hedgeBudget.trySpend();
    this->clearHedge(owner);
    ++owner.hedges;
    const AttemptPlan plan{.replica = *replica, .reason = AttemptReason::Hedge, .suspectsConnection = urgent};
    this->dispatch(now, owner, plan, actions);
    this->scheduleHedge(now, owner);
}

/// Sends a second attempt along with the first to a replica whose state has to be learnt again, so that the caller
/// does not wait for a replica that is still slow or failing.
void ShardScheduler::State::probe(Instant now, PendingSubRequest &owner, std::vector<ShardAction> &actions)
{
    if (!owner.subRequest.idempotent || !this->hedgeBudget.canSpend()) {
        return;
    }
    const auto replica = replicaToProbe(this->replicas.all(), owner.subRequest.snapshot, now);
    if (!replica) {
        return;
    }
    this->hedgeBudget.trySpend();
    this->replicas.find(*replica)->probedAt = now;
    this->dispatch(now, owner, {.replica = *replica, .reason = AttemptReason::Hedge}, actions);
}

} // namespace hickoryshore
