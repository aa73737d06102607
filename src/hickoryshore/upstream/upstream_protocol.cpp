#include "hickoryshore/upstream/upstream_protocol.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace hickoryshore {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr int statusServerError = 500;
constexpr std::uint64_t largestInFlight = std::numeric_limits<int>::max();
constexpr double largestExactDouble = 9007199254740992.0;

Json toJson(const UpstreamReport &report)
{
    Json json{{"layout", report.layout}, {"draining", report.draining}, {"coldStart", report.coldStart}};
    json["snapshotsHeld"] = Json::array();
    for (const SnapshotId &snapshot : report.snapshotsHeld) {
        json["snapshotsHeld"].push_back(snapshot.value);
    }
    if (report.inFlight.has_value()) {
        json["inFlight"] = *report.inFlight;
    }
    return json;
}

/// Reads a reply or a health report while it is parsed, without a tree of its values. Unknown keys are skipped, with
/// what is nested in them. Where a key comes twice, the last one counts.
class ReplyReader final : public nlohmann::json_sax<Json>
{
public:
    bool key(std::string &name) override
    {
        if (this->depth == 1) {
            this->field = fieldNamed(name);
        }
        return true;
    }

    bool string(std::string &text) override
    {
        std::optional<std::string> *target = this->depth == 1 ? this->textOf(this->field) : nullptr;
        if (target != nullptr) {
            *target = std::move(text);
            return true;
        }
        return this->noteOther();
    }

    bool boolean(bool value) override
    {
        if (this->depth == 1 && this->field == Field::Draining) {
            this->report.draining = value;
        } else if (this->depth == 1 && this->field == Field::ColdStart) {
            this->report.coldStart = value;
        } else {
            return this->noteOther();
        }
        return true;
    }

    bool number_unsigned(std::uint64_t value) override
    {
        if (this->inSnapshots()) {
            this->report.snapshotsHeld.push_back({value});
        } else if (this->depth == 1 && this->field == Field::Snapshot) {
            this->snapshot.value = value;
        } else if (this->depth == 1 && this->field == Field::Layout
                   && value <= std::numeric_limits<std::uint32_t>::max()) {
            this->report.layout = static_cast<std::uint32_t>(value);
        } else if (this->depth == 1 && this->field == Field::InFlight && value <= largestInFlight) {
            this->report.inFlight = static_cast<int>(value);
        } else {
            return this->noteOther();
        }
        return true;
    }

    /// Negative numbers come here; no field takes one.
    bool number_integer(std::int64_t /*value*/) override
    {
        return this->noteOther();
    }

    bool number_float(double value, const std::string & /*text*/) override
    {
        const bool isWhole = value >= 0 && value <= largestExactDouble && std::floor(value) == value;
        return isWhole ? this->number_unsigned(static_cast<std::uint64_t>(value)) : this->noteOther();
    }

    bool null() override
    {
        return this->noteOther();
    }

    bool binary(Json::binary_t & /*value*/) override
    {
        return this->noteOther();
    }

    bool start_object(std::size_t /*size*/) override
    {
        if (this->depth == 0) {
            this->isObject = true;
        } else {
            this->noteOther();
        }
        ++this->depth;
        return true;
    }

    bool start_array(std::size_t /*size*/) override
    {
        if (this->depth == 1 && this->field == Field::SnapshotsHeld) {
            this->report.snapshotsHeld.clear();
        } else {
            this->noteOther();
        }
        ++this->depth;
        return true;
    }

    bool end_object() override
    {
        --this->depth;
        return true;
    }

    bool end_array() override
    {
        --this->depth;
        return true;
    }

    bool parse_error(std::size_t /*position*/,
                     const std::string & /*token*/,
                     const Json::exception & /*error*/) override
    {
        return false;
    }

    std::optional<std::string> attemptId;
    std::optional<std::string> execution;
    std::optional<std::string> reason;
    std::optional<std::string> result;
    SnapshotId snapshot;
    UpstreamReport report;
    bool isObject = false;
    bool faulty = false; ///< A known field has a wrong type or range.

private:
    enum class Field {
        Other,
        AttemptId,
        Execution,
        Reason,
        Result,
        Snapshot,
        Layout,
        Draining,
        ColdStart,
        InFlight,
        SnapshotsHeld
    };

    static Field fieldNamed(std::string_view name)
    {
        static constexpr auto names = std::to_array<std::pair<std::string_view, Field>>({
            {"attemptId", Field::AttemptId},
            {"execution", Field::Execution},
            {"reason", Field::Reason},
            {"result", Field::Result},
            {"snapshot", Field::Snapshot},
            {"layout", Field::Layout},
            {"draining", Field::Draining},
            {"coldStart", Field::ColdStart},
            {"inFlight", Field::InFlight},
            {"snapshotsHeld", Field::SnapshotsHeld},
        });
        const auto *const found = std::ranges::find(names, name, &std::pair<std::string_view, Field>::first);
        return found == names.end() ? Field::Other : found->second;
    }

    std::optional<std::string> *textOf(Field which)
    {
        switch (which) {
        case Field::AttemptId:
            return &this->attemptId;
        case Field::Execution:
            return &this->execution;
        case Field::Reason:
            return &this->reason;
        case Field::Result:
            return &this->result;
        default:
            return nullptr;
        }
    }

