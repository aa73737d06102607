// The upstream's HTTP protocol: the JSON of a sub-request, of its reply and of the health endpoint.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/result/result_code.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// One sub-request as it is sent to a replica: POST /v1/sub-requests.
struct UpstreamRequest
{
    std::string attemptId; ///< Unique for each attempt; the reply must echo it.
    RequestId requestId; ///< The caller's request id.
    IndexId index;
    ShardId shard;
    std::string query;
    SnapshotId snapshot; ///< Zero: any.
    Duration remaining{0};
    bool idempotent = true;
};

/// What a replica tells about itself on each reply and in its health endpoint.
struct UpstreamReport
{
    std::vector<SnapshotId> snapshotsHeld;
    std::uint32_t layout = 0; ///< Number of shards in the layout of the snapshot.
    std::optional<int> inFlight;
    bool draining = false;
    bool coldStart = false;
};

/// The reply to a sub-request.
struct UpstreamReply
{
    ResultCode code = ResultCode::Ok;
    SnapshotId snapshot; ///< The snapshot that answered.
    std::string result; ///< JSON text.
    UpstreamReport report;
};

/// Returns the JSON body of a sub-request.
std::string formatUpstreamRequest(const UpstreamRequest &request);

/// Parses the body of POST /v1/sub-requests. Throws std::invalid_argument.
UpstreamRequest parseUpstreamRequest(std::string_view body);

/// Returns the JSON body of a reply that echoes the attempt's id.
std::string formatUpstreamReply(std::string_view attemptId, const UpstreamReply &reply);

/// Parses a reply to the attempt with this id. Never throws: a foreign echo gives EchoMismatch and an unreadable body
/// UpstreamGarbage, both without a result.
UpstreamReply parseUpstreamReply(std::string_view attemptId, int httpStatus, std::string_view body);

/// Formats and parses the body of GET /v1/health; parsing throws std::invalid_argument.
std::string formatUpstreamHealth(const UpstreamReport &report);
UpstreamReport parseUpstreamHealth(std::string_view body);

} // namespace hickoryshore
