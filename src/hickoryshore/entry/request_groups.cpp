// The part of RequestService that requests groups of parts from aggregators in other data centres, and serves such
// requests of other VMs.
#include "hickoryshore/clock/clock.h"
#include "hickoryshore/dispatch/record_merge.h"
#include "hickoryshore/entry/request_service.h"
#include "hickoryshore/log/log.h"

#include "aggregate.pb.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t messageVersion = 1;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
/// The VM's configuration sends the request to other services; no part ran.
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
/// VMs with less CPU than the fleet's maximum divided by this are not used as aggregators, since they would delay many
/// parts at once.
constexpr int minCapacityDivisor = 2;
constexpr std::string_view slice = "entry";

std::uint32_t wholeMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(duration / 1ms, 0));
}

/// Returns the outcome of all attempts of a group if the aggregator gave no usable answer.
AttemptEnd endOfCall(const HttpExchangeEnd &end)
{
    const bool refused = !end.failure.has_value() && end.response.status != statusOk;
    if (refused || !end.sent || end.failure == HttpFailure::Connect) {
        return {.code = ResultCode::ConnectFailed, .sent = false};
    }
    return {.code = ResultCode::OwnerLost};
}

/// Returns the result code of a part. A code that is unknown to this version counts as a failure that may have run.
ResultCode codeOf(std::uint32_t number)
{
    return resultCodeFromNumber(static_cast<int>(number)).value_or(ResultCode::UpstreamError);
}

} // namespace

void RequestService::setMembers(const MembershipView &view, int peerPort)
{
    int maxCapacity = 0;
    for (const Member &member : view.members) {
        maxCapacity = std::max(maxCapacity, member.capacity);
    }
    std::vector<std::pair<std::uint64_t, AggregatorCandidate>> ranked;
    for (const Member &member : view.members) {
        const bool isEligible = isUsable(member) && member.configRevision.value > 0
            && member.capacity * minCapacityDivisor >= maxCapacity;
        if (isEligible && member.dataCentre != this->settings.dataCentre) {
            const std::uint64_t weight
                = XXH3_64bits_withSeed(member.vm.value.data(), member.vm.value.size(), this->ownHash);
            ranked.push_back({weight,
                              {.vm = member.vm,
                               .processId = member.processId,
                               .server = member.address + ":" + std::to_string(peerPort),
                               .dataCentreIndex = this->dataCentreIndexOf(member.dataCentre),
                               .near = member.region == this->settings.region}});
        }
    }
    std::ranges::sort(ranked, {}, [](const auto &entry) {
        return std::tie(entry.first, entry.second.vm);
    });
    std::vector<AggregatorCandidate> candidates;
    for (auto &[weight, candidate] : ranked) {
        candidates.push_back(std::move(candidate));
    }
    this->aggregators.setCandidates(monotonicNow(), std::move(candidates));
}

std::vector<RequestService::ActiveGroup> RequestService::planGroups(RunSettings &run,
                                                                    Instant now,
                                                                    const ActiveRequest &started)
{
    std::vector<ActiveGroup> groups;
    if (started.forwarding->head.size() + started.tail->size() > maxGroupedRequestBytes) {
        return groups;
    }
    const RouteLatency &latency = *started.latency;
    const RouteId &route = started.route->name;
    DataCentreSet eligible = this->aggregators.dataCentres(now, route);
    for (DataCentreIndex dataCentreIndex = 0; dataCentreIndex < maxDataCentres; ++dataCentreIndex) {
        if ((eligible & dataCentreBit(dataCentreIndex)) != 0
            && !leavesTimeToHedge(latency, run.softDeadline - now, this->aggregators.roundTripTime(dataCentreIndex))) {
            eligible &= ~dataCentreBit(dataCentreIndex);
        }
    }
    if (eligible == 0) {
        return groups;
    }
    std::vector<DataCentreSet> partDataCentres;
    for (const ServiceId &service : run.services) {
        partDataCentres.push_back(this->table.dataCentresOf(now, service, latency));
    }
    for (PartGroup &group :
         hickoryshore::planGroups(partDataCentres, eligible, this->aggregators.nearDataCentres(), this->random())) {
        const auto aggregator = this->aggregators.choose(now, group.dataCentreIndex, route);
        if (aggregator.has_value()) {
            groups.push_back({.aggregator = *aggregator, .parts = group.parts});
            run.groupRoundTripTimes.push_back(this->aggregators.roundTripTime(group.dataCentreIndex));
            run.groups.push_back(std::move(group));
        }
    }
    return groups;
}

