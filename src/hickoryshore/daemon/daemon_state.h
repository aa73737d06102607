// The parts of one daemon and how they hang together; daemon.cpp runs them, daemon_services.cpp joins them.
#pragma once

#include "hickoryshore/configservice/config_service.h"
#include "hickoryshore/daemon/caller_api.h"
#include "hickoryshore/daemon/config_link.h"
#include "hickoryshore/daemon/daemon.h"
#include "hickoryshore/daemon/ledger_router.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/http/http_server.h"
#include "hickoryshore/keyvalue/key_value_client.h"
#include "hickoryshore/ledgerservice/ledger_service.h"
#include "hickoryshore/membershipservice/membership_service.h"
#include "hickoryshore/shutdown/shutdown_state.h"
#include "hickoryshore/traffic/traffic_loop.h"

#include <atomic>
#include <mutex>
#include <random>
#include <set>
#include <span>
#include <thread>
#include <vector>

namespace hickoryshore {

/// Everything that the daemon owns. Members are destroyed in the reverse order, so what others use stands first.
struct Daemon::State
{
    explicit State(DaemonSettings given);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    // Shutdown, on the control thread.
    void onSignal();
    void beginShutdown();
    void checkShutdown();
    void perform(std::span<const ShutdownAction> actions);

    // What the services are given; see daemon_services.cpp.
    MembershipHooks membershipHooks();
    ConfigServiceHooks configHooks();
    LedgerServiceSettings ledgerSettings();
    LedgerRouterHooks ledgerRouterHooks();
    TrafficSettings trafficSettings() const;
    TrafficHooks trafficHooks();
    CallerApiHooks callerHooks();

    // On the control thread.
    void takeDeployment(std::shared_ptr<const Deployment> newer);
    void publishView();
    void readLists();
    void takeLists(const std::vector<ListedMember> &entryVms, std::set<std::string> leaving);
    bool isConfigWatcher() const;
    std::vector<VmId> rankedInRegion(const std::string &duty, std::size_t count) const;
    std::vector<VmId> somePeers();

    // From any thread.
    std::shared_ptr<const RoutingView> routing() const;
    std::optional<Refusal> refusalOfQueries() const;
    LedgerDecision recordIntent(const LedgerRequest &request);
    LedgerDecision lookUp(const RequestId &id, std::optional<WallTime> issuedAt);
    std::string entryPoints(const HttpRequest &request) const;

    DaemonSettings settings;
    int signals;
    Metrics metrics;
    KeyValueClient platform;
    EventLoop control;
    std::mt19937_64 random;
    std::shared_ptr<const Deployment> deployment; ///< In force; control thread only.
    std::shared_ptr<const MembershipView> members; ///< Control thread only.
    std::set<std::string> leavingUpstreams; ///< By the platform's list; control thread only.
    mutable std::mutex routingMutex;
    std::shared_ptr<const RoutingView> routingView; ///< Guarded by routingMutex.
    ShutdownState shutdown;
    std::atomic<bool> refusing = false;
    MembershipService membership;
    TrafficLoop traffic;
    ConfigLink configLink;
    ConfigService config;
    LedgerService ledger;
    LedgerRouter ledgerRouter;
    CallerApi api;
    std::thread trafficThread;
    std::unique_ptr<HttpServer> server;
};

} // namespace hickoryshore
