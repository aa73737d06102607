#include "hickoryshore/history/history_checker.h"

#include <algorithm>
#include <map>
#include <set>

namespace hickoryshore {

namespace {

using enum ViolationKind;

/// All events of one request id.
struct RequestHistory
{
    std::vector<const InvocationEvent *> invocations;
    std::vector<const ResponseEvent *> responses;
    std::size_t unansweredCount = 0;
    std::vector<const ExecutionEvent *> executions;

    bool ranOn(const ShardId &shard) const
    {
        return std::ranges::any_of(this->executions, [&shard](const ExecutionEvent *execution) {
            return execution->shard == shard;
        });
    }
};

using Requests = std::map<RequestId, RequestHistory>;

Requests groupByRequest(const History &history)
{
    Requests requests;
    for (const InvocationEvent &invocation : history.invocations) {
        requests[invocation.request].invocations.push_back(&invocation);
    }
    for (const ResponseEvent &response : history.responses) {
        requests[response.request].responses.push_back(&response);
    }
    for (const NoResponseEvent &noResponse : history.noResponses) {
        ++requests[noResponse.request].unansweredCount;
    }
    for (const ExecutionEvent &execution : history.executions) {
        requests[execution.request].executions.push_back(&execution);
    }
    return requests;
}

/// Collects the violations of one request.
struct RequestCheck
{
    const RequestId &id;
    const RequestHistory &request;
    bool hasExecutions = false;
    std::vector<Violation> &violations;

    void report(ViolationKind kind, std::string detail) const
    {
        this->violations.push_back({kind, this->id.value, std::move(detail)});
    }

