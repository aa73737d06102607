#include "upstream_state.h"
#include "hickoryshore/clock/clock.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace hickoryshore::fakes {

using Json = nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UpstreamBehaviour,
                                                slots,
                                                queueLimit,
                                                serviceMicros,
                                                spread,
                                                slowShare,
                                                slowFactor,
                                                stragglerFactor,
                                                shedShare,
                                                draining,
                                                refuseWhenDraining,
                                                garbage,
                                                crossedEcho,
                                                silent,
                                                loadReport,
                                                layout,
                                                snapshots)

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr std::chrono::seconds silenceTime(20);
constexpr std::size_t largestRecord = 200000;

} // namespace

UpstreamState::UpstreamState(std::string address, UpstreamBehaviour behaviour, std::uint64_t seed)
    : address(std::move(address)), behaviour(std::move(behaviour)), random(seed)
{ }

HttpResponse UpstreamState::handle(const HttpRequest &request)
{
    constexpr std::string_view subRequests = "/v1/sub-requests";
    if (request.method == "POST" && request.path == subRequests) {
        return this->run(request);
    }
    if (request.method == "DELETE" && request.path.starts_with(subRequests)) {
        const std::lock_guard lock(this->mutex);
        this->cancelled.insert(request.path.substr(subRequests.size() + 1));
        this->changed.notify_all();
        return {.body = "{}", .headers = {}};
    }
    if (request.path == "/v1/health") {
        const std::lock_guard lock(this->mutex);
        return {.body = formatUpstreamHealth(this->report()), .headers = {}};
    }
    if (request.path == "/v1/executions") {
        return this->listExecutions();
    }
    if (request.method == "PUT" && request.path == "/fault") {
        return this->setBehaviour(request);
    }
    return {.status = statusNotFound, .body = "{}", .headers = {}};
}

HttpResponse UpstreamState::setBehaviour(const HttpRequest &request)
{
    const std::lock_guard lock(this->mutex);
    Json merged = this->behaviour;
    try {
        merged.update(Json::parse(request.body));
        this->frozenReport = this->running;
        this->behaviour = merged.get<UpstreamBehaviour>();
    } catch (const Json::exception &error) {
        return {.status = statusBadRequest, .body = Json{{"error", error.what()}}.dump(), .headers = {}};
    }
    this->changed.notify_all();
    return {.body = merged.dump(), .headers = {}};
}

HttpResponse UpstreamState::listExecutions()
{
    const std::lock_guard lock(this->mutex);
    std::string lines;
    for (const Execution &execution : this->executions) {
        lines += Json{{"event", "execute"},
                      {"upstream", this->address},
                      {"shard", execution.shard},
                      {"requestId", execution.requestId},
                      {"attempt", execution.attemptId},
                      {"snapshot", execution.snapshot},
                      {"idempotent", execution.idempotent},
                      {"cancelled", execution.cancelled},
                      {"atMs", execution.atMs}}
                     .dump()
            + '\n';
    }
    return {.body = lines, .headers = {}, .contentType = "application/x-ndjson"};
}

UpstreamReport UpstreamState::report()
{
    UpstreamReport report;
    for (const std::uint64_t snapshot : this->behaviour.snapshots) {
        report.snapshotsHeld.push_back({snapshot});
    }
    report.layout = this->behaviour.layout;
    report.draining = this->behaviour.draining;
    const int load = this->running + this->waiting;
    if (this->behaviour.loadReport == "frozen") {
        report.inFlight = this->frozenReport;
    } else if (this->behaviour.loadReport == "inverted") {
        report.inFlight = std::max(0, 2 * this->behaviour.slots - load);
    } else if (this->behaviour.loadReport == "true") {
        report.inFlight = load;
    }
    return report;
}

SnapshotId UpstreamState::answeringSnapshot(const UpstreamRequest &request) const
{
    const auto &held = this->behaviour.snapshots;
    if (request.snapshot.value == 0) {
        return {held.empty() ? 0 : *std::ranges::max_element(held)};
    }
    return std::ranges::find(held, request.snapshot.value) == held.end() ? SnapshotId{} : request.snapshot;
}

