#include "hickoryshore/entry/request_service.h"

#include "hickoryshore/base/random.h"
#include "hickoryshore/clock/clock.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <unordered_set>
#include <utility>

#include <xxhash.h>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Reserved from a caller's remaining time for the round trip between caller and VM.
constexpr Duration callerRoundTrip = 15ms;
/// Reserved from the latency objective for the round trip of the request, opening the connection, and merging.
constexpr Duration objectiveMargin = 25ms;
/// Longer remaining times of callers are reduced to this.
constexpr Duration maxCallerWait = 1h;
/// Fraction of the connections accepted by a replica that is divided between the VMs.
constexpr double sharedConnectionRatio = 0.85;
/// Divisors of this VM's memory: the limit of one replica's answer, and of all answers being received.
constexpr std::size_t answerMemoryDivisor = 16;
constexpr std::size_t totalMemoryDivisor = 4;
/// The same for all answers of other VMs.
constexpr std::size_t peerMemoryDivisor = 8;
/// Connections per aggregator. While all are in use, parts are requested directly from the replicas.
constexpr int connectionsPerPeer = 8;
/// Shorter than the idle timeout of the other VM, so that it doesn't close a connection just as it is reused.
constexpr Duration peerIdleLimit = 30s;
/// Room for a length field and the end of a header.
constexpr std::size_t lengthFieldBytes = 48;
constexpr std::string_view slice = "entry";

/// Returns the settings of the connections to replicas. They come from the VM's address, so that replicas can tell VMs
/// on one machine apart.
HttpConnectionSettings connectionSettings(const EntrySettings &settings)
{
    const std::size_t memoryBytes = settings.memoryBytes;
    if (!settings.address.empty() && !isOwnAddress(settings.address)) {
        writeLog({.level = LogLevel::Warn,
                  .slice = slice,
                  .event = "addressNotOwn",
                  .detail = "connections to replicas come from another address",
                  .fields = {{"address", settings.address}}});
    }
    return {
        .sourceAddress = settings.address,
        .responses
        = {.withoutLength = true, .excess = true, .keepHeaders = true, .bodyBytes = memoryBytes / answerMemoryDivisor},
        .bytesTogether = memoryBytes / totalMemoryDivisor};
}

HttpConnectionSettings peerConnectionSettings(std::size_t memoryBytes)
{
    return {.connectionsPerServer = connectionsPerPeer,
            .idleLimit = peerIdleLimit,
            .responses = {.bodyBytes = memoryBytes / answerMemoryDivisor},
            .bytesTogether = memoryBytes / peerMemoryDivisor};
}

Duration parseMilliseconds(std::optional<std::string_view> text, Duration fallback)
{
    std::int64_t milliseconds = 0;
    if (!text.has_value()
        || std::from_chars(text->data(), text->data() + text->size(), milliseconds).ec != std::errc()) {
        return fallback;
    }
    return std::chrono::milliseconds(std::clamp<std::int64_t>(milliseconds, 0, maxCallerWait / 1ms));
}

/// Returns what follows the header fields of a forwarded request: its length, and the body.
std::string tailOf(const HttpServerRequest &request)
{
    std::string tail;
    tail.reserve(request.body.size() + lengthFieldBytes);
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        appendHeader(tail, "Content-Length", std::to_string(request.body.size()));
    }
    tail.append("\r\n").append(request.body);
    return tail;
}

} // namespace

RequestService::RequestService(EventLoop &loop,
                               const EntrySettings &settings,
                               const PlatformProtocol &protocol,
                               Metrics &metrics,
                               std::uint64_t seed,
                               RequestHooks hooks)
    : loop(loop),
      settings(settings),
      protocol(protocol),
      metrics(metrics),
      hooks(std::move(hooks)),
      table(seed),
      split(seed),
      upstream(std::make_shared<HttpConnections>(loop, connectionSettings(settings))),
      peers(std::make_shared<HttpConnections>(loop, peerConnectionSettings(settings.memoryBytes))),
      ownHash(XXH3_64bits(settings.vm.value.data(), settings.vm.value.size())),
      random(seededGenerator(seed))
{
    this->extraAttempts = settings.extraAttempts;
    this->dataCentreIndexes[settings.dataCentre] = ownDataCentreIndex;
    const std::map<DataCentreId, RegionId> others(settings.regions.begin(), settings.regions.end());
    for (const auto &[dataCentre, region] : others) {
        this->dataCentreIndexes.try_emplace(dataCentre, static_cast<DataCentreIndex>(this->dataCentreIndexes.size()));
    }
    this->setShare(1.0);
}

