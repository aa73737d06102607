// An answer as the caller receives it, and the check that it is whole and belongs to its request.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/load/load_settings.h"
#include "hickoryshore/result/result_code.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// A shard that the answer lacks.
struct ReceivedMiss
{
    ShardId shard;
    ResultCode code = ResultCode::Ok;
};

/// The result of one shard; it echoes the query that it answers.
struct ReceivedResult
{
    ShardId shard;
    std::string query;
};

/// The answer to one query.
struct ReceivedAnswer
{
    RequestId id;
    ResultCode code = ResultCode::InternalError;
    Execution execution = Execution::MayHaveRun;
    SnapshotId snapshot;
    std::size_t shardsInLayout = 0;
    std::vector<ShardId> covered;
    std::vector<ReceivedMiss> missed;
    std::vector<ReceivedResult> results;
    Duration retryAfter{0};
};

/// Thrown for an answer that does not have the agreed form.
class AnswerError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Parses the JSON of an answer. Throws AnswerError.
ReceivedAnswer parseAnswer(std::string_view text);

/// What is wrong with an answer.
enum class AnswerFault {
    None,
    Malformed, ///< Not of the agreed form, or the covered and missed shards are not the whole set.
    Crossed, ///< It belongs, in whole or in part, to another request.
};

/// Checks an answer against the query that it should answer.
AnswerFault checkAnswer(const ReceivedAnswer &answer, const PlannedQuery &query);

} // namespace hickoryshore
