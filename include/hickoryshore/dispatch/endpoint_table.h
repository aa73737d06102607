// What this VM believes of the replicas that it calls directly, which one it calls next, and how many extra attempts a
// service may get.
//
// Events and the time go in; nothing here reads a clock or a socket. For example:
//
//     EndpointTable table(seed);
//     table.setReplicas(now, replicas);
//     const auto endpoint = table.choose(now, service, latency, tried);
//     table.countSent(now, *endpoint);
//     table.countEnd(now, *endpoint, end);
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/dispatch/aggregation_plan.h"
#include "hickoryshore/dispatch/route_latency.h"
#include "hickoryshore/result/result_code.h"
#include "hickoryshore/shard/replica_health.h"
#include "hickoryshore/shard/token_budget.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// A replica as this VM may call it.
struct DirectReplica
{
    EndpointId endpoint;
    ServiceId service;
    Distance distance = Distance::SameRegion;
    DataCentreIndex dataCentreIndex = ownDataCentreIndex; ///< Its data centre.
    int slots = 1;
    bool draining = false;
    Duration warmUpLeft{0};
};

/// Bounds of extra attempts, over the whole fleet.
struct ExtraAttemptBudget
{
    double ratio = 0.2; ///< Extra attempts for each request for a service.
    double slack = 0.0; ///< Further ones in any window, by all VMs together.
    Duration window{std::chrono::seconds(10)};
};

/// What an attempt came to.
struct AttemptEnd
{
    ResultCode code = ResultCode::Ok;
    bool sent = true; ///< Whether the replica can have received it.
    Duration latency{0}; ///< From sending to the end.
    std::optional<int> waiting; ///< Requests in the replica's queue, where it told.
    bool leaving = false; ///< The replica said that it leaves.
    std::optional<Duration> refusesFor; ///< It refused, and asked for no further request for so long.
    bool withdrawn = false; ///< Not sent, by this VM's own decision: it says nothing of the replica.
};

/// What one VM tells others of a replica that answers late or fails: that nothing comes back from it, or how an attempt
/// there has ended.
struct ReplicaObservation
{
    EndpointId endpoint;
    Duration stalledFor{0}; ///< Not zero: attempts are in flight, and for so long none has ended.
    Duration attemptDuration{0}; ///< Of the attempt that has ended.
    std::optional<double> latencyRatio; ///< Its latency as a multiple of the usual one; nothing where it failed.
};

/// What has become of a replica in this VM's view.
enum class EndpointState { InUse, Ejected, Misdirected, Refusing, Leaving };

/// A belief about a replica that has changed, for the log.
struct EndpointChange
{
    EndpointId endpoint;
    EndpointState state = EndpointState::InUse;
    int failures = 0; ///< In a row.
    Duration refusalDuration{0}; ///< For how long a replica that refuses gets no request.
};

/// The replicas of all services. Not thread-safe: one thread drives it.
class EndpointTable
{
public:
    explicit EndpointTable(std::uint64_t seed);

    /// Takes the whole list of replicas. What is known of those that stay is kept.
    void setReplicas(Instant now, std::span<const DirectReplica> replicas);

    /// Sets the fleet's budget of extra attempts, and this VM's share of its slack, from 0 to 1.
    void setExtraAttemptBudget(const ExtraAttemptBudget &budget, double share);

    /// The replica to call next, none of those excluded; nothing where there is none.
    std::optional<EndpointId> choose(Instant now,
                                     const ServiceId &service,
                                     const RouteLatency &latency,
                                     std::span<const EndpointId> excluded);

    /// The data centres from which the service is served best: those of replicas that are expected to take little
    /// longer than the one that choose() would take. Empty where there is none.
    DataCentreSet dataCentresOf(Instant now, const ServiceId &service, const RouteLatency &latency);

    /// Why a request may no longer be sent to a replica that was chosen earlier, where it waited for a connection
    /// meanwhile; nothing where it may.
    std::optional<ResultCode> refusalReason(Instant now, EndpointId endpoint) const;

    /// Until one of the service's replicas takes requests again, where all of them have asked for none; nothing
    /// otherwise.
    std::optional<Duration> timeUntilAccepted(Instant now, const ServiceId &service) const;

    /// Counts a caller's request for the service: it earns a part of an extra attempt.
    void countRequest(Instant now, const ServiceId &service);

