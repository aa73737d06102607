// The events of a concurrent run, as callers, upstreams and VMs recorded them. Each event is one line of JSON.
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

/// The part of one shard in an answer. Fields that its result does not contain are empty.
struct AnsweredPart
{
    ShardId shard;
    std::optional<std::string> query;
    std::optional<ShardId> echoedShard;
    std::optional<SnapshotId> snapshot;
};

/// A shard that an answer lists as missed.
struct ReportedMissedShard
{
    ShardId shard;
    ResultCode code = ResultCode::InternalError;
};

/// A caller received an answer.
struct ResponseEvent
{
    RequestId request; ///< The request that the caller sent.
    RequestId echoedRequest; ///< The request id in the answer; empty if the answer has none.
    ResultCode code = ResultCode::InternalError;
    Execution execution = Execution::MayHaveRun;
    SnapshotId snapshot;
    std::uint64_t layout = 0; ///< Number of shards; zero if the answer has none.
    std::vector<ShardId> covered;
    std::vector<ReportedMissedShard> missed;
    std::vector<AnsweredPart> parts;
};

/// A caller's connection failed before it received an answer.
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

/// A VM started to use a revision of the configuration.
struct RevisionEvent
{
    VmId vm;
    Revision revision;
};

/// An upstream started to drain and should receive no new work.
struct DrainEvent
{
    ReplicaId upstream;
    std::int64_t atMs = 0;
};

/// All events of a run. Events of one kind are in the order of their lines.
struct History
{
    std::vector<InvocationEvent> invocations;
    std::vector<ResponseEvent> responses;
    std::vector<NoResponseEvent> noResponses;
    std::vector<ExecutionEvent> executions;
    std::vector<RevisionEvent> revisions;
    std::vector<DrainEvent> drains;
};

/// Thrown if a line is not a valid event. The message contains the line number.
class HistoryError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Parses the lines and appends their events. The kind of an event is in "event" or "type". An answer is an object in
/// "answer" or JSON text in "body". Throws HistoryError.
void readHistory(std::istream &lines, History &history);

} // namespace hickoryshore