void RequestService::sendGroup(RunId id, ActiveRequest &request, const SendGroup &action)
{
    ActiveGroup &group = request.groups[action.group];
    group.attempts = action.attempts;
    wire::AggregateRequest wire;
    wire.set_version(messageVersion);
    wire.set_request_id(request.forwarding->requestId);
    wire.set_route(request.route->name.value);
    wire.set_head(request.forwarding->head);
    wire.set_tail(*request.tail);
    for (const std::size_t part : group.parts) {
        wire.add_services(request.route->shards[part].value);
    }
    wire.set_remaining_ms(wholeMilliseconds(action.remaining));
    wire.set_answer_within_ms(wholeMilliseconds(action.answerWithin));
    wire.set_top_records(static_cast<std::uint32_t>(request.route->topRecords));
    wire.set_needed(static_cast<std::uint32_t>(action.needed));
    wire.set_attempts(static_cast<std::uint32_t>(std::max(1, request.route->maximumAttempts)));
    wire.set_configuration_version(request.table->version);
    wire.set_vm(this->settings.vm.value);
    const Instant now = monotonicNow();
    const Duration replyTimeout
        = action.answerWithin + this->aggregators.roundTripTime(group.aggregator.dataCentreIndex);
    group.due = now + replyTimeout;
    HttpExchange exchange;
    exchange.request = formatHttpRequest("POST", aggregatePath, group.aggregator.server, wire.SerializeAsString());
    exchange.timeout = action.remaining;
    exchange.onEnd
        = [this, id, number = action.group, call = GroupCall{group.aggregator.vm, request.route->name, now, group.due}](
              const HttpExchangeEnd &end) {
              this->onGroupEnd(id, number, end, call);
          };
    request.attempts += static_cast<int>(group.parts.size());
    this->metrics.count(Count::Groups);
    this->aggregators.countSent(group.aggregator.vm, group.due);
    group.exchange = this->peers->start(group.aggregator.server, std::move(exchange));
}

void RequestService::onGroupEnd(RunId id, std::size_t number, const HttpExchangeEnd &end, const GroupCall &call)
{
    const Instant now = monotonicNow();
    wire::AggregateReply reply;
    const std::string &body = end.response.body;
    const bool readable = !end.failure.has_value() && reply.ParseFromArray(body.data(), static_cast<int>(body.size()));
    const bool answered = readable && end.response.status == statusOk;
    const bool refused = readable && end.response.status == statusConflict;
    this->recordCallEnd(call,
                        end.response.status,
                        {.answered = answered || refused,
                         .roundTripTime = now - call.sentAt - std::chrono::microseconds(reply.held_us()),
                         .refusedRoute = refused ? std::optional(call.route) : std::nullopt});
    const auto waiting = this->active.find(id);
    if (refused) {
        const std::string_view requestId
            = waiting == this->active.end() ? std::string_view() : waiting->second.forwarding->requestId;
        this->recordGroupRefusal(call, requestId, reply.configuration_version());
    }
    if (waiting == this->active.end()) {
        return;
    }
    ActiveGroup &group = waiting->second.groups[number];
    group.ended = true;
    std::vector<GroupedEnd> ends;
    if (answered && static_cast<std::size_t>(reply.parts_size()) == group.attempts.size()) {
        ends = readReply(group, reply);
    } else {
        const AttemptEnd failure = endOfCall(end);
        const int runs = failure.sent ? std::max(1, waiting->second.route->maximumAttempts) : 0;
        for (const AttemptId attempt : group.attempts) {
            ends.push_back({.attempt = attempt, .end = failure, .runs = runs, .taken = failure.sent});
        }
    }
    std::vector<RunAction> actions;
    waiting->second.run->onGroupEnd(now, ends, actions);
    this->perform(id, actions);
}

