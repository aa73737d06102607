#include "hickoryshore/entry/entry_vm.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/entry/client_bounds.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// How long callers may use a list of entry points. Short, since callers keep sending requests to a departed VM for up
/// to that long.
constexpr Duration entryPointLifetime = 1s;
/// Some callers use a list of entry points for this many lifetimes.
constexpr int maxLifetimesKept = 3;
/// Maximum number of entry points in one answer.
constexpr std::size_t maxEntryPoints = 64;
/// Time until gossip has reported a leaving VM to all others.
constexpr Duration leaveGossipTime = 800ms;
constexpr Duration refusePeriod = 100ms;
/// Part of the grace period that is reserved for the exit, so that the process ends before it is killed.
constexpr Duration exitMargin = 700ms;
constexpr Duration shutdownCheckInterval = 50ms;
/// Time for the last answers to reach their callers before the exit.
constexpr Duration lastAnswersTime = 200ms;
/// Upper bound of this VM's share of connections and extra attempts until the size of the fleet is known.
constexpr double initialShare = 1.0 / 24;
constexpr Duration fleetDiscoveryTime = 5s;
/// One peer is probed per period. A VM that doesn't answer is suspected 350 ms after its probe and no longer listed as
/// an entry point.
constexpr Duration probePeriod = 600ms;
/// Maximum number of VMs that receive a report on replicas.
constexpr std::ptrdiff_t maxReportReceivers = 32;
/// Lines in a second about refused, cut and closed clients; so many clients can't push out all other lines.
constexpr double maxClientLogLines = 20;
constexpr std::string_view metricsPath = "/metrics";
constexpr std::string_view slice = "entryVm";

int portOf(std::string_view address)
{
    return parseHostPort(address).port;
}

ShutdownSettings shutdownSettings(const EntrySettings &settings)
{
    const Duration keptLifetime = maxLifetimesKept * entryPointLifetime;
    const Duration longest = std::max(settings.gracePeriod - exitMargin, leaveGossipTime + keptLifetime + refusePeriod);
    return {.leaveGossipTime = leaveGossipTime,
            .entryPointLifetime = keptLifetime,
            .handOverTimeout = 0s,
            .refusePeriod = refusePeriod,
            .maxShutdownTime = longest};
}

/// Returns the result code for a request that the listener refused with this status.
ResultCode codeOfRefusal(int status)
{
    switch (status) {
    case 431:
        return ResultCode::HeaderTooLarge;
    case 413:
        return ResultCode::RequestTooLarge;
    case 408:
        return ResultCode::RequestIncomplete;
    case 503:
        return ResultCode::RequestMemoryFull;
    default:
        return ResultCode::MalformedRequest;
    }
}

std::string_view cutCauseName(HttpCutCause cause)
{
    switch (cause) {
    case HttpCutCause::ClientLeft:
        return "clientLeft";
    case HttpCutCause::ClientStalled:
        return "clientStalled";
    case HttpCutCause::Memory:
        return "memory";
    case HttpCutCause::Ending:
        return "ending";
    }
    return "";
}

std::string_view crowdingName(HttpCrowding crowding)
{
    switch (crowding) {
    case HttpCrowding::ClosedForOthers:
        return "closedForOthers";
    case HttpCrowding::Refused:
        return "refused";
    case HttpCrowding::NoDescriptors:
        return "noDescriptors";
    }
    return "";
}

std::uint64_t drawSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

/// Returns a duration for a gauge: NaN for none, as no value is known.
double seconds(std::optional<Duration> duration)
{
    return duration.has_value() ? std::chrono::duration<double>(*duration).count()
                                : std::numeric_limits<double>::quiet_NaN();
}

} // namespace