void RequestService::setExtraAttemptBudget(const ExtraAttemptBudget &budget)
{
    this->extraAttempts = budget;
    this->table.setExtraAttemptBudget(this->extraAttempts, this->fleetShare);
}

void RequestService::setShare(double share)
{
    this->fleetShare = share;
    this->table.setExtraAttemptBudget(this->extraAttempts, share);
    this->limitConnections();
}

void RequestService::setRouteTable(std::shared_ptr<const RouteTable> changed)
{
    this->routeTable = std::move(changed);
    this->routes.emplace(this->routeTable);
    this->eraseRemovedRoutes();
    this->limitConnections();
}

/// Limits this VM's connections to each replica to its share.
void RequestService::limitConnections()
{
    if (this->routeTable == nullptr) {
        return;
    }
    std::unordered_map<ServiceId, int> limits;
    for (const ServiceLimits &service : this->routeTable->services) {
        const double share = sharedConnectionRatio * service.connectionsPerReplica * this->fleetShare;
        limits[service.service] = std::max(1, static_cast<int>(share));
    }
    for (const auto &[endpoint, replica] : this->replicas) {
        const auto limit = limits.find(replica.service);
        if (limit != limits.end()) {
            this->upstream->setLimit(replica.address, limit->second);
        }
    }
}

void RequestService::setReplicas(const ReplicaRegistry &registry)
{
    std::vector<DirectReplica> direct;
    this->replicas.clear();
    this->endpointsByName.clear();
    this->regionReplicas.clear();
    for (const auto &[name, replica] : registry.replicas()) {
        const ReplicaRecord &record = replica.record;
        const auto region = this->settings.regions.find(record.dataCentre);
        const bool near = region != this->settings.regions.end() && region->second == this->settings.region;
        direct.push_back({.endpoint = replica.endpoint,
                          .service = record.service,
                          .distance = near ? Distance::SameRegion : Distance::OtherRegion,
                          .dataCentreIndex = this->dataCentreIndexOf(record.dataCentre),
                          .slots = record.slots,
                          .draining = replica.leaving,
                          .warmUpLeft = record.warmUpLeft});
        this->endpointsByName[replica.name] = replica.endpoint;
        this->replicas[replica.endpoint] = {.name = replica.name, .address = record.address, .service = record.service};
        if (region != this->settings.regions.end()) {
            ++this->regionReplicas[region->second];
        }
    }
    this->table.setReplicas(monotonicNow(), direct);
    this->limitConnections();
}

std::optional<ResultCode> RequestService::refusalCode(const Route *route, const HttpServerRequest &request) const
{
    if (this->refusing) {
        return ResultCode::Leaving;
    }
    if (!this->routes.has_value()) {
        return ResultCode::NoConfiguration;
    }
    if (route == nullptr) {
        return ResultCode::UnknownRoute;
    }
    if (findHeader(request.headers, this->protocol.headers.requestId).value_or("").empty()) {
        return ResultCode::MissingRequestId;
    }
    return std::nullopt;
}

/// Returns the route of a request by this VM's configuration, or nullptr if there is none.
const Route *RequestService::routeOf(const HttpServerRequest &request) const
{
    const auto host = findHeader(request.headers, "Host").value_or("");
    return this->routes.has_value() ? this->routes->find(host, pathOf(request.target)) : nullptr;
}

/// Returns the version of the configuration in force, or zero if there is none.
std::uint64_t RequestService::configurationVersion() const
{
    return this->routeTable == nullptr ? 0 : this->routeTable->version;
}

void RequestService::onRequest(HttpCallId call, const HttpServerRequest &request)
{
    this->metrics.count(Count::Queries);
    const Route *route = this->routeOf(request);
    if (const auto code = this->refusalCode(route, request)) {
        this->refuse(call, request, *code);
    } else {
        this->begin(call, *route, request);
    }
}

