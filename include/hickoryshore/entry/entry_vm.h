// One entry VM that forwards HTTP requests straight to the replicas: all of its parts, on one event loop.
//
//     EntryVm vm(loop, settings, dialect, store);
//     loop.run(); // until SIGTERM
#pragma once

#include "hickoryshore/entry/request_service.h"
#include "hickoryshore/entry/state_service.h"
#include "hickoryshore/membershipservice/membership_service.h"
#include "hickoryshore/shutdown/eligible_members.h"
#include "hickoryshore/shutdown/shutdown_state.h"

#include <functional>
#include <memory>
#include <random>

namespace hickoryshore {

/// The whole VM. Lives on the loop's thread.
class EntryVm
{
public:
    /// Listens and joins the fleet. Before EventLoop::run(). Throws std::system_error.
    EntryVm(EventLoop &loop, const EntrySettings &settings, EntryDialect dialect, StoreAccess store);

    /// Takes changed settings: the budget of extra attempts. Names and addresses hold until the process starts anew.
    void reload(const EntrySettings &settings);

    /// The order to leave: the loop is stopped once no answer names this VM any more and nothing is in flight.
    void leave();

private:
    HttpListenerHooks callerHooks();
    HttpListenerHooks peerHooks();
    HttpListenerHooks hooksFor(void (EntryVm::*answer)(HttpCallId call, const HttpServerRequest &request));
    void answerEntryPoint(HttpCallId call, const HttpServerRequest &request);
    void answerReadiness(HttpCallId call, const HttpServerRequest &request);
    void answerPeer(HttpCallId call, const HttpServerRequest &request);
    void answerMetrics(HttpCallId call, const HttpServerRequest &request);
    EntryPoints entryPointsFor(const CallerLocation &place);
    MembershipHooks membershipHooks();
    void reportReplicas(std::string_view report);
    void updateShare();
    void onView(const std::shared_ptr<const MembershipView> &view);
    void onRouteTable(const std::shared_ptr<const RouteTable> &table);
    void logMember(const MemberChangedAction &change) const;
    void advanceShutdown();
    std::string metricsText() const;

    EventLoop &loop;
    EntrySettings settings;
    EntryDialect dialect;
    Metrics metrics;
    std::uint64_t seed;
    std::mt19937_64 random;
    HttpListener callers;
    HttpListener entryPoints;
    HttpListener readiness;
    HttpListener peers;
    HttpListener metricsListener;
    RequestService requests;
    StateService state;
    std::shared_ptr<const MembershipView> members;
    EligibleMembers ableMembers;
    std::unique_ptr<MembershipService> membership;
    ShutdownState shutdown;
    std::vector<Member> largestFleet; ///< Of all that were seen.
    bool fleetLearnt = false;
    bool wasReady = false;
};

} // namespace hickoryshore
