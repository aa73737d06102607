#include "scheduler_state.h"

#include "hickoryshore/shard/retry_policy.h"

#include <algorithm>

namespace hickoryshore {

namespace {

/// Share of the hedge budget's reserve that is kept for urgent hedges.
constexpr double reserveShareForUrgentHedges = 0.875;
/// Until latencies have been measured, a hedge is due after the remaining time divided by this.
constexpr int firstHedgeDivisor = 3;
/// Retries are scarce if less than this share of the retry budget's reserve would be left after one more.
constexpr double plentifulReserveShare = 0.5;
/// Maximum number of hedges per sub-request, not counting probes.
constexpr int maxHedges = 3;
/// Each further hedge is due after the hedge delay divided by this.
constexpr int furtherHedgeDivisor = 2;

} // namespace

void ShardScheduler::State::dispatchWaiting(Instant now, std::vector<ShardAction> &actions)
{
    this->sendOverdueHedges(now, true, actions);
    this->dispatchQueue(now, actions);
    this->dispatchLast(now, actions);
    if (this->queue.size() == 0) {
        this->sendOverdueHedges(now, false, actions);
    }
}

std::optional<ReplicaNumber> ShardScheduler::State::replicaFor(Instant now,
                                                               const PendingSubRequest &waiting,
                                                               double queuedAhead)
{
    return chooseReplica(this->replicas.all(),
                         now,
                         {.snapshot = waiting.subRequest.snapshot,
                          .tried = waiting.tried,
                          .retriesScarce = !this->retryBudget.canSpend(plentifulReserveShare),
                          .queuedAhead = queuedAhead,
                          .randomChoice = this->random()});
}

void ShardScheduler::State::dispatchQueue(Instant now, std::vector<ShardAction> &actions)
{
    std::vector<SnapshotId> unservable; ///< Snapshots for which no first attempt finds a slot now.
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

/// Sends the last queued sub-request to a slow replica with a free slot if waiting for a faster one would take longer.
void ShardScheduler::State::dispatchLast(Instant now, std::vector<ShardAction> &actions)
{
    const std::optional<SubRequestId> last = this->queue.last();
    if (!last) {
        return;
    }
    const auto queuedAhead = static_cast<double>(this->queue.size() - 1);
    if (const auto replica = this->replicaFor(now, this->pending.at(*last), queuedAhead)) {
        this->startQueued(now, *last, *replica, actions);
    }
}

void ShardScheduler::State::startQueued(Instant now,
                                        SubRequestId id,
                                        ReplicaNumber replica,
                                        std::vector<ShardAction> &actions)
{
    PendingSubRequest &pendingRequest = this->pending.at(id);
    this->queue.take(now, id);
    pendingRequest.queued = false;
    AttemptPlan plan{.replica = replica};
    if (pendingRequest.lastResult) {
        const ResultCode cause = *pendingRequest.lastResult;
        plan.reason = certainlyNotRun(cause) ? AttemptReason::RetryNotRun : AttemptReason::RetryIdempotent;
        plan.suspectsConnection = cause == ResultCode::ConnectionSilent || cause == ResultCode::ConnectionLost;
    }
    this->setDeadlineTimer(pendingRequest, pendingRequest.deadline);
    this->dispatch(now, pendingRequest, plan, actions);
    this->scheduleHedge(now, pendingRequest);
    this->probe(now, pendingRequest, actions);
}

void ShardScheduler::State::dispatch(Instant now,
                                     PendingSubRequest &pendingRequest,
                                     const AttemptPlan &plan,
                                     std::vector<ShardAction> &actions)
{
    const AttemptId id{++this->lastAttempt};
    ReplicaState &chosen = *this->replicas.find(plan.replica);
    chosen.stalledSince = chosen.inFlight == 0 ? now : chosen.stalledSince;
    ++chosen.inFlight;
    ++pendingRequest.attempts;
    pendingRequest.activeAttempts.push_back(id);
    pendingRequest.tried.push_back(plan.replica);
    this->attempts[id] = {.subRequest = pendingRequest.subRequest.id,
                          .snapshot = pendingRequest.subRequest.snapshot,
                          .replica = plan.replica,
                          .started = now,
                          .inFlightAtStart = chosen.inFlight};
    const bool isRetry = plan.reason == AttemptReason::RetryNotRun || plan.reason == AttemptReason::RetryIdempotent;
    actions.emplace_back(
        DispatchAction{.attempt = id,
                       .subRequest = pendingRequest.subRequest.id,
                       .replica = chosen.settings.id,
                       .reason = plan.reason,
                       .retryCause = isRetry ? *pendingRequest.lastResult : ResultCode::Ok,
                       .remaining = pendingRequest.deadline - now,
                       .provenConnection = plan.suspectsConnection || !pendingRequest.subRequest.idempotent});
}

void ShardScheduler::State::scheduleHedge(Instant now, PendingSubRequest &pendingRequest)
{
    const Duration measuredDelay = this->serviceTimes.hedgeDelay;
    const Duration delay
        = measuredDelay > Duration(0) ? measuredDelay : (pendingRequest.deadline - now) / firstHedgeDivisor;
    const bool mayHedge = pendingRequest.subRequest.idempotent && this->settings.hedgeBudget > 0.0;
    if (!mayHedge || pendingRequest.hedges >= maxHedges) {
        return;
    }
    // A further hedge is needed only if the previous one met the same fault, so it is sent only once it is urgent. It
    // becomes urgent sooner than the first hedge, because a whole hedge delay has already passed.
    const Duration urgentDelay = std::max(delay, this->serviceTimes.hedgeUrgentDelay);
    pendingRequest.hedgeUrgentAt = now + (pendingRequest.hedges == 0 ? urgentDelay : delay / furtherHedgeDivisor);
    pendingRequest.hedgeDueAt = pendingRequest.hedges == 0 ? now + delay : pendingRequest.hedgeUrgentAt;
    this->timers.add({pendingRequest.hedgeDueAt, TimerKind::Hedge, pendingRequest.subRequest.id.value});
    this->timers.add({pendingRequest.hedgeUrgentAt, TimerKind::Hedge, pendingRequest.subRequest.id.value});
}

void ShardScheduler::State::clearHedge(const PendingSubRequest &pendingRequest)
{
    this->timers.remove({pendingRequest.hedgeDueAt, TimerKind::Hedge, pendingRequest.subRequest.id.value});
    this->timers.remove({pendingRequest.hedgeUrgentAt, TimerKind::Hedge, pendingRequest.subRequest.id.value});
    this->overdueHedges.erase({pendingRequest.hedgeDueAt, pendingRequest.subRequest.id});
}

void ShardScheduler::State::sendOverdueHedges(Instant now, bool urgentOnly, std::vector<ShardAction> &actions)
{
    const double minReserveShare = urgentOnly ? 0.0 : reserveShareForUrgentHedges;
    auto next = this->overdueHedges.begin();
    while (next != this->overdueHedges.end() && this->hedgeBudget.canSpend(minReserveShare)) {
        PendingSubRequest &overdue = this->pending.at(next->second);
        ++next;
        if (!urgentOnly || this->isHedgeUrgent(now, overdue)) {
            this->hedge(now, overdue, actions);
        }
    }
}

/// An urgent hedge is sent before queued sub-requests and may use the whole budget. A hedge is urgent after a delay, or
/// at once if none of the replicas has replied since its attempt started, because their connections may be silent.
bool ShardScheduler::State::isHedgeUrgent(Instant now, const PendingSubRequest &pendingRequest)
{
    if (pendingRequest.hedgeUrgentAt <= now) {
        return true;
    }
    return std::ranges::all_of(pendingRequest.activeAttempts, [this](AttemptId id) {
        const AttemptInFlight &attempt = this->attempts.at(id);
        const ReplicaState *replica = this->replicas.find(attempt.replica);
        return replica == nullptr || replica->lastReplyAt <= attempt.started;
    });
}

void ShardScheduler::State::hedge(Instant now, PendingSubRequest &pendingRequest, std::vector<ShardAction> &actions)
{
    const bool urgent = this->isHedgeUrgent(now, pendingRequest);
    std::vector<ReplicaNumber> activeReplicas;
    for (const AttemptId id : pendingRequest.activeAttempts) {
        activeReplicas.push_back(this->attempts.at(id).replica);
    }
    ReplicaRequest request{.snapshot = pendingRequest.subRequest.snapshot,
                           .tried = activeReplicas,
                           .purpose = urgent ? AttemptPurpose::UrgentHedge : AttemptPurpose::Hedge,
                           .randomChoice = this->random()};
    if (pendingRequest.hedges == 0) {
        request.excluded = activeReplicas;
    }
    const auto replica = chooseReplica(this->replicas.all(), now, request);
    if (!replica) {
        return;
    }
    this->hedgeBudget.trySpend();
    this->clearHedge(pendingRequest);
    ++pendingRequest.hedges;
    const AttemptPlan plan{.replica = *replica, .reason = AttemptReason::Hedge, .suspectsConnection = urgent};
    this->dispatch(now, pendingRequest, plan, actions);
    this->scheduleHedge(now, pendingRequest);
}

/// Sends an additional attempt, along with the first, to a replica that was slow or ejected, to measure whether it has
/// recovered. The caller does not have to wait for this replica if it has not.
void ShardScheduler::State::probe(Instant now, PendingSubRequest &pendingRequest, std::vector<ShardAction> &actions)
{
    if (!pendingRequest.subRequest.idempotent || !this->hedgeBudget.canSpend()) {
        return;
    }
    const auto replica = replicaToProbe(this->replicas.all(), pendingRequest.subRequest.snapshot, now);
    if (!replica) {
        return;
    }
    this->hedgeBudget.trySpend();
    this->replicas.find(*replica)->lastProbeAt = now;
    this->dispatch(now, pendingRequest, {.replica = *replica, .reason = AttemptReason::Hedge}, actions);
}

} // namespace hickoryshore