EntryVm::EntryVm(EventLoop &loop, const EntrySettings &settings, PlatformProtocol protocol, StoreAccess store)
    : loop(loop),
      settings(settings),
      protocol(std::move(protocol)),
      seed(drawSeed()),
      random(this->seed),
      clientLogLines(maxClientLogLines, maxClientLogLines),
      callers(loop, settings.callerListen, callerBounds(settings, CallerLimits{}), this->callerHooks()),
      entryPoints(loop,
                  settings.entryPointListen,
                  bodilessBounds(settings, entryPointShare),
                  this->hooksFor(&EntryVm::answerEntryPoint)),
      readiness(loop,
                settings.readinessListen,
                bodilessBounds(settings, readinessShare),
                this->hooksFor(&EntryVm::answerReadiness)),
      peers(loop, settings.peerListen, peerBounds(settings), this->peerHooks()),
      metricsListener(loop,
                      settings.metricsListen,
                      bodilessBounds(settings, metricsShare),
                      this->hooksFor(&EntryVm::answerMetrics)),
      requests(loop,
               this->settings,
               this->protocol,
               this->metrics,
               this->seed,
               {.answer =
                    [this](HttpCallId call, const HttpAnswer &answer) {
                        this->callers.answer(call, answer);
                    },
                .retryAfter =
                    [this] {
                        return this->state.retryAfter();
                    },
                .onReplicaLeaving =
                    [this](EndpointId endpoint) {
                        this->state.markLeaving(endpoint);
                    },
                .reportReplicas =
                    [this](std::string_view report) {
                        this->reportReplicas(report);
                    },
                .answerPeer =
                    [this](HttpCallId call, const HttpAnswer &answer) {
                        this->peers.answer(call, answer);
                    },
                .onNewerConfiguration =
                    [this](std::uint64_t version, const VmId &from) {
                        this->state.onPeerVersion(version, from);
                    }}),
      state(loop,
            this->protocol,
            std::move(store),
            portOf(settings.peerListen),
            this->seed,
            {.onRouteTable =
                 [this](const std::shared_ptr<const RouteTable> &table) {
                     this->onRouteTable(table);
                 },
             .onReplicas =
                 [this](const ReplicaRegistry &registry) {
                     this->requests.setReplicas(registry);
                 }}),
      members(std::make_shared<MembershipView>()),
      shutdown(shutdownSettings(settings))
{
    std::vector<std::string> seeds;
    for (const std::string &seedAddress : settings.seeds) {
        seeds.push_back(seedAddress + ":" + std::to_string(settings.membershipPort));
    }
    Member self{.vm = settings.vm,
                .dataCentre = settings.dataCentre,
                .region = settings.region,
                .address = settings.address,
                .membershipPort = settings.membershipPort,
                .httpPort = portOf(settings.callerListen),
                .capacity = settings.capacity};
    this->requests.setShare(initialShare);
    this->membership = std::make_unique<MembershipService>(
        loop,
        MembershipServiceSettings{.self = std::move(self),
                                  .bindAddress = parseHostPort(settings.peerListen).host,
                                  .seeds = seeds,
                                  .protocol = {.probePeriod = probePeriod}},
        this->membershipHooks());
    loop.after(fleetDiscoveryTime, [this] {
        this->fleetKnown = true;
        this->updateShare();
    });
    this->state.start();
    writeLog({.slice = slice,
              .event = "started",
              .fields = {{"address", settings.callerListen}, {"region", settings.region.value}}});
}

HttpListenerHooks EntryVm::callerHooks()
{
    return this->withReports({.onRequest =
                                  [this](HttpCallId call, const HttpServerRequest &request) {
                                      this->requests.onRequest(call, request);
                                  },
                              .onClientLeft =
                                  [this](HttpCallId call) {
                                      this->requests.onClientLeft(call);
                                  }});
}

/// Adds the hooks that report refusals, cut answers and closed connections.
HttpListenerHooks EntryVm::withReports(HttpListenerHooks hooks)
{
    hooks.onRefused = [this](int status) {
        this->recordRefusal(status);
    };
    hooks.onAnswerCut = [this](const HttpAnswerCut &cut) {
        this->recordCutAnswer(cut);
    };
    hooks.onCrowded = [this](HttpCrowding crowding) {
        this->recordCrowding(crowding);
    };
    return hooks;
}

