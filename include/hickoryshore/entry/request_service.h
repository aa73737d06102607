// Serves callers' HTTP requests at an entry VM: finds the route, has the dispatch decide, talks to the replicas,
// answers.
#pragma once

#include "hickoryshore/dispatch/aggregator_table.h"
#include "hickoryshore/dispatch/request_run.h"
#include "hickoryshore/entry/entry_settings.h"
#include "hickoryshore/entry/platform_protocol.h"
#include "hickoryshore/httpserver/http_listener.h"
#include "hickoryshore/membership/member.h"
#include "hickoryshore/metrics/labelled_latencies.h"
#include "hickoryshore/metrics/metrics.h"
#include "hickoryshore/routes/route_table.h"
#include "hickoryshore/routes/service_split.h"
#include "hickoryshore/upstream/http_connections.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickoryshore::wire {
class AggregateReply;
}

namespace hickoryshore {

/// Where VMs ask each other for several parts of a request.
inline constexpr std::string_view aggregatePath = "/v1/aggregate";

/// What a RequestService needs of its VM.
struct RequestHooks
{
    /// Gives an answer to the callers' listener.
    std::function<void(HttpCallId, const HttpAnswer &)> answer;

    /// When a caller may come back that can't be served for want of routes or replicas.
    std::function<Duration()> retryAfter;

    /// A replica has said that it leaves; may be empty.
    std::function<void(EndpointId)> onReplicaLeaving;

    /// Sends a report on replicas to other VMs; empty where there are none.
    std::function<void(std::string_view)> reportReplicas;

    /// Gives an answer to the listener of other VMs; empty where none of them asks.
    std::function<void(HttpCallId, const HttpAnswer &)> answerPeer;
};

/// One request under way, of a caller or of another VM.
using RunId = NumberId<struct RunTag>;

/// All requests in flight at this VM. Lives on the loop's thread.
class RequestService
{
public:
    RequestService(EventLoop &loop,
                   const EntrySettings &settings,
                   const PlatformProtocol &protocol,
                   Metrics &metrics,
                   std::uint64_t seed,
                   RequestHooks hooks);

    void setRouteTable(std::shared_ptr<const RouteTable> table);
    void setRepeatBudget(const RepeatBudget &budget);
    void setReplicas(const ReplicaRegistry &registry);

    /// Sets this VM's share, from 0 to 1, of the replicas' connections and of the budget of extra attempts.
    void setShare(double share);

    /// Takes the other VMs; those that can be asked for parts listen on this port.
    void setMembers(const MembershipView &view, int peerPort);

    void onRequest(HttpCallId call, const HttpServerRequest &request);
    void onClientLeft(HttpCallId call);

    /// Another VM asks for parts of a request.
    void onAggregateRequest(HttpCallId call, const HttpServerRequest &request);
    void onPeerLeft(HttpCallId call);

    /// Takes what another VM's reportReplicas hook has sent.
    void onReplicaReport(std::string_view report);

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

    /// A call to an aggregator.
    struct GroupCall
    {
        VmId vm;
        Instant sentAt;
        Instant due;
    };

    /// Several parts that another VM is asked for.
    struct ActiveGroup
    {
        AggregatorCandidate aggregator;
        std::vector<std::size_t> parts; ///< Their numbers.
        HttpExchangeId exchange;
        Instant due; ///< Of its answer.
        std::vector<AttemptId> attempts;
        std::string records; ///< Merged, once it has answered.
        std::unordered_map<AttemptId, std::string> signatures; ///< Of the parts that are in the records.
        bool ended = false;
    };

    struct ActiveRequest
    {
        HttpCallId call;
        bool forPeer = false; ///< Another VM asks; otherwise a caller.
        std::shared_ptr<const RouteTable> table; ///< Under which it is served; keeps its route alive.
        std::shared_ptr<const Route> ownRoute; ///< Of a request of another VM, which has told what to do.
        const Route *route = nullptr;
        Instant arrival;
        std::shared_ptr<const Forwarding> forwarding;
        std::shared_ptr<RouteLatency> latency;
        std::unique_ptr<RequestRun> run;
        std::unordered_map<AttemptId, UpstreamHttpResponse> replies;
        std::vector<ActiveGroup> groups; ///< In the order of the run's groups.
        Instant timerAt = Instant::max();
        int attempts = 0;
        int hedges = 0;
        ResultCode lastFailure = ResultCode::Ok;
    };

