// Processes one caller's request: decides which replicas it is sent to, when it is retried or hedged, and when it is
// answered.
//
// Takes events and the time as arguments and returns actions; reads no clock or socket. For example:
//
//     RequestRun run(settings, table, latency, ids);
//     std::vector<RunAction> actions;
//     run.start(now, actions);                          // SendAttempt for each part
//     run.onAttemptEnd(now, attempt, end, isReply, actions);
//     run.onTimer(now, actions);                        // hedges, partial answers, the deadline
//     wakeUpAt(run.nextTimer());
#pragma once

#include "hickoryshore/dispatch/endpoint_table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace hickoryshore {

/// How a request is processed.
struct RunSettings
{
    std::vector<ServiceId> services; ///< One part of the request is sent to each.
    bool merged = false; ///< The parts form one answer, from which some may be missing. If false, there is a single
                         ///< service.
    bool idempotent = false;
    int maximumAttempts = 1; ///< How many replicas may run a part.
    double minimumCoverage = 1.0; ///< Share of the parts, 0 to 1, that an answer must cover.
    Instant softDeadline; ///< From then on a partial answer is given if it covers minimumCoverage.
    Instant deadline;
    std::vector<PartGroup> groups; ///< Parts that are sent to a VM of another data centre.
    std::vector<Duration> groupRoundTripTimes; ///< For each group, the round-trip time to the aggregator.
};

/// Why an attempt is made. Each reason has its own counter.
enum class DirectAttempt { First, RetryNotRun, RetryMayHaveRun, Hedge };

/// Sends a part of the request to the replica.
struct SendAttempt
{
    AttemptId attempt;
    EndpointId endpoint;
    DirectAttempt reason = DirectAttempt::First;
    ResultCode cause = ResultCode::Ok; ///< How the previous attempt ended; set for a retry.
    Duration age{0}; ///< Age of the previous attempt; set for a hedge.
    Duration remaining{0}; ///< Time until the deadline.
    bool provenConnection = false; ///< Use only a connection that is new or known to be alive.
};

/// Sends several parts to a VM of another data centre. Each part is a separate attempt.
struct SendGroup
{
    std::size_t group = 0; ///< Index in RunSettings::groups.
    std::vector<AttemptId> attempts; ///< In the order of the group's parts.
    Duration answerWithin{0}; ///< Time allowed, measured from the request's arrival at the aggregator.
    Duration remaining{0}; ///< Time until the deadline.
    std::size_t needed = 0; ///< How many parts of the group must be answered for the request to have an answer.
};

/// The outcome of one part of a group.
struct GroupedEnd
{
    AttemptId attempt;
    AttemptEnd end;
    int runs = 0; ///< How many replicas may have run it; set if it has no result.
    bool stillRunning = false; ///< A replica had not answered when the group's answer was due.
    bool taken = true; ///< Whether the aggregator may have taken the group, and so counted the request for the budget.
};

/// Stops waiting for the attempt.
struct DropAttempt
{
    AttemptId attempt;
    bool callerLeft = false; ///< The replica must stop working on it.
};

/// A part that is missing from the answer, with the code that ended its last attempt, or Ok if an attempt was in
/// flight.
struct MissedPart
{
    ServiceId service;
    ResultCode code = ResultCode::Ok;
    int runs = 0; ///< How many replicas may have run it.
};

/// Gives the caller the final answer. Emitted once per run, unless the run is abandoned.
struct FinishRun
{
    ResultCode code = ResultCode::Ok; ///< Ok, PartialAnswer, or why there is no answer.
    std::vector<AttemptId> answered; ///< The attempts whose replies form the answer, in the order of the services.
    std::vector<MissedPart> missed;
    std::optional<AttemptId> failureReply; ///< If there is no answer, the last attempt whose replica replied that it
                                           ///< failed. Empty if no replica did.
    bool sent = false; ///< Whether any replica can have received a part.
    Duration retryAfter{0}; ///< When to retry; set if no replica ran a part.
};

using RunAction = std::variant<SendAttempt, SendGroup, DropAttempt, FinishRun>;

