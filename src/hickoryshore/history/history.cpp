#include "hickoryshore/history/history.h"

#include <nlohmann/json.hpp>

namespace hickoryshore {

using Json = nlohmann::json;

namespace {

Execution parseExecution(const std::string &name)
{
    for (const Execution execution : {Execution::Ran, Execution::NotRun, Execution::MayHaveRun}) {
        if (name == executionName(execution)) {
            return execution;
        }
    }
    throw HistoryError("unknown execution " + name);
}

ResultCode parseCode(const Json &json)
{
    const std::optional<ResultCode> code = resultCodeFromNumber(json.get<int>());
    if (!code.has_value()) {
        throw HistoryError("unknown result code " + json.dump());
    }
    return *code;
}

AnsweredPart parsePart(const Json &json)
{
    AnsweredPart part{.shard = {json.at("shard")}};
    const Json result = json.value("result", Json());
    if (!result.is_object()) {
        return part;
    }
    if (result.contains("query")) {
        part.query = result.at("query").get<std::string>();
    }
    if (result.contains("shard")) {
        part.echoedShard = ShardId{result.at("shard").get<std::string>()};
    }
    if (result.contains("snapshot")) {
        part.snapshot = SnapshotId{result.at("snapshot").get<std::uint64_t>()};
    }
    return part;
}

ResponseEvent parseResponse(const Json &event)
{
    const Json answer
        = event.contains("answer") ? event.at("answer") : Json::parse(event.at("body").get<std::string>());
    ResponseEvent response{.request = {event.at("requestId")},
                           .echoedRequest = {answer.value("requestId", "")},
                           .code = parseCode(answer.at("resultCode")),
                           .execution = parseExecution(answer.at("execution")),
                           .snapshot = {answer.value("snapshot", std::uint64_t{0})},
                           .layout = answer.value("layout", std::uint64_t{0})};
    for (const Json &shard : answer.value("covered", Json::array())) {
        response.covered.push_back({shard.get<std::string>()});
    }
    for (const Json &missed : answer.value("missed", Json::array())) {
        response.missed.push_back({{missed.at("shard").get<std::string>()}, parseCode(missed.at("resultCode"))});
    }
    for (const Json &result : answer.value("results", Json::array())) {
        response.parts.push_back(parsePart(result));
    }
    return response;
}

ExecutionEvent parseExecutionEvent(const Json &event)
{
    return {.request = {event.at("requestId")},
            .shard = {event.at("shard")},
            .upstream = {event.at("upstream")},
            .snapshot = {event.at("snapshot").get<std::uint64_t>()},
            .atMs = event.at("atMs")};
}

void readEvent(const Json &event, History &history)
{
    const std::string kind = event.contains("event") ? event.at("event") : event.at("type");
    if (kind == "invoke") {
        history.invocations.push_back(
            {{event.at("requestId")}, event.value("query", ""), event.value("idempotent", true)});
    } else if (kind == "response") {
        history.responses.push_back(parseResponse(event));
    } else if (kind == "noResponse") {
        history.noResponses.push_back({{event.at("requestId")}, event.value("certainlyNotSent", false)});
    } else if (kind == "execute") {
        history.executions.push_back(parseExecutionEvent(event));
    } else if (kind == "revision") {
        history.revisions.push_back({{event.at("vm")}, {event.at("revision").get<std::uint64_t>()}});
    } else if (kind == "drain") {
        history.drains.push_back({{event.at("upstream")}, event.at("atMs")});
    } else {
        throw HistoryError("unknown kind of event " + kind);
    }
}

} // namespace

void readHistory(std::istream &lines, History &history)
{
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty()) {
            continue;
        }
        try {
            readEvent(Json::parse(line), history);
        } catch (const std::exception &error) {
            throw HistoryError("line " + std::to_string(number) + ": " + error.what());
        }
    }
}

} // namespace hickoryshore
