// Serves callers' HTTP requests at an entry VM: finds the route, has the dispatch decide, talks to the replicas,
// answers.
#pragma once

#include "hickoryshore/dispatch/request_run.h"
#include "hickoryshore/entry/entry_dialect.h"
#include "hickoryshore/entry/entry_settings.h"
#include "hickoryshore/httpserver/http_listener.h"
#include "hickoryshore/metrics/labelled_latencies.h"
#include "hickoryshore/metrics/metrics.h"
#include "hickoryshore/routes/route_table.h"
#include "hickoryshore/routes/service_split.h"
#include "hickoryshore/upstream/http_connections.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// What a RequestService needs of its VM.
struct RequestHooks
{
    /// Gives an answer to the callers' listener.
    std::function<void(HttpCallId, const HttpAnswer &)> answer;

    /// When a caller may come back that can't be served for want of routes or replicas.
    std::function<Duration()> comeBackAfter;

    /// A replica has said that it leaves; may be empty.
    std::function<void(EndpointId)> onReplicaLeaving;
};

/// All requests in flight at this VM. Lives on the loop's thread.
class RequestService
{
public:
    RequestService(EventLoop &loop,
                   const EntrySettings &settings,
                   const EntryDialect &dialect,
                   Metrics &metrics,
                   std::uint64_t seed,
                   RequestHooks hooks);

    void setRouteTable(std::shared_ptr<const RouteTable> table);
    void setRepeatBudget(const RepeatBudget &budget);
    void setReplicas(const ReplicaRegistry &registry);

    /// Sets this VM's share, from 0 to 1, of the replicas' connections and of the budget of extra attempts.
    void setShare(double share);

    void onRequest(HttpCallId call, const HttpServerRequest &request);
    void onClientLeft(HttpCallId call);

    std::size_t inFlight() const;
    HttpConnectionCounts connections() const;

    /// The latencies of routes and services in Prometheus' text format.
    std::string latencyText() const;

    /// How many replicas each region holds.
    ReplicasByRegion replicasByRegion() const;

private:
    /// How a request is passed on; only the remaining time and the expected replica differ between its attempts.
    struct Forwarding
    {
        std::string requestId;
        std::string head; ///< Request line and header fields.
        std::string tail; ///< The rest of the header, and the body.
        bool isHead = false;
    };

    struct ActiveRequest
    {
        std::shared_ptr<const RouteTable> table; ///< Under which it is served; keeps its route alive.
        const Route *route = nullptr;
        Instant arrival;
        std::shared_ptr<const Forwarding> forwarding;
        std::shared_ptr<RouteLatency> latency;
        std::unique_ptr<RequestRun> run;
        std::unordered_map<AttemptId, UpstreamHttpResponse> replies;
        Instant timerAt = Instant::max();
        int attempts = 0;
        int hedges = 0;
        ResultCode lastFailure = ResultCode::Ok;
    };

    struct ActiveAttempt
    {
        HttpCallId call; ///< Zero once nobody waits for it any more.
        EndpointId endpoint;
        std::shared_ptr<RouteLatency> latency;
        HttpExchangeId exchange;
        Instant sentAt;
        bool merged = false;
    };

    /// What is known of a replica besides the dispatch's beliefs.
    struct Replica
    {
        std::string name;
        std::string address;
        ServiceId service;
    };

    std::optional<ResultCode> refusal(const Route *route, const HttpServerRequest &request) const;
    void refuse(HttpCallId call, const HttpServerRequest &request, ResultCode code);
    void begin(HttpCallId call, const Route &route, const HttpServerRequest &request);
    RunSettings runSettings(const Route &route, Instant now, Duration remaining);
    std::shared_ptr<const Forwarding> forwardingOf(const HttpServerRequest &request) const;
    std::shared_ptr<RouteLatency> latencyOf(const Route &route);
    void forgetOldRoutes();
    void limitConnections();

    void perform(HttpCallId call, std::vector<RunAction> &actions);
    std::optional<std::string> requestBytes(const Forwarding &forwarding,
                                            EndpointId endpoint,
                                            std::string_view replica,
                                            Instant deadline) const;
    void send(HttpCallId call, ActiveRequest &active, const SendAttempt &action);
    void drop(const DropAttempt &action);
    void finish(HttpCallId call, const FinishRun &outcome);
    void armTimer(HttpCallId call, ActiveRequest &active);

    void onExchangeEnd(AttemptId attempt, HttpExchangeEnd end);
    void noteChange(const EndpointChange &change, ResultCode code);
    void readNotice(const UpstreamHttpResponse &response, AttemptEnd &result) const;
    AttemptEnd classify(const ActiveAttempt &attempt, const HttpExchangeEnd &end, Instant now) const;
    void giveUpStray(AttemptId attempt);
    void observeService(EndpointId endpoint, Duration latency);

    HttpAnswer answerOf(const ActiveRequest &active, const FinishRun &outcome) const;
    HttpAnswer mergedAnswer(const ActiveRequest &active, const FinishRun &outcome) const;
    HttpAnswer forwardedAnswer(const UpstreamHttpResponse &reply) const;
    HttpAnswer refusalAnswer(std::string_view requestId, ResultCode code, Duration retryAfter) const;
    void logFinish(const ActiveRequest &active, const FinishRun &outcome, int status) const;

    EventLoop &loop;
    const EntrySettings &settings;
    const EntryDialect &dialect;
    Metrics &metrics;
    RequestHooks hooks;
    LabelledLatencies routeLatencies{"route_seconds", "route", "From a request's arrival to its answer"};
    LabelledLatencies serviceLatencies{"service_seconds", "service", "From the sending of an attempt to its reply"};
    EndpointTable table;
    ServiceSplit split;
    std::optional<RouteIndex> routes;
    std::shared_ptr<const RouteTable> routeTable;
    std::unordered_map<RouteId, std::shared_ptr<RouteLatency>> latencies;
    std::unordered_map<EndpointId, Replica> replicas;
    ReplicasByRegion regionReplicas;
    std::shared_ptr<HttpConnections> upstream;
    std::unordered_map<HttpCallId, ActiveRequest> active;
    std::unordered_map<AttemptId, ActiveAttempt> attempts;
    std::uint64_t lastAttempt = 0;
    RepeatBudget repeats;
    double fleetShare = 1.0;
};

} // namespace hickoryshore
