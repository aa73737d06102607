// Serves callers' HTTP requests at an entry VM: finds the route, sends the attempts that the dispatch chooses, and
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
class AggregateRequest;
} // namespace hickoryshore::wire

namespace hickoryshore {

/// Path of requests between VMs for several parts of a caller's request.
inline constexpr std::string_view aggregatePath = "/v1/aggregate";

/// Parts of longer requests are requested from the replicas directly, since each aggregator would get a copy.
inline constexpr std::size_t maxGroupedRequestBytes = std::size_t{32} * 1024;

/// Callbacks from a RequestService to its VM.
struct RequestHooks
{
    /// Sends an answer to a caller.
    std::function<void(HttpCallId, const HttpAnswer &)> answer;

    /// Returns after how long a caller may retry if there are no routes or replicas to serve it.
    std::function<Duration()> retryAfter;

    /// Called when a replica reports that it is leaving; may be empty.
    std::function<void(EndpointId)> onReplicaLeaving;

    /// Sends a report on replicas to other VMs; empty if there are no other VMs.
    std::function<void(std::string_view)> reportReplicas;

    /// Sends an answer to another VM; empty if other VMs send no requests.
    std::function<void(HttpCallId, const HttpAnswer &)> answerPeer;

    /// Called when another VM has a newer configuration that changes what this VM does with a request; may be empty.
    std::function<void(std::uint64_t version, const VmId &from)> onNewerConfiguration;
};

/// Identifies a request in flight, of a caller or of another VM.
using RunId = NumberId<struct RunTag>;

/// Owns all requests in flight at this VM. Must be used on the loop's thread.
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
    void setExtraAttemptBudget(const ExtraAttemptBudget &budget);
    void setReplicas(const ReplicaRegistry &registry);

    /// Sets this VM's share, from 0 to 1, of the replicas' connections and of the fleet's extra-attempt budget.
    void setShare(double share);

    /// Sets the other VMs. Those that can serve as aggregators listen on `peerPort`.
    void setMembers(const MembershipView &view, int peerPort);

    void onRequest(HttpCallId call, const HttpServerRequest &request);
    void onClientLeft(HttpCallId call);

    /// Gives all requests, those in flight and later ones, their final answer by this time.
    void limitDeadlines(Instant latest);

    /// Refuses all later requests of callers as "not run".
    void refuseRequests();

    /// Serves a request of another VM for several parts; see aggregatePath.
    void onAggregateRequest(HttpCallId call, const HttpServerRequest &request);
    void onPeerLeft(HttpCallId call);

    /// Handles a report that another VM sent through its reportReplicas hook.
    void onReplicaReport(std::string_view report);

    std::size_t inFlight() const;
    HttpConnectionCounts connections() const;

    /// Returns the latencies of routes and services in Prometheus text format.
    std::string latencyText() const;

    /// Returns the number of replicas in each region.
    ReplicasByRegion replicasByRegion() const;

private:
    /// The begin of a forwarded request. Its attempts differ only in the remaining time and the expected replica, which
    /// go between the head and ActiveRequest::tail.
    struct Forwarding
    {
        std::string requestId;
        std::string head; ///< Request line and header fields.
        bool isHead = false; ///< Whether the method is HEAD.
    };

    /// A request to an aggregator.
    struct GroupCall
    {
        VmId vm;
        RouteId route;
        Instant sentAt;
        Instant due;
    };

    /// Several parts of a request that are requested from another VM.
    struct ActiveGroup
    {
        AggregatorCandidate aggregator;
        std::vector<std::size_t> parts; ///< Indexes of the parts.
        HttpExchangeId exchange;
        Instant due; ///< When the aggregator's answer is expected.
        std::vector<AttemptId> attempts;
        std::string records; ///< Merged records from the aggregator's answer.
        std::unordered_map<AttemptId, std::string> signatures; ///< Signatures of the parts merged into records.
        bool ended = false;
    };

    struct ActiveRequest
    {
        HttpCallId call;
        bool forPeer = false; ///< Whether another VM, not a caller, sent the request.
        std::shared_ptr<const RouteTable> table; ///< Keeps the route of a caller's request alive.
        std::shared_ptr<const Route> ownRoute; ///< Route built from another VM's request.
        const Route *route = nullptr;
        Instant arrival;
        std::shared_ptr<const Forwarding> forwarding;
        std::shared_ptr<const std::string> tail; ///< The rest of the header, and the body; one copy for all attempts.
        std::shared_ptr<RouteLatency> latency;
        std::unique_ptr<RequestRun> run;
        std::unordered_map<AttemptId, UpstreamHttpResponse> replies;
        std::vector<HttpConnectionId> replyConnections; ///< The connections on which the replies came.
        std::vector<ActiveGroup> groups; ///< In the same order as the run's groups.
        Instant timerAt = Instant::max();
        int attempts = 0;
        int hedges = 0;
        ResultCode lastFailure = ResultCode::Ok;
    };

    struct ActiveAttempt
    {
        RunId run; ///< Zero once the attempt is orphaned: nobody waits for its reply.
        EndpointId endpoint;
        std::shared_ptr<RouteLatency> latency;
        HttpExchangeId exchange;
        Instant sentAt;
        bool merged = false;
    };

    /// Registration data of a replica; the dispatch's EndpointTable has its recorded state.
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
    std::vector<ActiveGroup> planGroups(RunSettings &run, Instant now, const ActiveRequest &started);
    std::shared_ptr<RouteLatency> latencyForPeer(const RouteId &route, Duration remaining);
    const Route *routeOf(const HttpServerRequest &request) const;
    const Route *routeOfHead(std::string_view head) const;
    std::uint64_t configurationVersion() const;
    void refuseAggregation(HttpCallId call, const wire::AggregateRequest &request);
    void recordCallEnd(const GroupCall &call, int status, const AggregatorEnd &end);
    void recordGroupRefusal(const GroupCall &call, std::string_view requestId, std::uint64_t memberVersion);
    void recordPeerConfiguration(std::uint64_t version, const VmId &vm);
    std::shared_ptr<const Forwarding> forwardingOf(const HttpServerRequest &request) const;
    std::shared_ptr<RouteLatency> latencyOf(const Route &route);
    void eraseRemovedRoutes();
    void limitConnections();

    DataCentreIndex dataCentreIndexOf(const DataCentreId &dataCentre) const;
    void start(RunId id, ActiveRequest &started, RunSettings run);
    void perform(RunId id, std::vector<RunAction> &actions);
    std::optional<std::string> requestBytes(const Forwarding &forwarding,
                                            EndpointId endpoint,
                                            std::string_view replica,
                                            Instant deadline,
                                            std::string_view smallTail) const;
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
    std::unordered_map<DataCentreId, DataCentreIndex> dataCentreIndexes;
    std::shared_ptr<HttpConnections> peers; ///< Connections to other VMs.
    std::uint64_t ownHash = 0; ///< Seed for ranking aggregators, so that VMs choose different ones.
    std::minstd_rand random;
    std::unordered_map<AttemptId, ActiveAttempt> attempts;
    std::uint64_t lastAttempt = 0;
    ExtraAttemptBudget extraAttempts;
    double fleetShare = 1.0;
    Instant latestDeadline = Instant::max(); ///< No request is answered later.
    bool refusing = false; ///< Whether callers' requests are refused, since this VM is leaving.
};

} // namespace hickoryshore
