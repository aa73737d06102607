#include "hickoryshore/load/received_answer.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

using Json = nlohmann::json;

ResultCode parseCode(const Json &number)
{
    const std::optional<ResultCode> code = resultCodeFromNumber(number.get<int>());
    if (!code.has_value()) {
        throw AnswerError("unknown result code " + number.dump());
    }
    return *code;
}

Execution parseExecution(const Json &name)
{
    for (const Execution execution : std::array{Execution::Ran, Execution::NotRun, Execution::MayHaveRun}) {
        if (name == executionName(execution)) {
            return execution;
        }
    }
    throw AnswerError("unknown execution " + name.dump());
}

ReceivedAnswer parseFields(const Json &json)
{
    ReceivedAnswer answer;
    answer.id = {json.at("requestId").get<std::string>()};
    answer.code = parseCode(json.at("resultCode"));
    answer.execution = parseExecution(json.at("execution"));
    answer.snapshot = {json.value("snapshot", std::uint64_t{0})};
    answer.shardsInLayout = json.value("layout", std::size_t{0});
    for (const Json &shard : json.value("covered", Json::array())) {
        answer.covered.push_back({shard.get<std::string>()});
    }
    for (const Json &missed : json.value("missed", Json::array())) {
        answer.missed.push_back({{missed.at("shard").get<std::string>()}, parseCode(missed.at("resultCode"))});
    }
    for (const Json &result : json.value("results", Json::array())) {
        const Json &payload = result.at("result");
        answer.results.push_back({{result.at("shard").get<std::string>()}, payload.at("query").get<std::string>()});
    }
    answer.retryAfter = std::chrono::milliseconds(json.value("retryAfterMs", std::int64_t{0}));
    return answer;
}

/// Returns whether covered and missed are the whole set of shards, each once.
bool isWholeSet(const ReceivedAnswer &answer)
{
    std::vector<ShardId> all = answer.covered;
    for (const ReceivedMiss &missed : answer.missed) {
        all.push_back(missed.shard);
    }
    std::ranges::sort(all);
    return std::ranges::adjacent_find(all) == all.end() && all.size() == answer.shardsInLayout;
}

/// Returns whether the results are those of the covered shards, each once.
bool resultsMatchCovered(const ReceivedAnswer &answer)
{
    std::vector<ShardId> covered = answer.covered;
    std::vector<ShardId> answered;
    for (const ReceivedResult &result : answer.results) {
        answered.push_back(result.shard);
    }
    std::ranges::sort(covered);
    std::ranges::sort(answered);
    return covered == answered;
}

/// Returns whether what the answer says of its execution and coverage agrees with its result code.
bool codeMatchesCoverage(const ReceivedAnswer &answer)
{
    switch (answer.code) {
    case ResultCode::Ok:
        return answer.missed.empty() && !answer.covered.empty();
    case ResultCode::PartialAnswer:
        return !answer.missed.empty() && !answer.covered.empty();
    default:
        return answer.execution != Execution::NotRun || answer.covered.empty();
    }
}

} // namespace

ReceivedAnswer parseAnswer(std::string_view text)
{
    try {
        return parseFields(Json::parse(text));
    } catch (const Json::exception &error) {
        throw AnswerError(error.what());
    }
}

AnswerFault checkAnswer(const ReceivedAnswer &answer, const PlannedQuery &query)
{
    const bool echoesQuery = std::ranges::all_of(answer.results, [&query](const ReceivedResult &result) {
        return result.query == query.text;
    });
    if (answer.id != query.id || !echoesQuery) {
        return AnswerFault::Crossed;
    }
    const bool wellFormed = isWholeSet(answer) && resultsMatchCovered(answer) && codeMatchesCoverage(answer);
    return wellFormed ? AnswerFault::None : AnswerFault::Malformed;
}

} // namespace hickoryshore