void RequestService::refuse(HttpCallId call, const HttpServerRequest &request, ResultCode code)
{
    const auto id = findHeader(request.headers, this->protocol.headers.requestId).value_or("");
    this->metrics.countAnswer(code);
    writeLog({.level = LogLevel::Warn,
              .slice = slice,
              .event = "refused",
              .requestId = id,
              .resultCode = code,
              .fields = {{"host", std::string(findHeader(request.headers, "Host").value_or(""))},
                         {"path", std::string(pathOf(request.target))},
                         {"version", std::to_string(this->configurationVersion())}}});
    const Duration retryAfter = code == ResultCode::Leaving ? retryAfterAtOtherVm : this->hooks.retryAfter();
    HttpAnswer refusal = this->refusalAnswer(id, code, retryAfter);
    refusal.label = id;
    this->hooks.answer(call, refusal);
}

void RequestService::refuseRequests()
{
    this->refusing = true;
}

void RequestService::limitDeadlines(Instant latest)
{
    this->latestDeadline = latest;
    for (auto &[id, request] : this->active) {
        request.run->limitDeadline(latest);
        this->armTimer(id, request);
    }
}

std::shared_ptr<RouteLatency> RequestService::latencyOf(const Route &route)
{
    std::shared_ptr<RouteLatency> &latency = this->latencies[route.name];
    if (latency == nullptr) {
        latency = std::make_shared<RouteLatency>(route.latencyObjective);
    }
    return latency;
}

/// Erases the latencies of routes that were removed from the configuration. Requests in flight keep theirs.
void RequestService::eraseRemovedRoutes()
{
    std::unordered_set<RouteId> current;
    for (const Route &route : this->routeTable->routes) {
        current.insert(route.name);
    }
    std::erase_if(this->latencies, [&current](const auto &entry) {
        return !current.contains(entry.first);
    });
}

RunSettings RequestService::runSettings(const Route &route, Instant now, Duration remaining)
{
    RunSettings run{.merged = !route.shards.empty(),
                    .idempotent = route.idempotent,
                    .maximumAttempts = std::max(1, route.maximumAttempts),
                    .minimumCoverage = route.minimumCoverage};
    if (run.merged) {
        run.services = route.shards;
    } else {
        run.services.push_back(this->split.next(route));
    }
    run.deadline = now + std::min(route.timeout, remaining - callerRoundTrip);
    run.softDeadline = std::min(run.deadline, now + std::max(route.latencyObjective - objectiveMargin, Duration(1ms)));
    return run;
}

std::shared_ptr<const RequestService::Forwarding> RequestService::forwardingOf(const HttpServerRequest &request) const
{
    const ForwardingHeaders &names = this->protocol.headers;
    auto forwarding = std::make_shared<Forwarding>();
    forwarding->requestId = findHeader(request.headers, names.requestId).value_or("");
    forwarding->isHead = request.method == "HEAD";
    const std::string_view connection = findHeader(request.headers, "Connection").value_or("");
    std::string &head = forwarding->head;
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const HttpHeader &header : request.headers) {
        const bool replaced = isSameHeader(header.name, names.remainingMilliseconds)
            || isSameHeader(header.name, names.expectedReplica);
        if (!replaced && !isHopByHop(header.name, connection)) {
            appendHeader(head, header.name, header.value);
        }
    }
    return forwarding;
}

void RequestService::begin(HttpCallId call, const Route &route, const HttpServerRequest &request)
{
    const Instant now = monotonicNow();
    const Duration remaining = parseMilliseconds(
        findHeader(request.headers, this->protocol.headers.remainingMilliseconds), route.timeout + callerRoundTrip);
    const RunId id{++this->lastRun};
    this->callers[call] = id;
    ActiveRequest &started = this->active[id];
    started.call = call;
    started.table = this->routeTable;
    started.route = &route;
    started.arrival = now;
    started.forwarding = this->forwardingOf(request);
    started.tail = std::make_shared<const std::string>(tailOf(request));
    started.latency = this->latencyOf(route);
    RunSettings run = this->runSettings(route, now, remaining);
    if (run.merged) {
        started.groups = this->planGroups(run, now, started);
    }
    this->start(id, started, std::move(run));
}

void RequestService::start(RunId id, ActiveRequest &started, RunSettings run)
{
    started.run = std::make_unique<RequestRun>(std::move(run), this->table, *started.latency, this->lastAttempt);
    started.run->limitDeadline(this->latestDeadline);
    std::vector<RunAction> actions;
    started.run->start(monotonicNow(), actions);
    this->perform(id, actions);
}