    /// Takes an extra attempt out of the service's budget; returns false where there is none left. Hedges leave a part
    /// for retries.
    bool takeExtraAttempt(Instant now, const ServiceId &service, bool isHedge);

    void countSent(Instant now, EndpointId endpoint);

    /// Takes the end of an attempt. Returns what it changed about the replica, if that is worth a log line.
    std::optional<EndpointChange> countEnd(Instant now,
                                           EndpointId endpoint,
                                           const RouteLatency &latency,
                                           const AttemptEnd &end);

    /// An attempt was given up without an answer; `late` says that it had been waited for long enough.
    void countDropped(Instant now, EndpointId endpoint, bool late);

    /// An attempt there is late. Notes that nothing comes back from the replica, if so, for other VMs.
    void countOverdue(Instant now, EndpointId endpoint, const RouteLatency &latency);

    /// What other VMs are to hear since the last call.
    std::vector<ReplicaObservation> takeObservations();

    /// Takes what another VM has observed.
    void receiveObservation(Instant now, const ReplicaObservation &observation);

    Distance distanceOf(EndpointId endpoint) const;

private:
    /// What a replica's recent attempts say of it.
    struct Assessment
    {
        double latencyRatio = 1.0; ///< Its latencies as a multiple of the route's typical ones.
        double failureShare = 0.0; ///< Of the attempts, those that failed or were refused.
    };

    struct Endpoint
    {
        DirectReplica replica;
        Assessment assessment;
        Instant assessedAt; ///< The assessment fades from there.
        int inFlight = 0;
        Instant stalledSince; ///< Since then attempts are in flight, and none has ended.
        Instant reportedStalledSince; ///< The start of the quiet time that other VMs were told of.
        Instant answeredAt; ///< Last.
        Instant peerStalledSince; ///< As another VM said at peerStallReportedAt.
        Instant peerStallReportedAt;
        bool lastAttemptSlow = false; ///< The last attempt, here or elsewhere, was slow.
        Instant latestCountedAt; ///< An attempt of another VM that began earlier says nothing new.
        Instant warmUpUntil; ///< End of the time in which it is slow after its start.
        int waiting = 0; ///< Its queue, as it told at queueReportedAt.
        Instant queueReportedAt;
        ReplicaHealth health;
        Instant misdirectedUntil; ///< Another replica has its address: nothing goes there until then.
        Instant refusesUntil; ///< It asked for no request until then.
        bool recovering = false; ///< It asked for a pause, and has taken no request since.
        bool leaving = false; ///< It said so; holds for as long as the endpoint does.
        bool removed = false; ///< No longer listed; attempts may still be in flight.
    };

    struct Service
    {
        std::vector<EndpointId> endpoints;
        TokenBudget extraAttempts;
        Instant refilledAt;
    };

    Service &serviceOf(const ServiceId &service);
    void refill(Instant now, Service &service) const;
    static bool accepts(const Endpoint &endpoint, Instant now);
    Instant endOfRefusal(Instant now, Duration asked);
    void countReply(Instant now, Endpoint &endpoint, const RouteLatency &latency, Duration attemptDuration);
    void countFailedAttempt(Instant now, Endpoint &endpoint, Duration attemptDuration);
    std::optional<EndpointChange> applyReplicaNotice(Instant now, Endpoint &endpoint, const AttemptEnd &end);
    double estimateLatency(const Endpoint &endpoint, Instant now, const RouteLatency &latency);
    static Duration stalledDuration(const Endpoint &endpoint, Instant now, const RouteLatency &latency);
    void recordObservation(const Endpoint &endpoint, Duration attemptDuration, std::optional<double> latencyRatio);
    static Assessment assessmentNow(const Endpoint &endpoint, Instant now);
    static void assess(Endpoint &endpoint, Instant now, std::optional<double> latencyRatio, bool failed);
    static void assessLatency(Endpoint &endpoint, Instant now, double latencyRatio);
    double extraAttemptReserve() const;
    double extraAttemptsPerRequest() const;
    void eraseIfUnused(EndpointId endpoint);

    std::unordered_map<EndpointId, Endpoint> endpoints;
    std::unordered_map<ServiceId, Service> services;
    ExtraAttemptBudget budget;
    double budgetShare = 1.0;
    std::vector<ReplicaObservation> observations; ///< For other VMs.
    std::minstd_rand random;
};

} // namespace hickoryshore