/// Records how an aggregator answered, and logs it if it failed or was late.
void RequestService::recordCallEnd(const GroupCall &call, int status, const AggregatorEnd &end)
{
    const Instant now = monotonicNow();
    this->aggregators.countEnd(now, call.vm, call.due, end);
    // An aggregator that has received too few parts delays its answer. This delay is not part of roundTripTime and
    // doesn't count as lateness.
    const bool late = now > call.due + AggregatorTable::lateAnswerThreshold
        && end.roundTripTime > AggregatorTable::lateAnswerThreshold;
    if (end.answered && !late) {
        return;
    }
    this->metrics.count(Count::GroupFailures);
    writeLog({.level = LogLevel::Warn,
              .slice = slice,
              .event = end.answered ? "aggregatorLate" : "aggregatorFailed",
              .fields = {{"member", call.vm.value},
                         {"status", std::to_string(status)},
                         {"ageMs", std::to_string((now - call.sentAt) / 1ms)}}});
}

void RequestService::recordGroupRefusal(const GroupCall &call, std::string_view requestId, std::uint64_t memberVersion)
{
    this->metrics.count(Count::GroupsRefused);
    writeLog({.slice = slice,
              .event = "groupRefused",
              .requestId = requestId,
              .fields = {{"member", call.vm.value},
                         {"route", call.route.value},
                         {"version", std::to_string(this->configurationVersion())},
                         {"memberVersion", std::to_string(memberVersion)}}});
    this->recordPeerConfiguration(memberVersion, call.vm);
}

/// Passes on that another VM has this version, if it is newer than this VM's.
void RequestService::recordPeerConfiguration(std::uint64_t version, const VmId &vm)
{
    if (version > this->configurationVersion() && !vm.value.empty() && this->hooks.onNewerConfiguration) {
        this->hooks.onNewerConfiguration(version, vm);
    }
}

std::vector<GroupedEnd> RequestService::readReply(ActiveGroup &group, const wire::AggregateReply &reply)
{
    std::vector<GroupedEnd> ends;
    for (int each = 0; each < reply.parts_size(); ++each) {
        const wire::AggregatedPart &part = reply.parts(each);
        GroupedEnd end{.attempt = group.attempts[static_cast<std::size_t>(each)], .end = {}};
        if (part.signature().empty()) {
            end.runs = static_cast<int>(part.runs());
            end.stillRunning = part.result_code() == 0;
            end.end.code = codeOf(part.result_code());
            end.end.sent = part.runs() > 0;
        } else {
            group.signatures[end.attempt] = part.signature();
        }
        ends.push_back(end);
    }
    group.records = reply.records();
    return ends;
}

/// Returns the latencies of the route of that name, or new ones if this VM doesn't serve it.
std::shared_ptr<RouteLatency> RequestService::latencyForPeer(const RouteId &route, Duration remaining)
{
    const auto found = this->latencies.find(route);
    return found == this->latencies.end() ? std::make_shared<RouteLatency>(remaining) : found->second;
}

/// Returns the route that this VM's configuration has for a forwarded request, or nullptr if there is none.
const Route *RequestService::routeOfHead(std::string_view head) const
{
    HttpRequestReader reader({.headerBytes = maxGroupedRequestBytes, .bodyBytes = 0});
    const bool complete = reader.take(std::string(head).append("\r\n")) == HttpRequestReader::Progress::Complete;
    return complete ? this->routeOf(reader.release()) : nullptr;
}

/// Refuses parts that this VM wouldn't send for its own callers: replicas would see requests of two configurations from
/// it, whichever of the two VMs has the older one.
void RequestService::refuseAggregation(HttpCallId call, const wire::AggregateRequest &request)
{
    this->metrics.count(Count::AggregationsRefused);
    writeLog({.slice = slice,
              .event = "aggregationRefused",
              .requestId = request.request_id(),
              .fields = {{"member", request.vm()},
                         {"route", request.route()},
                         {"version", std::to_string(this->configurationVersion())},
                         {"memberVersion", std::to_string(request.configuration_version())}}});
    wire::AggregateReply reply;
    reply.set_configuration_version(this->configurationVersion());
    this->hooks.answerPeer(
        call, {.status = statusConflict, .body = reply.SerializeAsString(), .label = request.request_id()});
    this->recordPeerConfiguration(request.configuration_version(), {request.vm()});
}

