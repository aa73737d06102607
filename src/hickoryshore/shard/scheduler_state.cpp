#include "scheduler_state.h"

#include "hickoryshore/base/random.h"
#include "hickoryshore/shard/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

namespace {

/// Number of retries and of hedges that can be saved: the minimum, or reservePerSlot for each slot if that is more. It
/// depends on the slots because one silent connection can hold all attempts of a replica at once.
constexpr double minReserve = 10.0;
constexpr double minHedgeReserve = 20.0;
constexpr double reservePerSlot = 2.0;
/// Number of latency samples after which the percentiles are recomputed.
constexpr int refreshInterval = 32;
constexpr double medianPercentile = 0.5;
constexpr double highPercentile = 0.95;
/// A hedge is urgent for this share of the attempts that outlast the hedge percentile.
constexpr double urgentShare = 0.2;
/// Maximum time until a hedge is urgent, as a multiple of the hedge delay. The limit is needed because faults raise the
/// high percentiles.
constexpr double maxUrgentDelayRatio = 1.2;

double budgetReserve(const ShardSettings &settings, double minimum)
{
    int slots = 0;
    for (const ReplicaSettings &replica : settings.replicas) {
        slots += replica.slots;
    }
    return std::max(minimum, reservePerSlot * slots);
}

} // namespace

ShardScheduler::State::State(ShardSettings settings, std::uint64_t seed)
    : settings(std::move(settings)),
      queue(this->settings.callers),
      hedgeBudget(this->settings.hedgeBudget, budgetReserve(this->settings, minHedgeReserve)),
      retryBudget(this->settings.retryBudget, budgetReserve(this->settings, minReserve)),
      random(seededGenerator(seed))
{
    this->replicas.update(this->settings.replicas);
}

double ShardScheduler::State::randomShare()
{
    return static_cast<double>(this->random()) / std::minstd_rand::modulus;
}

void ShardScheduler::State::refreshServiceTimes()
{
    if (--this->samplesUntilRefresh > 0) {
        return;
    }
    this->samplesUntilRefresh = refreshInterval;
    const auto percentileOrZero = [this](double percentile) {
        return this->latencies.percentile(percentile).value_or(Duration(0));
    };
    const double urgentPercentile = 1.0 - (1.0 - this->settings.hedgePercentile) * urgentShare;
    const Duration hedgeDelay = percentileOrZero(this->settings.hedgePercentile);
    const Duration maxUrgentDelay(std::llround(maxUrgentDelayRatio * static_cast<double>(hedgeDelay.count())));
    this->serviceTimes = {percentileOrZero(medianPercentile),
                          percentileOrZero(highPercentile),
                          hedgeDelay,
                          std::min(percentileOrZero(urgentPercentile), maxUrgentDelay)};
}

void ShardScheduler::State::onTimer(Instant now, std::vector<ShardAction> &actions)
{
    while (const auto timer = this->timers.takeDue(now)) {
        this->onTimer(now, *timer, actions);
    }
    this->dispatchWaiting(now, actions);
}

void ShardScheduler::State::onTimer(Instant now, const Timer &timer, std::vector<ShardAction> &actions)
{
    switch (timer.kind) {
    case TimerKind::Deadline:
        this->expire(now, SubRequestId{timer.id}, actions);
        break;
    case TimerKind::Release:
        this->release(now, AttemptId{timer.id});
        break;
    case TimerKind::Hedge:
        this->overdueHedges.insert({this->pending.at(SubRequestId{timer.id}).hedgeDueAt, SubRequestId{timer.id}});
        break;
    case TimerKind::QueueCheck:
        this->answerUnservable(now, actions);
        break;
    case TimerKind::ReplicaUsable:
        break;
    }
}

void ShardScheduler::State::expire(Instant now, SubRequestId id, std::vector<ShardAction> &actions)
{
    PendingSubRequest &expired = this->pending.at(id);
    ResultCode code = ResultCode::DeadlineExceeded;
    if (expired.activeAttempts.empty()) {
        code = finalCode(expired.mayHaveRun, expired.lastResult.value_or(ResultCode::DeadlineBeforeDispatch));
    }
    this->answer(now, expired, code, std::nullopt, actions);
}

void ShardScheduler::State::setDeadlineTimer(PendingSubRequest &pendingRequest, Instant due)
{
    this->timers.remove(pendingRequest.deadlineTimer);
    pendingRequest.deadlineTimer = {due, TimerKind::Deadline, pendingRequest.subRequest.id.value};
    this->timers.add(pendingRequest.deadlineTimer);
}

/// Adds a timer that is due at once, so that the next onTimer() calls answerUnservable().
void ShardScheduler::State::scheduleQueueCheck()
{
    if (this->queue.size() > 0) {
        this->timers.add({Instant{}, TimerKind::QueueCheck, 0});
    }
}

void ShardScheduler::State::answerUnservable(Instant now, std::vector<ShardAction> &actions)
{
    std::vector<SubRequestId> waiting;
    for (const auto &[id, candidate] : this->pending) {
        if (candidate.queued) {
            waiting.push_back(id);
        }
    }
    std::ranges::sort(waiting);
    for (const SubRequestId id : waiting) {
        PendingSubRequest &candidate = this->pending.at(id);
        const Availability available = availability(this->replicas.all(), candidate.subRequest.snapshot, now);
        if (available != Availability::Usable) {
            const ResultCode code
                = available == Availability::NoReplica ? ResultCode::NoReplica : ResultCode::SnapshotUnavailable;
            this->answer(now, candidate, finalCode(candidate.mayHaveRun, code), std::nullopt, actions);
        }
    }
}

void ShardScheduler::State::update(Instant now, ShardSettings changed, std::vector<ShardAction> &actions)
{
    this->settings = std::move(changed);
    this->replicas.update(this->settings.replicas);
    this->queue.setShares(this->settings.callers);
    this->hedgeBudget.setEarning(this->settings.hedgeBudget);
    this->retryBudget.setEarning(this->settings.retryBudget);
    this->answerUnservable(now, actions);
    this->dispatchWaiting(now, actions);
}

} // namespace hickoryshore
