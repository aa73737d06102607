#include "hickoryshore/daemon/daemon.h"

#include "daemon_state.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/eventloop/signals.h"
#include "hickoryshore/log/log.h"

#include <array>
#include <csignal>
#include <utility>

#include <unistd.h>

namespace hickoryshore {

namespace {

constexpr std::array ordersToLeave = {SIGTERM, SIGINT};

/// How often a leaving VM looks whether its next step is due.
constexpr Duration shutdownCheckPeriod = std::chrono::milliseconds(50);

/// Time for the news of leaving to reach all VMs; they then send it no sub-requests and name it to no caller.
constexpr Duration leaveGossipTime = std::chrono::seconds(2);

/// Calls to the platform's service that may wait at once: watches, list, ledger.
constexpr int platformThreads = 12;

Member selfOf(const DaemonSettings &settings)
{
    Member self;
    self.vm = settings.vm;
    self.dataCentre = settings.dataCentre;
    self.region = settings.region;
    self.address = settings.address;
    self.membershipPort = settings.membershipPort;
    self.peerPort = settings.peerPort;
    self.httpPort = settings.httpPort;
    return self;
}

ShutdownSettings shutdownSettingsOf(const DaemonSettings &settings)
{
    ShutdownSettings shutdown;
    shutdown.leaveGossipTime = leaveGossipTime;
    shutdown.entryPointLifetime = settings.entryPointsTimeToLive;
    shutdown.maxShutdownTime = settings.shutdownLimit;
    return shutdown;
}

ConfigServiceSettings configSettingsOf(const DaemonSettings &settings)
{
    ConfigServiceSettings config;
    config.slowPoll = settings.configurationPoll;
    return config;
}

} // namespace

Daemon::State::State(DaemonSettings given)
    : settings(std::move(given)),
      signals(openSignals(ordersToLeave)),
      platform({this->settings.platformAddress, this->settings.platformPort, this->settings.platformTimeout}),
      control(platformThreads),
      random(std::random_device{}()),
      shutdown(shutdownSettingsOf(this->settings)),
      membership(this->control,
                 {selfOf(this->settings), this->settings.bindAddress, this->settings.seeds, {}},
                 this->membershipHooks()),
      traffic(this->trafficSettings(), this->trafficHooks(), this->metrics),
      configLink(this->control,
                 [this](const VmId &vm, wire::ConfigFetch fetch) {
                     this->traffic.fetchConfig(vm, std::move(fetch));
                 }),
      config(this->control, this->platform, this->configHooks(), configSettingsOf(this->settings)),
      ledger(this->control, this->ledgerSettings()),
      ledgerRouter(this->control, this->ledger, this->settings.vm, this->ledgerRouterHooks()),
      api(this->callerHooks(), this->settings.longestDeadline, this->metrics)
{
    this->publishView();
    this->control.watch(this->signals, [this] {
        this->onSignal();
    });
    this->control.post([this] {
        this->readLists();
    });
    this->config.start();
    this->trafficThread = std::thread([this] {
        this->traffic.run();
    });
    HttpServerSettings http{.address = this->settings.bindAddress,
                            .port = this->settings.httpPort,
                            .threads = this->settings.callerThreads};
    http.answerFault = [this](const HttpFault &fault) {
        return this->api.answerFault(fault);
    };
    const auto handle = [this](const HttpRequest &request, const CallerConnection &caller) {
        return this->api.handle(request, &caller);
    };
    this->server = std::make_unique<HttpServer>(std::move(http), handle);
}

Daemon::State::~State()
{
    this->server.reset();
    this->traffic.stop();
    this->trafficThread.join();
    close(this->signals);
}

void Daemon::State::onSignal()
{
    while (nextSignal(this->signals).has_value()) {
        this->beginShutdown();
    }
}

void Daemon::State::beginShutdown()
{
    if (this->shutdown.phase() != ShutdownPhase::Serving) {
        return;
    }
    std::vector<ShutdownAction> actions;
    this->shutdown.beginLeave(monotonicNow(), actions);
    this->perform(actions);
    this->control.every(shutdownCheckPeriod, [this] {
        this->checkShutdown();
    });
}

void Daemon::State::checkShutdown()
{
    const int inFlight
        = this->traffic.queriesInFlight() + this->traffic.subRequestsInFlight() + (this->ledger.flushed() ? 0 : 1);
    std::vector<ShutdownAction> actions;
    this->shutdown.onTimer(monotonicNow(), static_cast<std::size_t>(inFlight), actions);
    this->perform(actions);
}

void Daemon::State::perform(std::span<const ShutdownAction> actions)
{
    for (const ShutdownAction &action : actions) {
        if (std::holds_alternative<AnnounceLeavingAction>(action)) {
            writeLog({.slice = "shutdown", .event = "leaving"});
            this->membership.leave();
        } else if (std::holds_alternative<HandOverShardsAction>(action)) {
            // The other VMs rank this one behind its successors as soon as they hear that it leaves.
            this->control.after(leaveGossipTime, [this] {
                this->shutdown.shardsHandedOver();
            });
        } else if (std::holds_alternative<RefuseQueriesAction>(action)) {
            writeLog({.slice = "shutdown", .event = "refusing"});
            this->refusing = true;
        } else {
            const std::size_t cut = std::get<ExitAction>(action).cut;
            writeLog({.level = cut == 0 ? LogLevel::Info : LogLevel::Warn,
                      .slice = "shutdown",
                      .event = "exiting",
                      .detail = std::to_string(cut) + " requests in flight"});
            this->control.stop();
        }
    }
}

Daemon::Daemon(DaemonSettings settings) : state(std::make_unique<State>(std::move(settings)))
{
    writeLog({.slice = "daemon", .event = "started"});
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    this->state->control.run();
    return 0;
}

} // namespace hickoryshore
