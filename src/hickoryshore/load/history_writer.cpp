#include "hickoryshore/load/history_writer.h"

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

nlohmann::json eventOf(const char *type, int process, const PlannedQuery &query, Instant now)
{
    return {{"type", type},
            {"process", process},
            {"requestId", query.id.value},
            {"timeUs", now.time_since_epoch().count()}};
}

} // namespace

HistoryWriter::HistoryWriter(const std::string &fileName) : enabled(!fileName.empty())
{
    if (!this->enabled) {
        return;
    }
    this->file.open(fileName, std::ios::trunc);
    if (!this->file) {
        throw std::runtime_error("cannot write " + fileName);
    }
}

void HistoryWriter::invocation(int process, const PlannedQuery &query, Instant now)
{
    if (!this->enabled) {
        return;
    }
    nlohmann::json event = eventOf("invoke", process, query, now);
    event["query"] = query.text;
    event["idempotent"] = query.idempotent;
    this->write(event.dump());
}

void HistoryWriter::response(int process, const PlannedQuery &query, std::string_view body, Instant now)
{
    if (!this->enabled) {
        return;
    }
    nlohmann::json event = eventOf("response", process, query, now);
    event["body"] = body;
    this->write(event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void HistoryWriter::noResponse(int process, const PlannedQuery &query, bool certainlyNotSent, Instant now)
{
    if (!this->enabled) {
        return;
    }
    nlohmann::json event = eventOf("noResponse", process, query, now);
    event["certainlyNotSent"] = certainlyNotSent;
    this->write(event.dump());
}

void HistoryWriter::write(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    this->file << line << '\n';
}

} // namespace hickoryshore
