// The state of a ShardScheduler and the steps that handle its events.
#pragma once

#include "hickoryshore/shard/admission_queue.h"
#include "hickoryshore/shard/latency_window.h"
#include "hickoryshore/shard/replica_choice.h"
#include "hickoryshore/shard/replica_set.h"
#include "hickoryshore/shard/shard_scheduler.h"
#include "hickoryshore/shard/timer_queue.h"
#include "hickoryshore/shard/token_budget.h"

#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickoryshore {

/// A sub-request that has no answer yet.
struct PendingSubRequest
{
    SubRequest subRequest;
    Instant deadline; ///< Deadline minus ShardSettings::replyTransitTime.
    bool queued = false;
    int hedges = 0;
    Instant hedgeDueAt;
    Instant hedgeUrgentAt; ///< When the hedge becomes urgent at the latest.
    std::vector<AttemptId> activeAttempts; ///< Attempts that have neither ended nor been cancelled.
    std::vector<ReplicaNumber> tried;
    int attempts = 0;
    std::optional<ResultCode> mayHaveRun; ///< The latest result of an attempt that may have run.
    std::optional<ResultCode> lastResult; ///< The result of the previous attempt.
    Timer deadlineTimer;
};

/// An attempt that holds a slot.
struct AttemptInFlight
{
    SubRequestId subRequest;
    SnapshotId snapshot;
    ReplicaNumber replica = 0;
    Instant started;
    int inFlightAtStart = 0; ///< Attempts in flight at the replica, including this one.
    bool cancelled = false; ///< The sub-request was removed, but the replica may still run it.
};

/// An attempt that is about to be dispatched.
struct AttemptPlan
{
    ReplicaNumber replica = 0;
    AttemptReason reason = AttemptReason::First;
    bool suspectsConnection = false; ///< Use only a connection that is new or proven alive.
};

/// Percentiles of the recent latencies, recomputed at intervals. They are zero until there are enough samples.
struct ServiceTimes
{
    Duration median{0};
    Duration high{0};
    Duration hedgeDelay{0};
    Duration hedgeUrgentDelay{0}; ///< Time after which a hedge is urgent.
};

/// The state of one scheduler.
struct ShardScheduler::State
{
    State(ShardSettings settings, std::uint64_t seed);

    // Admission.
    void submit(Instant now, const SubRequest &subRequest, std::vector<ShardAction> &actions);
    AnswerAction checkAdmission(Instant now, const SubRequest &subRequest, Instant deadline) const;
    void enqueue(Instant now, PendingSubRequest &waiting);
    Duration retryDelay(Instant now, ResultCode code) const;

    // Dispatch.
    void dispatchWaiting(Instant now, std::vector<ShardAction> &actions);
    void dispatchQueue(Instant now, std::vector<ShardAction> &actions);
    void dispatchLast(Instant now, std::vector<ShardAction> &actions);
    void startQueued(Instant now, SubRequestId id, ReplicaNumber replica, std::vector<ShardAction> &actions);
    void dispatch(Instant now,
                  PendingSubRequest &pendingRequest,
                  const AttemptPlan &plan,
                  std::vector<ShardAction> &actions);
    std::optional<ReplicaNumber> replicaFor(Instant now, const PendingSubRequest &waiting, double queuedAhead);

    // Hedges and probes.
    void scheduleHedge(Instant now, PendingSubRequest &pendingRequest);
    void clearHedge(const PendingSubRequest &pendingRequest);
    void sendOverdueHedges(Instant now, bool urgentOnly, std::vector<ShardAction> &actions);
    bool isHedgeUrgent(Instant now, const PendingSubRequest &pendingRequest);
    void hedge(Instant now, PendingSubRequest &pendingRequest, std::vector<ShardAction> &actions);
    void probe(Instant now, PendingSubRequest &pendingRequest, std::vector<ShardAction> &actions);

    // Results.
    void onReply(Instant now, AttemptId attempt, const AttemptReply &reply, std::vector<ShardAction> &actions);
    void recordReplicaState(Instant now, ReplicaState &replica, const AttemptReply &reply);
    void recordResult(Instant now, ReplicaState &replica, ResultCode code, const AttemptInFlight &attempt);
    void recordLatency(Instant now, ReplicaState &replica, const AttemptInFlight &attempt);
    void retryOrAnswer(Instant now,
                       PendingSubRequest &pendingRequest,
                       ResultCode code,
                       std::vector<ShardAction> &actions);
    void answer(Instant now,
                PendingSubRequest &pendingRequest,
                ResultCode code,
                std::optional<AttemptId> attempt,
                std::vector<ShardAction> &actions);
    void removePending(Instant now, PendingSubRequest &pendingRequest, std::vector<ShardAction> &actions);
    void cancel(Instant now, SubRequestId subRequest, std::vector<ShardAction> &actions);
    void cancelAttempt(Instant now, AttemptId id, std::vector<ShardAction> &actions);
    void release(Instant now, AttemptId id);

    // Timers and changes.
    void onTimer(Instant now, std::vector<ShardAction> &actions);
    void onTimer(Instant now, const Timer &timer, std::vector<ShardAction> &actions);
    void expire(Instant now, SubRequestId id, std::vector<ShardAction> &actions);
    void setDeadlineTimer(PendingSubRequest &pendingRequest, Instant due);
    void scheduleQueueCheck();
    void answerUnservable(Instant now, std::vector<ShardAction> &actions);
    void update(Instant now, ShardSettings changed, std::vector<ShardAction> &actions);
    void refreshServiceTimes();
    double randomShare();

    ShardSettings settings;
    ReplicaSet replicas;
    AdmissionQueue queue;
    LatencyWindow latencies; ///< Latencies of replicas that are not slow.
    ServiceTimes serviceTimes;
    int samplesUntilRefresh = 0;
    TokenBudget hedgeBudget;
    TokenBudget retryBudget;
    TimerQueue timers;
    std::minstd_rand random;
    std::unordered_map<SubRequestId, PendingSubRequest> pending;
    std::unordered_map<AttemptId, AttemptInFlight> attempts;
    std::set<std::pair<Instant, SubRequestId>> overdueHedges; ///< Hedges that are due and wait for a slot or a token.
    std::uint64_t lastAttempt = 0;
    Instant lastEventAt; ///< Time of the last event, for the views.
};

} // namespace hickoryshore
