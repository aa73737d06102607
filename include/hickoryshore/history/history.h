// The events of a concurrent run, as callers, upstreams and VMs noted them, one JSON line each.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/result/result_code.h"

#include <cstdint>
#include <istream>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace hickoryshore {

/// A caller sent a request.
struct InvocationEvent
{
    RequestId request;
    std::string query;
    bool idempotent = true;
};

/// The part of one shard in an answer. Fields that its result does not name are empty.
struct AnsweredPart
{
    ShardId shard;
    std::optional<std::string> query;
    std::optional<ShardId> echoedShard;
    std::optional<SnapshotId> snapshot;
};

/// A shard that an answer names as missed.
struct ReportedMissedShard
{
    ShardId shard;
    ResultCode code = ResultCode::InternalError;
};

/// A caller got an answer.
struct ResponseEvent
{
    RequestId request; ///< Of the invocation.
    RequestId echoedRequest; ///< As the answer names it; empty where it does not.
    ResultCode code = ResultCode::InternalError;
    Execution execution = Execution::MayHaveRun;
    SnapshotId snapshot;
    std::uint64_t layout = 0; ///< Count of shards; zero where the answer names none.
    std::vector<ShardId> covered;
    std::vector<ReportedMissedShard> missed;
    std::vector<AnsweredPart> parts;
};

/// A caller's connection failed before an answer.
struct NoResponseEvent
{
    RequestId request;
    bool certainlyNotSent = false;
};

/// An upstream began to run a sub-request.
struct ExecutionEvent
{
    RequestId request;
    ShardId shard;
    ReplicaId upstream;
    SnapshotId snapshot;
    std::int64_t atMs = 0;
};

/// A VM put a revision into force.
struct RevisionEvent
{
    VmId vm;
    Revision revision;
};

/// An upstream is to get no new work.
struct DrainEvent
{
    ReplicaId upstream;
    std::int64_t atMs = 0;
};

/// All events of a run; within each kind in the order of the lines.
struct History
{
    std::vector<InvocationEvent> invocations;
    std::vector<ResponseEvent> responses;
    std::vector<NoResponseEvent> noResponses;
    std::vector<ExecutionEvent> executions;
    std::vector<RevisionEvent> revisions;
    std::vector<DrainEvent> drains;
};

/// Thrown for a line that is no event; the message names the line.
class HistoryError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Appends the events of the lines. The kind of an event stands in "event" or "type"; an answer in "answer", or as
/// text in "body". Throws HistoryError.
void readHistory(std::istream &lines, History &history);

} // namespace hickoryshore
