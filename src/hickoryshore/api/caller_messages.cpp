#include "hickoryshore/api/caller_messages.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace hickoryshore {

using Json = nlohmann::json;

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;

[[noreturn]] void malformed(const std::string &message)
{
    throw RequestError(ResultCode::MalformedRequest, message);
}

std::string readText(const Json &json, const char *key, std::size_t longest)
{
    const auto field = json.find(key);
    if (field == json.end()) {
        return {};
    }
    if (!field->is_string()) {
        malformed(std::string(key) + " must be a text");
    }
    const auto &text = field->get_ref<const std::string &>();
    if (text.size() > longest) {
        throw RequestError(ResultCode::RequestTooLarge, std::string(key) + " is too long");
    }
    return text;
}

std::optional<Duration> readDeadline(const Json &json, Duration longestDeadline)
{
    const auto field = json.find("deadlineMs");
    if (field == json.end()) {
        return std::nullopt;
    }
    if (!field->is_number_integer()) {
        malformed("deadlineMs must be a whole number");
    }
    const auto most = ceilMilliseconds(longestDeadline);
    const bool tooLarge = field->is_number_unsigned() && field->get<std::uint64_t>() > static_cast<std::uint64_t>(most);
    const auto value = tooLarge ? most + 1 : field->get<std::int64_t>();
    if (value < 1 || value > most) {
        throw RequestError(ResultCode::InvalidDeadline, "deadlineMs must be from 1 to " + std::to_string(most));
    }
    return std::chrono::milliseconds(value);
}

bool readFlag(const Json &json, const char *key, bool fallback)
{
    const auto field = json.find(key);
    if (field == json.end()) {
        return fallback;
    }
    if (!field->is_boolean()) {
        malformed(std::string(key) + " must be true or false");
    }
    return field->get<bool>();
}

WallTime readIssuedAt(const Json &json)
{
    const auto field = json.find("issuedAtMs");
    if (field == json.end()) {
        return {};
    }
    if (!field->is_number_integer() || field->get<std::int64_t>() < 0) {
        malformed("issuedAtMs must be milliseconds since 1970-01-01 UTC");
    }
    return {field->get<std::int64_t>()};
}

Json toJson(const QueryAnswer &answer)
{
    Json json{{"resultCode", static_cast<int>(answer.resultCode)},
              {"result", resultCodeInfo(answer.resultCode).name},
              {"execution", executionName(answer.execution)},
              {"snapshot", answer.snapshot.value},
              {"layout", answer.layout.value},
              {"covered", Json::array()},
              {"missed", Json::array()},
              {"results", Json::array()}};
    for (const ShardId &shard : answer.covered) {
        json["covered"].push_back(shard.value);
    }
    for (const MissedShard &missed : answer.missed) {
        json["missed"].push_back({{"shard", missed.shard.value}, {"resultCode", static_cast<int>(missed.code)}});
    }
    for (const ShardResult &result : answer.results) {
        Json payload = Json::parse(result.payload, nullptr, false);
        if (payload.is_discarded()) {
            payload = result.payload;
        }
        json["results"].push_back({{"shard", result.shard.value}, {"result", std::move(payload)}});
    }
    if (answer.retryAfter > Duration(0)) {
        json["retryAfterMs"] = ceilMilliseconds(answer.retryAfter);
    }
    return json;
}

std::vector<HttpHeader> retryHeaders(Duration retryAfter)
{
    if (retryAfter <= Duration(0)) {
        return {};
    }
    const std::int64_t seconds = (ceilMilliseconds(retryAfter) + millisecondsPerSecond - 1) / millisecondsPerSecond;
    return {{"Retry-After", std::to_string(seconds)}};
}

} // namespace

QueryBody parseQueryBody(std::string_view body, Duration longestDeadline)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        malformed("the body must be a JSON object");
    }
    QueryBody parsed;
    parsed.requestId.value = readText(json, "requestId", longestRequestId);
    parsed.caller.value = readText(json, "caller", longestRequestId);
    parsed.query = readText(json, "query", longestQuery);
    parsed.deadline = readDeadline(json, longestDeadline);
    parsed.idempotent = readFlag(json, "idempotent", true);
    parsed.repeated = readFlag(json, "repeated", false);
    parsed.issuedAt = readIssuedAt(json);
    if (parsed.caller.value.empty()) {
        malformed("caller is missing");
    }
    if (json.contains("requestId") && parsed.requestId.value.empty()) {
        malformed("requestId is empty");
    }
    if (parsed.requestId.value.find('\0') != std::string::npos) {
        malformed("requestId has a NUL character");
    }
    if (!parsed.idempotent && (parsed.requestId.value.empty() || parsed.issuedAt.milliseconds == 0)) {
        throw RequestError(ResultCode::MissingRequestId, "a non-idempotent request needs requestId and issuedAtMs");
    }
    return parsed;
}

std::string formatAnswerBody(const RequestId &requestId, const QueryAnswer &answer)
{
    Json json = toJson(answer);
    json["requestId"] = requestId.value;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse answerResponse(const RequestId &requestId, const QueryAnswer &answer)
{
    return {.status = resultCodeInfo(answer.resultCode).httpStatus,
            .body = formatAnswerBody(requestId, answer),
            .headers = retryHeaders(answer.retryAfter)};
}

Refusal makeRefusal(ResultCode code, Duration retryAfter, std::string message)
{
    return {code, resultCodeInfo(code).execution, retryAfter, std::move(message)};
}

HttpResponse refusalResponse(const RequestId &requestId, const Refusal &refusal)
{
    const ResultCodeInfo &info = resultCodeInfo(refusal.code);
    QueryAnswer answer;
    answer.resultCode = refusal.code;
    answer.execution = refusal.execution;
    answer.retryAfter = refusal.retryAfter;
    Json json = toJson(answer);
    json["requestId"] = requestId.value;
    json["message"] = refusal.message.empty() ? std::string(info.meaning) : refusal.message;
    return {.status = info.httpStatus,
            .body = json.dump(-1, ' ', false, Json::error_handler_t::replace),
            .headers = retryHeaders(refusal.retryAfter)};
}

std::string formatEntryPoints(std::span<const std::string> addresses, Duration timeToLive)
{
    return Json{{"entryPoints", addresses}, {"timeToLiveMs", ceilMilliseconds(timeToLive)}}.dump();
}

} // namespace hickoryshore