void EntryVm::recordRefusal(int status)
{
    const ResultCode code = codeOfRefusal(status);
    const bool isFault = code != ResultCode::RequestMemoryFull;
    if (isFault) {
        this->metrics.countBadInput(code);
    } else {
        this->metrics.countAnswer(code);
    }
    this->logClient(
        {.level = LogLevel::Warn, .slice = slice, .event = isFault ? "badInput" : "refused", .resultCode = code});
}

void EntryVm::recordCutAnswer(const HttpAnswerCut &cut)
{
    this->metrics.count(Count::AnswersCut);
    this->logClient({.level = LogLevel::Warn,
                     .slice = slice,
                     .event = "answerCut",
                     .requestId = cut.label,
                     .fields = {{"cause", std::string(cutCauseName(cut.cause))},
                                {"unsentBytes", std::to_string(cut.unsentBytes)}}});
}

void EntryVm::recordCrowding(HttpCrowding crowding)
{
    this->metrics.count(Count::ConnectionsCrowded);
    this->logClient({.level = LogLevel::Warn,
                     .slice = slice,
                     .event = "connectionsCrowded",
                     .fields = {{"cause", std::string(crowdingName(crowding))}}});
}

/// Writes a line that a client can cause, unless there were too many in the last second.
void EntryVm::logClient(LogEvent event)
{
    if (this->clientLogLines.available(monotonicNow()) < 1.0) {
        ++this->clientLinesLeftOut;
        return;
    }
    this->clientLogLines.take(1.0);
    event.fields.push_back({"leftOut", std::to_string(std::exchange(this->clientLinesLeftOut, 0))});
    writeLog(event);
}

HttpListenerHooks EntryVm::peerHooks()
{
    HttpListenerHooks hooks = this->hooksFor(&EntryVm::answerPeer);
    hooks.onClientLeft = [this](HttpCallId call) {
        this->requests.onPeerLeft(call);
    };
    return hooks;
}

HttpListenerHooks EntryVm::hooksFor(void (EntryVm::*answer)(HttpCallId call, const HttpServerRequest &request))
{
    return this->withReports({.onRequest = [this, answer](HttpCallId call, const HttpServerRequest &request) {
        (this->*answer)(call, request);
    }});
}

MembershipHooks EntryVm::membershipHooks()
{
    return {.onView =
                [this](const std::shared_ptr<const MembershipView> &view) {
                    this->onView(view);
                },
            .onRevisionHeard =
                [this](Revision revision, const VmId &from) {
                    this->state.onPeerVersion(revision.value, from);
                },
            .onMemberChanged =
                [this](const MemberChangedAction &change) {
                    this->logMember(change);
                },
            .onReport =
                [this](std::string_view report) {
                    this->requests.onReplicaReport(report);
                },
            .onSuperseded =
                [] {
                    writeLog({.level = LogLevel::Warn, .slice = slice, .event = "superseded"});
                }};
}

void EntryVm::logMember(const MemberChangedAction &change) const
{
    writeLog({.slice = slice,
              .event = "memberChanged",
              .fields = {{"member", change.member.vm.value},
                         {"state", std::string(memberStateName(change.member.state))},
                         {"before", change.before.has_value() ? std::string(memberStateName(*change.before)) : ""},
                         {"incarnation", std::to_string(change.member.incarnation)}}});
}

void EntryVm::onView(const std::shared_ptr<const MembershipView> &view)
{
    this->members = view;
    this->eligibleMembers.setView(monotonicNow(), view);
    this->state.setMembers(view);
    this->requests.setMembers(*view, portOf(this->settings.peerListen));
    // The share is computed from the largest view so far, because members missing from the current view may only be
    // partitioned from this VM and still use their share.
    if (view->members.size() > this->largestFleet.size()) {
        this->largestFleet = view->members;
        this->updateShare();
    }
}