    bool inSnapshots() const
    {
        return this->depth == 2 && this->field == Field::SnapshotsHeld;
    }

    /// A value that no known field takes: a fault in a known one, else skipped. The reason is looked at only where
    /// there is one to give, and may be anything elsewhere.
    bool noteOther()
    {
        const bool known = this->field != Field::Other && this->field != Field::Reason;
        this->faulty = this->faulty || this->depth == 0 || (known && (this->depth == 1 || this->inSnapshots()));
        return true;
    }

    int depth = 0;
    Field field = Field::Other; ///< The key at the outermost level.
};

ResultCode codeOfReason(std::string_view reason)
{
    for (const ResultCode code : {ResultCode::UpstreamShed,
                                  ResultCode::UpstreamDraining,
                                  ResultCode::SnapshotUnavailable,
                                  ResultCode::DeadlineBeforeDispatch}) {
        if (resultCodeInfo(code).name == reason) {
            return code;
        }
    }
    return ResultCode::UpstreamShed;
}

ResultCode codeOfReply(const ReplyReader &reader, int httpStatus)
{
    if (*reader.execution == executionName(Execution::NotRun)) {
        return codeOfReason(reader.reason.value_or(""));
    }
    if (*reader.execution != executionName(Execution::Ran) || httpStatus != statusOk) {
        return ResultCode::UpstreamError;
    }
    return ResultCode::Ok;
}

/// Appends a JSON string. Plain text, which is nearly all, needs no escapes.
void appendText(std::string &json, std::string_view text)
{
    const bool plain = std::ranges::all_of(text, [](char letter) {
        return letter >= ' ' && letter <= '~' && letter != '"' && letter != '\\';
    });
    if (plain) {
        json += '"';
        json += text;
        json += '"';
    } else {
        json += Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
    }
}

} // namespace

std::string formatUpstreamRequest(const UpstreamRequest &request)
{
    std::string json = R"({"attemptId":)";
    appendText(json, request.attemptId);
    json += R"(,"requestId":)";
    appendText(json, request.requestId.value);
    json += R"(,"index":)";
    appendText(json, request.index.value);
    json += R"(,"shard":)";
    appendText(json, request.shard.value);
    json += R"(,"query":)";
    appendText(json, request.query);
    json += R"(,"snapshot":)" + std::to_string(request.snapshot.value);
    json += R"(,"remainingMs":)" + std::to_string(ceilMilliseconds(request.remaining));
    json += request.idempotent ? R"(,"idempotent":true})" : R"(,"idempotent":false})";
    return json;
}

UpstreamRequest parseUpstreamRequest(std::string_view body)
{
    try {
        const Json json = Json::parse(body);
        UpstreamRequest request;
        request.attemptId = json.at("attemptId").get<std::string>();
        request.requestId.value = json.at("requestId").get<std::string>();
        request.index.value = json.at("index").get<std::string>();
        request.shard.value = json.at("shard").get<std::string>();
        request.query = json.at("query").get<std::string>();
        request.snapshot.value = json.at("snapshot").get<std::uint64_t>();
        request.remaining = std::chrono::milliseconds(json.at("remainingMs").get<std::int64_t>());
        request.idempotent = json.at("idempotent").get<bool>();
        return request;
    } catch (const Json::exception &error) {
        throw std::invalid_argument(error.what());
    }
}

std::string formatUpstreamReply(std::string_view attemptId, const UpstreamReply &reply)
{
    const ResultCodeInfo &info = resultCodeInfo(reply.code);
    Json json = toJson(reply.report);
    json["attemptId"] = attemptId;
    json["execution"] = executionName(info.execution);
    json["reason"] = info.name;
    json["snapshot"] = reply.snapshot.value;
    json["result"] = reply.result;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

UpstreamReply parseUpstreamReply(std::string_view attemptId, int httpStatus, std::string_view body)
{
    ReplyReader reader;
    const bool isJson = Json::sax_parse(body, &reader) && reader.isObject;
    UpstreamReply reply;
    if (isJson && reader.attemptId.has_value() && *reader.attemptId != attemptId) {
        reply.code = ResultCode::EchoMismatch;
        return reply;
    }
    const bool isWhole = isJson && reader.attemptId.has_value() && reader.execution.has_value();
    if (!isWhole || reader.faulty) {
        reply.code = httpStatus >= statusServerError ? ResultCode::UpstreamError : ResultCode::UpstreamGarbage;
        return reply;
    }
    reply.code = codeOfReply(reader, httpStatus);
    reply.snapshot = reader.snapshot;
    reply.result = std::move(reader.result).value_or("");
    reply.report = std::move(reader.report);
    return reply;
}

std::string formatUpstreamHealth(const UpstreamReport &report)
{
    return toJson(report).dump();
}

UpstreamReport parseUpstreamHealth(std::string_view body)
{
    ReplyReader reader;
    if (!Json::sax_parse(body, &reader) || !reader.isObject || reader.faulty) {
        throw std::invalid_argument("not a health report");
    }
    return std::move(reader.report);
}

} // namespace hickoryshore