    struct ActiveAttempt
    {
        RunId run; ///< Zero once nobody waits for it any more.
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

    std::optional<ResultCode> refusalCode(const Route *route, const HttpServerRequest &request) const;
    void refuse(HttpCallId call, const HttpServerRequest &request, ResultCode code);
    void begin(HttpCallId call, const Route &route, const HttpServerRequest &request);
    RunSettings runSettings(const Route &route, Instant now, Duration remaining);
    std::vector<ActiveGroup> planGroups(RunSettings &run, Instant now, const RouteLatency &latency);
    std::shared_ptr<RouteLatency> latencyForPeer(const RouteId &route, Duration remaining);
    std::shared_ptr<const Forwarding> forwardingOf(const HttpServerRequest &request) const;
    std::shared_ptr<RouteLatency> latencyOf(const Route &route);
    void eraseRemovedRoutes();
    void limitConnections();

    PlaceNumber dataCentreIndexOf(const DataCentreId &dataCentre) const;
    void start(RunId id, ActiveRequest &started, RunSettings run);
    void perform(RunId id, std::vector<RunAction> &actions);
    std::optional<std::string> requestBytes(const Forwarding &forwarding,
                                            EndpointId endpoint,
                                            std::string_view replica,
                                            Instant deadline) const;
    void send(RunId id, ActiveRequest &active, const SendAttempt &action);
    void recordAttempt(ActiveRequest &active, const SendAttempt &action, const Replica &replica);
    void sendGroup(RunId id, ActiveRequest &active, const SendGroup &action);
    void onGroupEnd(RunId id, std::size_t group, const HttpExchangeEnd &end, const GroupCall &call);
    static std::vector<GroupedEnd> readReply(ActiveGroup &group, const wire::AggregateReply &reply);
    void drop(const DropAttempt &action);
    void finish(RunId id, const FinishRun &outcome);
    void abandon(RunId id);
    void armTimer(RunId id, ActiveRequest &active);

    void onExchangeEnd(AttemptId attempt, HttpExchangeEnd end);
    void onEndpointChange(const EndpointChange &change, ResultCode code);
    void readReplicaStatus(const UpstreamHttpResponse &response, AttemptEnd &result) const;
    AttemptEnd classify(const ActiveAttempt &attempt, const HttpExchangeEnd &end, Instant now) const;
    void abandonOrphan(AttemptId attempt);
    void observeService(EndpointId endpoint, Duration latency);
    void collectObservations();
    void reportObservations();

    HttpAnswer answerOf(const ActiveRequest &active, const FinishRun &outcome) const;
    HttpAnswer answerForPeer(const ActiveRequest &active, const FinishRun &outcome) const;
    HttpAnswer mergedAnswer(const ActiveRequest &active, const FinishRun &outcome) const;
    HttpAnswer forwardedAnswer(const UpstreamHttpResponse &reply) const;
    HttpAnswer refusalAnswer(std::string_view requestId, ResultCode code, Duration retryAfter) const;
    void logFinish(const ActiveRequest &active, const FinishRun &outcome, int status) const;

    EventLoop &loop;
    const EntrySettings &settings;
    const PlatformProtocol &protocol;
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
    std::unordered_map<std::string, EndpointId> endpointsByName;
    std::vector<ReplicaObservation> unreportedObservations;
    ReplicasByRegion regionReplicas;
    std::shared_ptr<HttpConnections> upstream;
    std::unordered_map<RunId, ActiveRequest> active;
    std::unordered_map<HttpCallId, RunId> callers;
    std::unordered_map<HttpCallId, RunId> peerCalls;
    std::uint64_t lastRun = 0;
    AggregatorTable aggregators;
    std::unordered_map<DataCentreId, PlaceNumber> dataCentreIndexes; ///< Numbers of the data centres.
    std::shared_ptr<HttpConnections> peers; ///< To other VMs.
    std::uint64_t ownHash = 0; ///< Spreads the VMs over the aggregators of a data centre.
    std::minstd_rand random;
    std::unordered_map<AttemptId, ActiveAttempt> attempts;
    std::uint64_t lastAttempt = 0;
    RepeatBudget extraAttempts;
    double fleetShare = 1.0;
};

} // namespace hickoryshore