void RequestService::perform(RunId id, std::vector<RunAction> &actions)
{
    for (const RunAction &action : actions) {
        if (const auto *send = std::get_if<SendAttempt>(&action)) {
            this->send(id, this->active.at(id), *send);
        } else if (const auto *group = std::get_if<SendGroup>(&action)) {
            this->sendGroup(id, this->active.at(id), *group);
        } else if (const auto *drop = std::get_if<DropAttempt>(&action)) {
            this->drop(*drop);
        } else if (const auto *outcome = std::get_if<FinishRun>(&action)) {
            this->finish(id, *outcome);
        }
    }
    const auto found = this->active.find(id);
    if (found != this->active.end()) {
        this->armTimer(id, found->second);
    }
    this->collectObservations();
}

void RequestService::armTimer(RunId id, ActiveRequest &request)
{
    const auto next = request.run->nextTimer();
    if (!next.has_value() || *next >= request.timerAt) {
        return;
    }
    request.timerAt = *next;
    this->loop.after(std::max(*next - monotonicNow(), Duration(0)), [this, id, at = *next] {
        const auto found = this->active.find(id);
        if (found == this->active.end() || found->second.timerAt != at) {
            return;
        }
        found->second.timerAt = Instant::max();
        std::vector<RunAction> actions;
        found->second.run->onTimer(monotonicNow(), actions);
        this->perform(id, actions);
    });
}

void RequestService::finish(RunId id, const FinishRun &outcome)
{
    const auto found = this->active.find(id);
    const ActiveRequest finished = std::move(found->second);
    this->active.erase(found);
    if (finished.forPeer) {
        this->peerCalls.erase(finished.call);
        this->logFinish(finished, outcome, 0);
        HttpAnswer answer = this->answerForPeer(finished, outcome);
        answer.label = finished.forwarding->requestId;
        this->hooks.answerPeer(finished.call, answer);
        return;
    }
    this->callers.erase(finished.call);
    HttpAnswer reply = this->answerOf(finished, outcome);
    reply.label = finished.forwarding->requestId;
    this->metrics.countAnswer(outcome.code);
    const Duration age = monotonicNow() - finished.arrival;
    this->metrics.observe(Latency::Query, age);
    this->routeLatencies.observe(finished.route->name.value, age);
    this->logFinish(finished, outcome, reply.status);
    this->hooks.answer(finished.call, reply);
}

void RequestService::onClientLeft(HttpCallId call)
{
    const auto found = this->callers.find(call);
    if (found == this->callers.end()) {
        return;
    }
    this->metrics.countAnswer(ResultCode::Cancelled);
    this->abandon(found->second);
    this->callers.erase(call);
}

/// Ends all attempts of a request whose caller or peer has disconnected.
void RequestService::abandon(RunId id)
{
    const auto found = this->active.find(id);
    std::vector<RunAction> actions;
    found->second.run->abandon(actions);
    writeLog({.slice = slice,
              .event = found->second.forPeer ? "peerLeft" : "callerLeft",
              .requestId = found->second.forwarding->requestId,
              .fields = {{"ageMs", std::to_string((monotonicNow() - found->second.arrival) / 1ms)},
                         {"attempts", std::to_string(found->second.attempts)}}});
    for (const RunAction &action : actions) {
        this->drop(std::get<DropAttempt>(action));
    }
    for (const ActiveGroup &group : found->second.groups) {
        if (!group.ended) {
            this->peers->abort(group.exchange);
            this->aggregators.countDropped(group.aggregator.vm, group.due);
        }
    }
    this->active.erase(found);
}

DataCentreIndex RequestService::dataCentreIndexOf(const DataCentreId &dataCentre) const
{
    const auto found = this->dataCentreIndexes.find(dataCentre);
    return found == this->dataCentreIndexes.end() ? maxDataCentres : found->second;
}

std::size_t RequestService::inFlight() const
{
    return this->active.size();
}

HttpConnectionCounts RequestService::connections() const
{
    return this->upstream->counts();
}

std::string RequestService::latencyText() const
{
    return this->routeLatencies.prometheusText() + this->serviceLatencies.prometheusText();
}

ReplicasByRegion RequestService::replicasByRegion() const
{
    return this->regionReplicas;
}

} // namespace hickoryshore