void EntryVm::reportReplicas(std::string_view report)
{
    std::vector<Member> others;
    for (const Member &member : this->members->members) {
        if (isUsable(member) && member.vm != this->settings.vm && member.dataCentre == this->settings.dataCentre) {
            others.push_back(member);
        }
    }
    std::vector<Member> receivers;
    std::ranges::sample(others, std::back_inserter(receivers), maxReportReceivers, this->random);
    this->membership->sendReport(report, receivers);
}

void EntryVm::updateShare()
{
    const double share = fleetShare(this->largestFleet, this->settings.vm);
    this->requests.setShare(this->fleetKnown ? share : std::min(share, initialShare));
}

void EntryVm::onRouteTable(const std::shared_ptr<const RouteTable> &table)
{
    this->requests.setRouteTable(table);
    this->callers.setBounds(callerBounds(this->settings, table->callers));
    // Deferred, since the version isn't known yet while the first listing is being handled.
    this->loop.post([this] {
        this->membership->setConfigRevision({this->state.version()});
    });
}

EntryPoints EntryVm::entryPointsFor(const CallerLocation &location)
{
    const MembershipView eligible = this->eligibleMembers.at(monotonicNow(), this->state.isComplete());
    return chooseEntryPoints(preferMembers(eligible, location, this->requests.replicasByRegion()),
                             location,
                             {.count = maxEntryPoints, .timeToLive = entryPointLifetime},
                             this->random());
}

void EntryVm::answerEntryPoint(HttpCallId call, const HttpServerRequest &request)
{
    if (pathOf(request.target) != this->protocol.entryPointPath) {
        this->entryPoints.answer(call, {.status = 404});
        return;
    }
    const EntryPoints points = this->entryPointsFor(this->protocol.parseCallerLocation(queryOf(request.target)));
    if (points.entries.empty()) {
        this->entryPoints.answer(call, {.status = 503});
        return;
    }
    this->entryPoints.answer(
        call, {.headers = {{"Content-Type", "application/json"}}, .body = this->protocol.formatEntryPoints(points)});
}

void EntryVm::answerReadiness(HttpCallId call, const HttpServerRequest &request)
{
    const bool known = pathOf(request.target) == this->protocol.readinessPath;
    const bool ready = this->state.isComplete() && this->shutdown.phase() == ShutdownPhase::Serving;
    if (ready != this->wasReady) {
        this->wasReady = ready;
        writeLog({.slice = slice, .event = ready ? "ready" : "notReady"});
    }
    this->readiness.answer(call, {.status = !known ? 404 : ready ? 200 : 503});
}

void EntryVm::answerPeer(HttpCallId call, const HttpServerRequest &request)
{
    if (request.target == aggregatePath) {
        this->requests.onAggregateRequest(call, request);
    } else if (request.target == departedPath) {
        this->peers.answer(call, {.body = encodeDeparted(this->state.departedReplicas())});
    } else if (const auto asked = parsePeerTarget(request.target)) {
        this->state.answerPeer(*asked, [this, call](const HttpAnswer &answer) {
            this->peers.answer(call, answer);
        });
    } else {
        this->peers.answer(call, {.status = 404});
    }
}

void EntryVm::answerMetrics(HttpCallId call, const HttpServerRequest &request)
{
    if (pathOf(request.target) == metricsPath) {
        this->metricsListener.answer(call, {.headers = {{"Content-Type", "text/plain"}}, .body = this->metricsText()});
    } else {
        this->metricsListener.answer(call, {.status = 404});
    }
}