    bool nonIdempotent() const
    {
        return std::ranges::any_of(this->request.invocations, [](const InvocationEvent *invocation) {
            return !invocation->idempotent;
        });
    }
};

void checkDoubled(const RequestCheck &check)
{
    std::map<ShardId, int> runs;
    for (const ExecutionEvent *execution : check.request.executions) {
        ++runs[execution->shard];
    }
    for (const auto &[shard, count] : runs) {
        if (check.nonIdempotent() && count > 1) {
            check.report(Doubled, "ran " + std::to_string(count) + " times on " + shard.value);
        }
    }
}

void checkAnswerCount(const RequestCheck &check)
{
    const std::size_t endCount = check.request.responses.size() + check.request.unansweredCount;
    if (endCount < check.request.invocations.size()) {
        check.report(Lost, "has no end");
    }
    if (endCount > check.request.invocations.size()) {
        check.report(CrossedAnswer, "has more answers and failures than submissions");
    }
}

void checkRan(const RequestCheck &check, const ResponseEvent &response)
{
    if (!check.hasExecutions) {
        return;
    }
    for (const ShardId &shard : response.covered) {
        if (!check.request.ranOn(shard)) {
            check.report(Lost, "answered as covered, but never ran on " + shard.value);
        }
    }
    const bool recorded = response.code == ResultCode::RecordedOutcome;
    if (recorded && check.request.executions.empty()) {
        check.report(Lost, "has a recorded outcome, but never ran");
    }
}

/// Returns whether an execution may belong to another submission of the same id: one that has no answer, or whose
/// answer is not "not run".
bool anotherSubmissionMayHaveRun(const RequestHistory &request)
{
    return request.unansweredCount > 0 || std::ranges::any_of(request.responses, [](const ResponseEvent *response) {
               return response->execution != Execution::NotRun;
           });
}

void checkNotRun(const RequestCheck &check, const ResponseEvent &response)
{
    if (response.code == ResultCode::RequestIdReused) {
        return; // The id was used before with another body, and the executions may be of that one.
    }
    if (response.execution == Execution::NotRun && !check.request.executions.empty()
        && !anotherSubmissionMayHaveRun(check.request)) {
        check.report(NotRunButRan, "answered as not run, but ran on " + check.request.executions.front()->shard.value);
    }
    if (!check.nonIdempotent() || check.request.invocations.size() > 1) {
        return;
    }
    for (const ReportedMissedShard &missed : response.missed) {
        const bool reportedNotRun = resultCodeInfo(missed.code).execution == Execution::NotRun;
        if (reportedNotRun && check.request.ranOn(missed.shard)) {
            check.report(NotRunButRan, "missed as not run, but ran on " + missed.shard.value);
        }
    }
}

void checkSnapshot(const RequestCheck &check, const ResponseEvent &response)
{
    for (const AnsweredPart &part : response.parts) {
        if (part.snapshot.has_value() && *part.snapshot != response.snapshot) {
            check.report(MixedSnapshots, part.shard.value + " answered from another snapshot");
        }
    }
    for (const ShardId &shard : response.covered) {
        const bool fromSnapshot = std::ranges::any_of(check.request.executions, [&](const ExecutionEvent *execution) {
            return execution->shard == shard && execution->snapshot == response.snapshot;
        });
        if (check.request.ranOn(shard) && !fromSnapshot) {
            check.report(MixedSnapshots,
                         shard.value + " never ran at snapshot " + std::to_string(response.snapshot.value));
        }
    }
}

void checkAnswerBelongs(const RequestCheck &check, const ResponseEvent &response)
{
    if (!response.echoedRequest.value.empty() && response.echoedRequest != check.id) {
        check.report(CrossedAnswer, "got the answer to " + response.echoedRequest.value);
    }
    for (const AnsweredPart &part : response.parts) {
        const bool ownQuery = !part.query.has_value() || check.request.invocations.empty()
            || std::ranges::any_of(check.request.invocations, [&part](const InvocationEvent *invocation) {
                   return invocation->query == *part.query;
               });
        if (!ownQuery || part.echoedShard.value_or(part.shard) != part.shard) {
            check.report(CrossedAnswer, "the part of " + part.shard.value + " belongs to another query or shard");
        }
    }
}

void checkCoverage(const RequestCheck &check, const ResponseEvent &response)
{
    std::set<ShardId> listedShards(response.covered.begin(), response.covered.end());
    const std::set<ShardId> covered = listedShards;
    for (const ReportedMissedShard &missed : response.missed) {
        listedShards.insert(missed.shard);
    }
    const std::size_t listed = response.covered.size() + response.missed.size();
    if (listedShards.size() != listed) {
        check.report(WrongCoverage, "names a shard twice");
    }
    if (listed > 0 && response.layout != 0 && listed != response.layout) {
        check.report(WrongCoverage,
                     "names " + std::to_string(listed) + " of " + std::to_string(response.layout) + " shards");
    }
    std::multiset<ShardId> merged;
    for (const AnsweredPart &part : response.parts) {
        merged.insert(part.shard);
    }
    if (!std::ranges::equal(merged, covered)) {
        check.report(WrongCoverage, "the covered shards are not those of its results");
    }
    const bool codeAgrees = (response.code != ResultCode::Ok || (response.missed.empty() && listed > 0))
        && (response.code != ResultCode::PartialAnswer || (!response.missed.empty() && !covered.empty()));
    if (!codeAgrees) {
        check.report(WrongCoverage, "its result code does not fit what it covers");
    }
}

void checkRevisions(const History &history, std::vector<Violation> &violations)
{
    std::map<VmId, Revision> currentRevisions;
    for (const RevisionEvent &event : history.revisions) {
        Revision &revision = currentRevisions[event.vm];
        if (event.revision < revision) {
            violations.push_back({RevisionReverted,
                                  event.vm.value,
                                  "went from revision " + std::to_string(revision.value) + " to "
                                      + std::to_string(event.revision.value)});
        }
        revision = std::max(revision, event.revision);
    }
}

void checkDrains(const History &history, const HistoryLimits &limits, std::vector<Violation> &violations)
{
    std::map<ReplicaId, std::int64_t> drainedAt;
    for (const DrainEvent &drain : history.drains) {
        const auto entry = drainedAt.try_emplace(drain.upstream, drain.atMs).first;
        entry->second = std::min(entry->second, drain.atMs);
    }
    for (const ExecutionEvent &execution : history.executions) {
        const auto drained = drainedAt.find(execution.upstream);
        if (drained != drainedAt.end() && execution.atMs > drained->second + ceilMilliseconds(limits.drainBound)) {
            violations.push_back({WorkAfterDrain,
                                  execution.upstream.value,
                                  "ran " + execution.request.value + " "
                                      + std::to_string(execution.atMs - drained->second) + " ms after its drain"});
        }
    }
}

} // namespace

std::string_view violationKindName(ViolationKind kind)
{
    switch (kind) {
    case Doubled:
        return "doubled";
    case Lost:
        return "lost";
    case NotRunButRan:
        return "notRunButRan";
    case MixedSnapshots:
        return "mixedSnapshots";
    case CrossedAnswer:
        return "crossedAnswer";
    case WrongCoverage:
        return "wrongCoverage";
    case RevisionReverted:
        return "revisionReverted";
    case WorkAfterDrain:
        return "workAfterDrain";
    }
    return "unknown";
}

std::vector<Violation> checkHistory(const History &history, const HistoryLimits &limits)
{
    std::vector<Violation> violations;
    for (const auto &[id, request] : groupByRequest(history)) {
        const RequestCheck check{id, request, !history.executions.empty(), violations};
        checkDoubled(check);
        checkAnswerCount(check);
        for (const ResponseEvent *response : request.responses) {
            checkRan(check, *response);
            checkNotRun(check, *response);
            checkSnapshot(check, *response);
            checkAnswerBelongs(check, *response);
            checkCoverage(check, *response);
        }
    }
    checkRevisions(history, violations);
    checkDrains(history, limits, violations);
    return violations;
}

} // namespace hickoryshore