void RequestService::onAggregateRequest(HttpCallId call, const HttpServerRequest &request)
{
    wire::AggregateRequest wire;
    const bool readable = wire.ParseFromArray(request.body.data(), static_cast<int>(request.body.size()));
    if (!readable || wire.version() != messageVersion || wire.request_id().empty()) {
        writeLog({.level = LogLevel::Warn,
                  .slice = slice,
                  .event = "aggregateRefused",
                  .requestId = wire.request_id(),
                  .fields = {{"version", std::to_string(wire.version())}}});
        this->hooks.answerPeer(call, {.status = readable ? statusUnavailable : statusBadRequest});
        return;
    }
    const Instant now = monotonicNow();
    Route route{.name = {wire.route()}, .idempotent = true, .topRecords = wire.top_records()};
    for (const std::string &service : wire.services()) {
        route.shards.push_back({service});
    }
    if (!gathersFrom(this->routeOfHead(wire.head()), route.shards)) {
        this->refuseAggregation(call, wire);
        return;
    }
    RunSettings run{.services = route.shards,
                    .merged = true,
                    .idempotent = true,
                    .maximumAttempts = static_cast<int>(std::max(1U, wire.attempts())),
                    .minimumCoverage = static_cast<double>(wire.needed()) / std::max(1, wire.services_size()),
                    .softDeadline = now + std::chrono::milliseconds(wire.answer_within_ms()),
                    .deadline = now + std::chrono::milliseconds(wire.remaining_ms())};
    const RunId id{++this->lastRun};
    this->peerCalls[call] = id;
    ActiveRequest &started = this->active[id];
    started.call = call;
    started.forPeer = true;
    started.arrival = now;
    started.latency = this->latencyForPeer(route.name, run.deadline - now);
    started.ownRoute = std::make_shared<const Route>(std::move(route));
    started.route = started.ownRoute.get();
    started.forwarding = std::make_shared<Forwarding>(
        Forwarding{.requestId = wire.request_id(), .head = wire.head(), .isHead = wire.head().starts_with("HEAD ")});
    started.tail = std::make_shared<const std::string>(std::move(*wire.mutable_tail()));
    this->metrics.count(Count::Aggregations);
    this->start(id, started, std::move(run));
}

void RequestService::onPeerLeft(HttpCallId call)
{
    const auto found = this->peerCalls.find(call);
    if (found != this->peerCalls.end()) {
        this->abandon(found->second);
        this->peerCalls.erase(call);
    }
}

HttpAnswer RequestService::answerForPeer(const ActiveRequest &request, const FinishRun &outcome) const
{
    wire::AggregateReply reply;
    std::vector<std::string_view> records;
    auto answered = outcome.answered.begin();
    auto missed = outcome.missed.begin();
    for (const ServiceId &service : request.route->shards) {
        wire::AggregatedPart &part = *reply.add_parts();
        if (missed != outcome.missed.end() && missed->service == service) {
            part.set_result_code(static_cast<std::uint32_t>(missed->code));
            part.set_runs(static_cast<std::uint32_t>(missed->runs));
            ++missed;
            continue;
        }
        const UpstreamHttpResponse &result = request.replies.at(*answered++);
        records.emplace_back(result.body);
        part.set_signature(
            std::string(findHeader(result.headers, this->protocol.headers.resultSignature).value_or("")));
    }
    reply.set_records(greatestRecords(records, this->protocol.recordBytes, request.route->topRecords));
    reply.set_held_us(static_cast<std::uint32_t>((monotonicNow() - request.arrival) / 1us));
    return {.body = reply.SerializeAsString()};
}

} // namespace hickoryshore