/// One request. Not thread-safe. The table, the latencies and the attempt counter must outlive it.
class RequestRun
{
public:
    RequestRun(RunSettings settings, EndpointTable &table, const RouteLatency &latency, std::uint64_t &lastAttempt);

    void start(Instant now, std::vector<RunAction> &actions);

    /// Handles the end of an attempt. `isReply` means that the replica replied, even if with a failure.
    void onAttemptEnd(
        Instant now, AttemptId attempt, const AttemptEnd &end, bool isReply, std::vector<RunAction> &actions);

    /// Handles a group's answer or failure. A part that a direct attempt has answered in the meantime counts as
    /// answered by the group, because the group's merged result already contains it.
    void onGroupEnd(Instant now, std::span<const GroupedEnd> ends, std::vector<RunAction> &actions);

    /// Sends due hedges and retries, and finishes the run if a deadline has passed.
    void onTimer(Instant now, std::vector<RunAction> &actions);

    /// Returns when onTimer() must be called next, or std::nullopt if the run has ended.
    std::optional<Instant> nextTimer() const;

    /// Moves the deadline forward to this time, if it is later. nextTimer() may then be earlier than before.
    void limitDeadline(Instant latest);

    /// Drops all attempts after the caller left. Emits no answer.
    void abandon(std::vector<RunAction> &actions);

private:
    static constexpr std::size_t maxSendsPerPart = 6; ///< Includes attempts that did not run.

    struct Attempt
    {
        AttemptId id;
        EndpointId endpoint;
        Instant sentAt;
        bool live = false;
        int runs = 0; ///< How many replicas may have run it or still be running it.
    };

    enum class PartState { Waiting, Answered, Missing };

    struct Part
    {
        PartState state = PartState::Waiting;
        std::array<Attempt, maxSendsPerPart> attempts;
        std::size_t count = 0;
        std::optional<Instant> hedgeAt;
        std::optional<Instant> retryAt; ///< Set after all replicas refused: when the next attempt is sent.
        std::optional<AttemptId> answeredBy;
        std::optional<AttemptId> failureReply;
        ResultCode lastCode = ResultCode::NoReplica; ///< How the last attempt ended; NoReplica if none was made.
        bool mayHaveArrived = false; ///< Whether an attempt may have reached a replica.

        std::span<Attempt> sentAttempts();
        std::span<const Attempt> sentAttempts() const;
    };

    void sendGroup(Instant now, std::size_t group, std::vector<RunAction> &actions);
    std::optional<std::pair<std::size_t, Attempt *>> findAttempt(AttemptId attempt);
    void applyGroupedEnd(Instant now, const GroupedEnd &end, std::vector<RunAction> &actions);
    void acceptResult(Part &part, AttemptId attempt, std::vector<RunAction> &actions);
    void handleFailure(Instant now, std::size_t partIndex, bool sent, std::vector<RunAction> &actions);
    bool send(Instant now, std::size_t partIndex, DirectAttempt reason, std::vector<RunAction> &actions);
    std::optional<EndpointId> chooseUntried(Instant now, std::size_t partIndex);
    std::optional<EndpointId> chooseEndpoint(Instant now, std::size_t partIndex);
    void scheduleHedge(Part &part, Instant now, EndpointId endpoint);
    void hedge(Instant now, std::size_t partIndex, std::vector<RunAction> &actions);
    void retry(Instant now, std::size_t partIndex, std::vector<RunAction> &actions);
    void markMissing(Part &part);
    static int possibleRuns(const Part &part);
    bool mayRunAgain(const Part &part) const;
    void dropLive(Part &part, bool callerLeft, std::vector<RunAction> &actions);
    void finishIfDue(Instant now, std::vector<RunAction> &actions);
    void finish(Instant now, ResultCode code, std::vector<RunAction> &actions);
    Duration computeRetryAfter(Instant now) const;
    ResultCode failureCode() const;
    std::size_t needed() const;

    RunSettings settings;
    EndpointTable *table;
    const RouteLatency *latency;
    std::uint64_t *lastAttempt;
    std::vector<Part> parts;
    std::size_t answered = 0;
    std::size_t missing = 0;
    bool ended = false;
};

} // namespace hickoryshore
