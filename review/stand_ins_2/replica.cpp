#include "replica.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

constexpr int slots = 8;

std::string header(const Request &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

} // namespace

Replica::Replica(
    const std::string &address, std::string service, std::string id, Record &record, std::chrono::milliseconds workTime)
    : ownAddress(address),
      service(std::move(service)),
      ownId(std::move(id)),
      born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
               .count()),
      record(record),
      workTime(workTime),
      server(address, [this](const Request &request) {
          return this->answer(request);
      })
{ }

std::string Replica::entry(const std::string &state) const
{
    return nlohmann::json{{"service", this->service},
                          {"address", this->ownAddress},
                          {"zone", "zone-a"},
                          {"version", "v1"},
                          {"slots", slots},
                          {"state", state},
                          {"warmup_left_ms", 0},
                          {"sequence", 1},
                          {"born", this->born}}
        .dump();
}

const std::string &Replica::id() const
{
    return this->ownId;
}

const std::string &Replica::address() const
{
    return this->ownAddress;
}

void Replica::end()
{
    this->server.stop();
}

Response Replica::answer(const Request &request)
{
    const std::string requestId = header(request, "request-id");
    const std::string expected = header(request, "expect-replica");
    if (!expected.empty() && expected != this->ownId) {
        return {.status = 421, .headers = {{"request-id", requestId}, {"not-executed", "1"}}, .body = {}};
    }
    if (requestId.empty()) {
        return {.status = 400, .headers = {{"not-executed", "1"}}, .body = {}};
    }
    this->record.addArrival({.id = requestId, .replica = this->ownId, .at = Clock::now()});
    std::this_thread::sleep_for(this->workTime);
    return {.headers = {{"request-id", requestId}, {"response-stamp", this->ownId + "." + requestId}},
            .body = "answer to " + requestId};
}

} // namespace review