std::string EntryVm::metricsText() const
{
    const HttpConnectionCounts connections = this->requests.connections();
    const std::array gauges = {
        Gauge{"requests_in_flight", "Requests that await their answer", static_cast<double>(this->requests.inFlight())},
        Gauge{"replica_connections", "Open connections to replicas", static_cast<double>(connections.open)},
        Gauge{"replica_connections_opened", "Since the start", static_cast<double>(connections.opened)},
        Gauge{"replica_answers_too_long",
              "Closed since the answers together took too much memory",
              static_cast<double>(connections.closedAsTooLong)},
        Gauge{"replica_connections_closed_for_repeats",
              "Closed to send a request again over another connection",
              static_cast<double>(connections.closedForRepeats)},
        Gauge{"replica_answers_foreign",
              "Answers that belong to another request",
              static_cast<double>(connections.foreignResponses)},
        Gauge{"caller_connections", "Open connections of callers", static_cast<double>(this->callers.connections())},
        Gauge{"caller_bytes_kept",
              "Memory of callers' requests and unread answers",
              static_cast<double>(this->callers.keptBytes())},
        Gauge{
            "entry_point_connections", "Open, for entry points", static_cast<double>(this->entryPoints.connections())},
        Gauge{"peer_connections", "Open connections of other VMs", static_cast<double>(this->peers.connections())},
        Gauge{"peer_bytes_kept",
              "Memory of other VMs' requests and unread answers",
              static_cast<double>(this->peers.keptBytes())},
        Gauge{"members", "Known VMs", static_cast<double>(this->members->members.size())},
        Gauge{"configuration_version", "Of the routes in force", static_cast<double>(this->state.version())},
        Gauge{"store_era", "Of the store, as far as known", static_cast<double>(this->state.era())},
        Gauge{"store_reached", "Whether the store answers", this->state.isCutOff() ? 0.0 : 1.0},
        Gauge{"configuration_age_seconds", "Since the store confirmed it", seconds(this->state.configurationAge())},
        Gauge{"replicas_age_seconds", "Since the store confirmed them", seconds(this->state.replicasAge())},
        Gauge{"log_lines_dropped", "Since the start", static_cast<double>(droppedLogLines())}};
    return this->metrics.prometheusText(gauges) + this->requests.latencyText();
}

void EntryVm::leave()
{
    if (this->shutdown.phase() != ShutdownPhase::Serving) {
        return;
    }
    writeLog({.slice = slice, .event = "leaving", .fields = {{"inFlight", std::to_string(this->requests.inFlight())}}});
    std::vector<ShutdownAction> actions;
    this->shutdown.beginLeave(monotonicNow(), actions);
    this->shutdown.shardsHandedOver();
    this->membership->leave();
    this->callers.closeAfterAnswers();
    this->requests.limitDeadlines(monotonicNow() + shutdownSettings(this->settings).maxShutdownTime - lastAnswersTime);
    this->loop.every(shutdownCheckInterval, [this] {
        this->advanceShutdown();
    });
}

void EntryVm::reload(const EntrySettings &changed)
{
    this->requests.setExtraAttemptBudget(changed.extraAttempts);
    writeLog({.slice = slice,
              .event = "reloaded",
              .fields = {{"repeatRatio", std::to_string(changed.extraAttempts.ratio)},
                         {"repeatSlack", std::to_string(changed.extraAttempts.slack)}}});
}

void EntryVm::advanceShutdown()
{
    std::vector<ShutdownAction> actions;
    this->shutdown.onTimer(monotonicNow(), this->callers.busyConnections(), actions);
    for (const ShutdownAction &action : actions) {
        if (std::holds_alternative<RefuseQueriesAction>(action)) {
            this->requests.refuseRequests();
        } else if (const auto *exit = std::get_if<ExitAction>(&action)) {
            writeLog({.level = exit->cut > 0 ? LogLevel::Error : LogLevel::Info,
                      .slice = slice,
                      .event = "stopped",
                      .fields = {{"cut", std::to_string(exit->cut)}}});
            this->callers.cutAnswers();
            this->loop.stop();
        }
    }
}

} // namespace hickoryshore
