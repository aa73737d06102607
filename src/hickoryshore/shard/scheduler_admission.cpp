#include "scheduler_state.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Minimum time after which a refused sub-request may be retried.
constexpr Duration minRetryDelay = 1ms;
constexpr Duration unavailableRetryDelay = 100ms;
/// Share of the remaining time that the estimated wait and service may take; the rest allows for errors of the
/// estimate. The allowance is larger for a caller beyond its fair share, because the capacity left to it varies.
constexpr double waitShare = 0.75;
constexpr double waitShareBeyondFairShare = 0.45;
/// Queue length, as a share of the maximum, at which callers beyond their fair share are refused. The rest is kept for
/// the others.
constexpr double queueShareBeyondFairShare = 0.75;

} // namespace

void ShardScheduler::State::submit(Instant now, const SubRequest &subRequest, std::vector<ShardAction> &actions)
{
    if (this->pending.contains(subRequest.id)) {
        return;
    }
    const Instant deadline = subRequest.deadline - this->settings.replyTransitTime;
    const AnswerAction refused = this->checkAdmission(now, subRequest, deadline);
    if (refused.code != ResultCode::Ok) {
        actions.emplace_back(refused);
        return;
    }
    this->hedgeBudget.earn();
    this->retryBudget.earn();
    PendingSubRequest &added = this->pending[subRequest.id];
    added.subRequest = subRequest;
    added.deadline = deadline;
    this->enqueue(now, added);
    this->dispatchWaiting(now, actions);
}

/// Returns the answer that refuses a new sub-request, with the code Ok if the sub-request is admitted.
AnswerAction ShardScheduler::State::checkAdmission(Instant now, const SubRequest &subRequest, Instant deadline) const
{
    AnswerAction refused{.subRequest = subRequest.id, .retryAfter = this->retryDelay(now, ResultCode::QueueFull)};
    if (deadline <= now) {
        refused.code = ResultCode::DeadlineBeforeDispatch;
        return refused;
    }
    const Availability available = availability(this->replicas.all(), subRequest.snapshot, now);
    if (available != Availability::Usable) {
        refused.code = available == Availability::NoReplica ? ResultCode::NoReplica : ResultCode::SnapshotUnavailable;
        refused.retryAfter = this->retryDelay(now, refused.code);
        return refused;
    }
    if (this->queue.size() == 0) {
        return refused;
    }
    const bool exceedsShare = this->queue.exceedsFairShare(now, subRequest.caller);
    const double rate = serviceRate(this->replicas.all(), now);
    const Duration wait = this->queue.expectedWait(now, subRequest.caller, deadline, rate);
    const double allowedShare = exceedsShare ? waitShareBeyondFairShare : waitShare;
    const Duration allowedTime(std::llround(allowedShare * static_cast<double>((deadline - now).count())));
    const Duration excessTime = wait + this->serviceTimes.high - allowedTime;
    const double limit = this->settings.maximumQueue * (exceedsShare ? queueShareBeyondFairShare : 1.0);
    if (excessTime > Duration(0)) {
        refused.code = exceedsShare ? ResultCode::FairShareExceeded : ResultCode::WouldMissDeadline;
        refused.retryAfter = std::max(excessTime, minRetryDelay);
    } else if (static_cast<double>(this->queue.size()) >= limit) {
        refused.code = exceedsShare ? ResultCode::FairShareExceeded : ResultCode::QueueFull;
    }
    return refused;
}

/// Returns the time after which a refused sub-request may be retried: when a replica may have become usable again, or
/// one sub-request has left the queue.
Duration ShardScheduler::State::retryDelay(Instant now, ResultCode code) const
{
    if (code == ResultCode::NoReplica || code == ResultCode::SnapshotUnavailable
        || code == ResultCode::UpstreamDraining) {
        return unavailableRetryDelay;
    }
    const double rate = serviceRate(this->replicas.all(), now);
    const Duration timePerSubRequest = rate > 0.0 ? Duration(std::llround(1.0 / rate)) : Duration(0);
    return std::max(timePerSubRequest, minRetryDelay);
}

void ShardScheduler::State::enqueue(Instant now, PendingSubRequest &waiting)
{
    waiting.queued = true;
    this->queue.push({waiting.subRequest.id, waiting.subRequest.caller, waiting.deadline});
    // The timer fires early: once less than the median service time remains, the deadline can no longer be met.
    this->setDeadlineTimer(waiting, std::max(now, waiting.deadline - this->serviceTimes.median));
}

} // namespace hickoryshore
