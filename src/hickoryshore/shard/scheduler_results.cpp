#include "scheduler_state.h"

#include "hickoryshore/shard/retry_policy.h"

#include <algorithm>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// How long a replica is treated as warming up after a reply that reported a cold start.
constexpr Duration coldStartLifetime = 2s;
/// Weight of one sample in the moving average of a replica's latency.
constexpr double latencyWeight = 0.1;
/// Weight of a sample of a slow replica, so that a few probes are enough to detect its recovery.
constexpr double probeWeight = 0.5;
/// Minimum and maximum time for which a cancelled attempt keeps its slot if no reply arrives.
constexpr Duration minReleaseDelay = 1ms;
constexpr Duration maxReleaseDelay = 20ms;
/// Within these bounds, it is the median latency divided by this.
constexpr int releaseDivisor = 4;

} // namespace

void ShardScheduler::State::onReply(Instant now,
                                    AttemptId id,
                                    const AttemptReply &reply,
                                    std::vector<ShardAction> &actions)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    const AttemptInFlight attempt = found->second;
    this->release(now, id);
    if (ReplicaState *replica = this->replicas.find(attempt.replica)) {
        this->recordReplicaState(now, *replica, reply);
        this->recordResult(now, *replica, reply.code, attempt);
    }
    if (!attempt.cancelled) {
        PendingSubRequest &pendingRequest = this->pending.at(attempt.subRequest);
        std::erase(pendingRequest.activeAttempts, id);
        if (reply.code == ResultCode::Ok) {
            this->answer(now, pendingRequest, ResultCode::Ok, id, actions);
        } else {
            this->retryOrAnswer(now, pendingRequest, reply.code, actions);
        }
    }
    this->dispatchWaiting(now, actions);
}

void ShardScheduler::State::recordReplicaState(Instant now, ReplicaState &replica, const AttemptReply &reply)
{
    replica.lastReplyAt = now;
    replica.stalledSince = now;
    replica.snapshots.report(now, reply.snapshotsHeld);
    if (reply.inFlight && this->settings.useLoadReports) {
        replica.recordReportedLoad(*reply.inFlight);
    }
    if (reply.coldStart) {
        replica.warmingUpUntil = now + coldStartLifetime;
    }
    if (reply.draining || reply.code == ResultCode::UpstreamDraining) {
        replica.drain.mark(now);
        this->scheduleQueueCheck();
    } else if (reply.coldStart) {
        replica.drain.clearMark();
    }
}

void ShardScheduler::State::recordResult(Instant now,
                                         ReplicaState &replica,
                                         ResultCode code,
                                         const AttemptInFlight &attempt)
{
    switch (code) {
    case ResultCode::Ok:
        this->recordLatency(now, replica, attempt);
        replica.health.countSuccess(now);
        break;
    case ResultCode::UpstreamShed:
        replica.health.countShed(now, this->randomShare());
        this->timers.add({replica.health.backoffUntil, TimerKind::ReplicaUsable, replica.number});
        break;
    case ResultCode::SnapshotUnavailable:
        replica.snapshots.recordRefusal(now, attempt.snapshot);
        this->scheduleQueueCheck();
        break;
    case ResultCode::UpstreamDraining:
    case ResultCode::DeadlineBeforeDispatch:
    case ResultCode::Cancelled:
    case ResultCode::ConnectionSilent: // More likely a fault of the connection than of the replica.
        break;
    default:
        if (replica.health.countFailure(now)) {
            this->timers.add({replica.health.ejectedUntil, TimerKind::ReplicaUsable, replica.number});
        }
        break;
    }
}

void ShardScheduler::State::recordLatency(Instant now, ReplicaState &replica, const AttemptInFlight &attempt)
{
    const Duration latency = now - attempt.started;
    const bool slow = isSlow(replica, fastestLatency(this->replicas.all(), now));
    replica.latency.add(latency, slow ? probeWeight : latencyWeight);
    if (slow) {
        return;
    }
    this->latencies.add(latency);
    this->refreshServiceTimes();
}

