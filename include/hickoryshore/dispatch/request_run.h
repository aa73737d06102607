// The course of one caller's request: which replicas it is sent to, when again, and when it is answered.
//
// Events and the time go in, actions come out; nothing here reads a clock or a socket. For example:
//
//     RequestRun run(settings, table, latency, ids);
//     std::vector<RunAction> actions;
//     run.start(now, actions);                  // SendAttempt for each part
//     run.onAttemptEnd(now, attempt, end, actions);
//     run.onTimer(now, actions);                // hedges, answers in part, the deadline
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

/// How one request is to be served.
struct RunSettings
{
    std::vector<ServiceId> services; ///< Each takes one part of the request.
    bool merged = false; ///< The parts make up one answer, which may lack some; otherwise there is one service.
    bool idempotent = false;
    int maximumAttempts = 1; ///< Replicas on which a part may run.
    double minimumCoverage = 1.0; ///< Share of the parts, 0 to 1, without which there is no answer.
    Instant softDeadline; ///< From here on minimumCoverage suffices.
    Instant deadline;
    std::vector<PartGroup> groups; ///< Parts that a VM of another data centre is asked for.
    std::vector<Duration> groupRoundTripTimes; ///< For each group, the ways there and back.
};

/// Why an attempt is made; one counter each.
enum class DirectAttempt { First, RetryNotRun, RetryMayHaveRun, Hedge };

/// Send a part of the request to this replica now.
struct SendAttempt
{
    AttemptId attempt;
    EndpointId endpoint;
    DirectAttempt reason = DirectAttempt::First;
    ResultCode cause = ResultCode::Ok; ///< What ended the attempt before, for a retry.
    Duration age{0}; ///< Of the attempt before, for a hedge.
    Duration remaining{0}; ///< Until the deadline.
    bool provenConnection = false; ///< Only over a connection that is new or has proven alive.
};

/// Ask a VM of another data centre for several parts. Each is an attempt of its own.
struct SendGroup
{
    std::size_t group = 0; ///< Its place in the settings.
    std::vector<AttemptId> attempts; ///< In the order of the group's parts.
    Duration answerWithin{0}; ///< From its arrival there.
    Duration remaining{0}; ///< Until the deadline.
    std::size_t needed = 0; ///< Parts of the group without which the whole request has no answer.
};

/// What has become of one part of a group.
struct GroupedEnd
{
    AttemptId attempt;
    AttemptEnd end;
    int runs = 0; ///< Replicas on which it may have run, where it has no result.
    bool stillRunning = false; ///< One of them had not answered when the group's answer was due.
};

/// The attempt is no longer waited for.
struct DropAttempt
{
    AttemptId attempt;
    bool callerLeft = false; ///< The replica has to stop now.
};

/// A part that an answer lacks, and what ended its last attempt; Ok where one was still in flight.
struct MissedPart
{
    ServiceId service;
    ResultCode code = ResultCode::Ok;
    int runs = 0; ///< Replicas on which it may have run.
};

/// Give the caller its final answer. Each run gets one, unless it is abandoned.
struct FinishRun
{
    ResultCode code = ResultCode::Ok; ///< Ok, PartialAnswer, or why there is no answer.
    std::vector<AttemptId> answered; ///< The attempts whose replies make up the answer, in the order of the services.
    std::vector<MissedPart> missed; ///< Parts that the answer lacks.
    std::optional<AttemptId> failureReply; ///< Without an answer: the attempt whose reply tells the failure.
    bool sent = false; ///< Whether any replica can have received a part.
    Duration retryAfter{0}; ///< When to come back, where nothing ran.
};

using RunAction = std::variant<SendAttempt, SendGroup, DropAttempt, FinishRun>;

/// One request. Not thread-safe; the table, the latencies and the counter of attempts must outlive it.
class RequestRun
{
public:
    RequestRun(RunSettings settings, EndpointTable &table, const RouteLatency &latency, std::uint64_t &lastAttempt);

    void start(Instant now, std::vector<RunAction> &actions);

    /// Takes the end of an attempt. `isReply` says that the replica answered, though with a failure.
    void onAttemptEnd(
        Instant now, AttemptId attempt, const AttemptEnd &end, bool isReply, std::vector<RunAction> &actions);

    /// Takes the answer of a group, or its failure. A part of it that a direct attempt has answered meanwhile counts as
    /// answered by the group, whose merged result has it already.
    void onGroupEnd(Instant now, std::span<const GroupedEnd> ends, std::vector<RunAction> &actions);

    /// Does what has become due.
    void onTimer(Instant now, std::vector<RunAction> &actions);

    /// When onTimer() has to be called next; nothing once the run has ended.
    std::optional<Instant> nextTimer() const;

    /// The caller left: drops all attempts; no answer follows.
    void abandon(std::vector<RunAction> &actions);

private:
    static constexpr std::size_t maxSendsPerPart = 6; ///< Of one part, those that did not run included.

    struct Attempt
    {
        AttemptId id;
        EndpointId endpoint;
        Instant sentAt;
        bool live = false;
        int runs = 0; ///< Replicas on which it may have run, or is still in flight.
    };

    enum class PartState { Waiting, Answered, Missing };

    struct Part
    {
        PartState state = PartState::Waiting;
        std::array<Attempt, maxSendsPerPart> attempts;
        std::size_t count = 0;
        std::optional<Instant> hedgeAt;
        std::optional<Instant> retryAt; ///< The replicas refused; the next attempt is due then.
        std::optional<AttemptId> answeredBy;
        std::optional<AttemptId> failureReply;
        ResultCode lastCode = ResultCode::NoReplica; ///< What ended the last attempt, where one was made.
        bool mayHaveArrived = false; ///< An attempt may have reached a replica.

        /// The attempts that were made.
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
