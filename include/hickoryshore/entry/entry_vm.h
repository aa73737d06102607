// An entry VM that forwards HTTP requests directly to replicas. All of its components run on one event loop.
//
//     EntryVm vm(loop, settings, protocol, store);
//     loop.run(); // until SIGTERM
#pragma once

#include "hickoryshore/entry/request_service.h"
#include "hickoryshore/entry/state_service.h"
#include "hickoryshore/log/log.h"
#include "hickoryshore/membership/token_bucket.h"
#include "hickoryshore/membershipservice/membership_service.h"
#include "hickoryshore/shutdown/eligible_members.h"
#include "hickoryshore/shutdown/shutdown_state.h"

#include <functional>
#include <memory>
#include <random>

namespace hickoryshore {

/// An entry VM. Must be used on the loop's thread.
class EntryVm
{
public:
    /// Starts to listen and joins the fleet. Call before EventLoop::run(). Throws std::system_error.
    EntryVm(EventLoop &loop, const EntrySettings &settings, PlatformProtocol protocol, StoreAccess store);

    /// Applies the extra-attempt budget from changed settings. Changes to other settings need a restart of the process.
    void reload(const EntrySettings &settings);

    /// Starts the shutdown. Stops the loop once no cached entry point answer names this VM and no request is in flight.
    void leave();

private:
    HttpListenerHooks callerHooks();
    HttpListenerHooks peerHooks();
    HttpListenerHooks withReports(HttpListenerHooks hooks);
    HttpListenerHooks hooksFor(void (EntryVm::*answer)(HttpCallId call, const HttpServerRequest &request));
    void answerEntryPoint(HttpCallId call, const HttpServerRequest &request);
    void answerReadiness(HttpCallId call, const HttpServerRequest &request);
    void answerPeer(HttpCallId call, const HttpServerRequest &request);
    void answerMetrics(HttpCallId call, const HttpServerRequest &request);
    EntryPoints entryPointsFor(const CallerLocation &location);
    MembershipHooks membershipHooks();
    void reportReplicas(std::string_view report);
    void updateShare();
    void onView(const std::shared_ptr<const MembershipView> &view);
    void onRouteTable(const std::shared_ptr<const RouteTable> &table);
    void logMember(const MemberChangedAction &change) const;
    void recordCutAnswer(const HttpAnswerCut &cut);
    void recordRefusal(int status);
    void recordCrowding(HttpCrowding crowding);
    void logClient(LogEvent event);
    void advanceShutdown();
    std::string metricsText() const;

    EventLoop &loop;
    EntrySettings settings;
    PlatformProtocol protocol;
    Metrics metrics;
    std::uint64_t seed;
    std::mt19937_64 random;
    TokenBucket clientLogLines;
    std::uint64_t clientLinesLeftOut = 0; ///< Since the last line about a client.
    HttpListener callers;
    HttpListener entryPoints;
    HttpListener readiness;
    HttpListener peers;
    HttpListener metricsListener;
    RequestService requests;
    StateService state;
    std::shared_ptr<const MembershipView> members;
    EligibleMembers eligibleMembers;
    std::unique_ptr<MembershipService> membership;
    ShutdownState shutdown;
    std::vector<Member> largestFleet; ///< The view with the most members so far.
    bool fleetKnown = false;
    bool wasReady = false;
};

} // namespace hickoryshore