void ShardScheduler::State::retryOrAnswer(Instant now,
                                          PendingSubRequest &pendingRequest,
                                          ResultCode code,
                                          std::vector<ShardAction> &actions)
{
    pendingRequest.lastResult = code;
    if (!certainlyNotRun(code)) {
        pendingRequest.mayHaveRun = code;
    }
    if (!pendingRequest.activeAttempts.empty()) {
        return;
    }
    this->clearHedge(pendingRequest);
    const bool servable
        = availability(this->replicas.all(), pendingRequest.subRequest.snapshot, now) == Availability::Usable
        && pendingRequest.deadline - this->serviceTimes.median > now;
    if (!servable || !mayRetry(code, pendingRequest.subRequest.idempotent)) {
        this->answer(now, pendingRequest, finalCode(pendingRequest.mayHaveRun, code), std::nullopt, actions);
    } else if (!this->retryBudget.trySpend()) {
        const ResultCode exhausted = finalCode(pendingRequest.mayHaveRun, ResultCode::RetryBudgetExhausted);
        this->answer(now, pendingRequest, exhausted, std::nullopt, actions);
    } else {
        this->enqueue(now, pendingRequest);
    }
}

/// Gives the final answer and removes the sub-request, so `pendingRequest` is invalid afterwards.
void ShardScheduler::State::answer(Instant now,
                                   PendingSubRequest &pendingRequest,
                                   ResultCode code,
                                   std::optional<AttemptId> attempt,
                                   std::vector<ShardAction> &actions)
{
    actions.emplace_back(AnswerAction{.subRequest = pendingRequest.subRequest.id,
                                      .code = code,
                                      .attempt = attempt,
                                      .retryAfter = certainlyNotRun(code) ? this->retryDelay(now, code) : Duration(0),
                                      .attempts = pendingRequest.attempts});
    this->removePending(now, pendingRequest, actions);
}

void ShardScheduler::State::removePending(Instant now,
                                          PendingSubRequest &pendingRequest,
                                          std::vector<ShardAction> &actions)
{
    for (const AttemptId id : pendingRequest.activeAttempts) {
        this->cancelAttempt(now, id, actions);
    }
    this->queue.erase(pendingRequest.subRequest.id);
    this->timers.remove(pendingRequest.deadlineTimer);
    this->clearHedge(pendingRequest);
    this->pending.erase(pendingRequest.subRequest.id);
}

void ShardScheduler::State::cancel(Instant now, SubRequestId subRequest, std::vector<ShardAction> &actions)
{
    const auto found = this->pending.find(subRequest);
    if (found != this->pending.end()) {
        this->removePending(now, found->second, actions);
        this->dispatchWaiting(now, actions);
    }
}

void ShardScheduler::State::cancelAttempt(Instant now, AttemptId id, std::vector<ShardAction> &actions)
{
    AttemptInFlight &attempt = this->attempts.at(id);
    ReplicaState &replica = *this->replicas.find(attempt.replica);
    attempt.cancelled = true;
    const Duration elapsed = now - attempt.started;
    if (static_cast<double>(elapsed.count()) > replica.latency.value) {
        replica.latency.add(elapsed, latencyWeight);
    }
    if (!isSlow(replica, fastestLatency(this->replicas.all(), now))) {
        this->latencies.addCensored(elapsed);
    }
    const Duration release = std::clamp(this->serviceTimes.median / releaseDivisor, minReleaseDelay, maxReleaseDelay);
    this->timers.add({now + release, TimerKind::Release, id.value});
    actions.emplace_back(CancelAction{.attempt = id, .replica = replica.settings.id});
}

void ShardScheduler::State::release(Instant now, AttemptId id)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    if (ReplicaState *replica = this->replicas.find(found->second.replica)) {
        --replica->inFlight;
        replica->recordServiceTime(now - found->second.started, found->second.inFlightAtStart);
    }
    this->attempts.erase(found);
}

} // namespace hickoryshore