ResultCode UpstreamState::refusalOf(const UpstreamRequest &request)
{
    if (this->behaviour.draining && this->behaviour.refuseWhenDraining) {
        return ResultCode::UpstreamDraining;
    }
    if (this->answeringSnapshot(request).value == 0) {
        return ResultCode::SnapshotUnavailable;
    }
    const double draw = std::uniform_real_distribution(0.0, 1.0)(this->random);
    const bool full = this->waiting >= this->behaviour.queueLimit && this->running >= this->behaviour.slots;
    return full || draw < this->behaviour.shedShare ? ResultCode::UpstreamShed : ResultCode::Ok;
}

bool UpstreamState::waitForSlot(const UpstreamRequest &request, std::unique_lock<std::mutex> &lock)
{
    ++this->waiting;
    const bool inTime = this->changed.wait_for(lock, request.remaining, [this, &request] {
        return this->running < this->behaviour.slots || this->cancelled.contains(request.attemptId);
    });
    --this->waiting;
    return inTime && !this->cancelled.contains(request.attemptId);
}

std::chrono::microseconds UpstreamState::drawServiceTime()
{
    double micros = this->behaviour.serviceMicros * this->behaviour.stragglerFactor;
    micros *= std::lognormal_distribution(0.0, this->behaviour.spread)(this->random);
    if (std::uniform_real_distribution(0.0, 1.0)(this->random) < this->behaviour.slowShare) {
        micros *= this->behaviour.slowFactor;
    }
    return std::chrono::microseconds(std::llround(micros));
}

void UpstreamState::serve(const UpstreamRequest &request, std::unique_lock<std::mutex> &lock)
{
    const std::size_t record = this->executions.size();
    if (record < largestRecord) {
        this->executions.push_back({.requestId = request.requestId.value,
                                    .attemptId = request.attemptId,
                                    .shard = request.shard.value,
                                    .snapshot = this->answeringSnapshot(request).value,
                                    .idempotent = request.idempotent,
                                    .atMs = wallNow().milliseconds});
    }
    ++this->running;
    const bool wasCancelled = this->changed.wait_for(lock, this->drawServiceTime(), [this, &request] {
        return this->cancelled.contains(request.attemptId);
    });
    --this->running;
    this->changed.notify_all();
    if (wasCancelled && record < largestRecord) {
        this->executions[record].cancelled = true;
    }
}

HttpResponse UpstreamState::run(const HttpRequest &httpRequest)
{
    UpstreamRequest request;
    try {
        request = parseUpstreamRequest(httpRequest.body);
    } catch (const std::invalid_argument &error) {
        return {.status = statusBadRequest, .body = Json{{"error", error.what()}}.dump(), .headers = {}};
    }
    std::unique_lock lock(this->mutex);
    UpstreamReply reply;
    reply.code = this->refusalOf(request);
    if (reply.code == ResultCode::Ok && !this->waitForSlot(request, lock)) {
        reply.code = ResultCode::DeadlineBeforeDispatch;
    }
    if (reply.code == ResultCode::Ok) {
        reply.snapshot = this->answeringSnapshot(request);
        this->serve(request, lock);
        reply.result
            = Json{{"shard", request.shard.value}, {"query", request.query}, {"snapshot", reply.snapshot.value}}.dump();
    }
    reply.report = this->report();
    this->cancelled.erase(request.attemptId);
    if (this->behaviour.silent) {
        this->changed.wait_for(lock, silenceTime, [this] {
            return !this->behaviour.silent;
        });
    }
    if (this->behaviour.garbage) {
        return {.body = "\x01garbage", .headers = {}};
    }
    std::string body = formatUpstreamReply(request.attemptId, reply);
    if (this->behaviour.crossedEcho) {
        std::swap(body, this->replyBefore);
    }
    return {
        .status = reply.code == ResultCode::Ok ? statusOk : statusUnavailable, .body = std::move(body), .headers = {}};
}

} // namespace hickoryshore::fakes
