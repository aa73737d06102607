// Keeps state about the replicas that this VM calls directly, chooses the next replica to call, and limits the extra
// attempts of each service.
//
// Takes events and the time as arguments; reads no clock or socket. For example:
//
//     EndpointTable table(seed);
//     table.setReplicas(now, replicas);
//     const auto endpoint = table.choose(now, service, latency, tried);
//     table.countSent(now, *endpoint);
//     table.countEnd(now, *endpoint, latency, end);
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

/// A replica that this VM can call.
struct DirectReplica
{
    EndpointId endpoint;
    ServiceId service;
    Distance distance = Distance::SameRegion;
    DataCentreIndex dataCentreIndex = ownDataCentreIndex;
    int slots = 1;
    bool draining = false;
    Duration warmUpLeft{0};
};

/// Limits on extra attempts (hedges and retries) across the whole fleet.
struct ExtraAttemptBudget
{
    double ratio = 0.2; ///< Extra attempts allowed per request for a service.
    double slack = 0.0; ///< Additional extra attempts per window, shared by all VMs.
    Duration window{std::chrono::seconds(10)};
};

/// The outcome of an attempt.
struct AttemptEnd
{
    ResultCode code = ResultCode::Ok;
    bool sent = true; ///< False if the replica certainly did not receive it.
    Duration latency{0}; ///< From sending the attempt to its end.
    std::optional<int> waiting; ///< Requests in the replica's queue, if it reported that.
    bool leaving = false; ///< The replica reported that it is leaving.
    std::optional<Duration> refusesFor; ///< How long the replica asked not to receive requests, if it refused.
    bool withdrawn = false; ///< This VM cancelled the attempt before sending it; the outcome does not reflect on the
                            ///< replica.
};

/// An observation that VMs exchange about a replica that answers late or fails: either that it is stalled or how an
/// attempt to it ended.
struct ReplicaObservation
{
    EndpointId endpoint;
    Duration stalledFor{0}; ///< If not zero, attempts have been in flight this long and none has completed.
    Duration attemptDuration{0}; ///< Duration of the attempt that ended.
    std::optional<double> latencyRatio; ///< Latency as a multiple of the usual one; std::nullopt if the attempt failed.
};

/// The state of a replica as this VM records it.
enum class EndpointState { InUse, Ejected, Misdirected, Refusing, Leaving };

/// A change of a replica's recorded state, for the log.
struct EndpointChange
{
    EndpointId endpoint;
    EndpointState state = EndpointState::InUse;
    int failures = 0; ///< Consecutive failures.
    Duration refusalDuration{0}; ///< How long a replica that refuses receives no requests.
};

/// The replicas of all services. Not thread-safe; used from one thread only.
class EndpointTable
{
public:
    explicit EndpointTable(std::uint64_t seed);

    /// Replaces the list of replicas. Keeps the recorded state of those that remain.
    void setReplicas(Instant now, std::span<const DirectReplica> replicas);

    /// Sets the fleet's budget of extra attempts and this VM's share of its slack, from 0 to 1.
    void setExtraAttemptBudget(const ExtraAttemptBudget &budget, double share);

    /// Returns the replica to call next, or std::nullopt if every replica is excluded or accepts no requests.
    std::optional<EndpointId> choose(Instant now,
                                     const ServiceId &service,
                                     const RouteLatency &latency,
                                     std::span<const EndpointId> excluded);

    /// Returns the data centres with the replicas whose estimated latency is close to that of the replica that choose()
    /// would return. Empty if the service has no usable replica.
    DataCentreSet dataCentresOf(Instant now, const ServiceId &service, const RouteLatency &latency);

    /// Returns why a request may no longer be sent to a replica that was chosen before the request waited for a
    /// connection, or std::nullopt if it may be sent.
    std::optional<ResultCode> refusalReason(Instant now, EndpointId endpoint) const;

    /// Returns the time until the first replica of the service accepts requests again if all of them have asked for a
    /// pause, otherwise std::nullopt.
    std::optional<Duration> timeUntilAccepted(Instant now, const ServiceId &service) const;

    /// Counts a caller's request for the service, which adds a fraction of an extra attempt to the budget.
    void countRequest(Instant now, const ServiceId &service);

    /// Takes one extra attempt from the service's budget. Returns false if none is left. Hedges leave part of the
    /// budget for retries.
    bool takeExtraAttempt(Instant now, const ServiceId &service, bool isHedge);

    void countSent(Instant now, EndpointId endpoint);

    /// Records the end of an attempt. Returns the resulting change of the replica's state if it should be logged.
    std::optional<EndpointChange> countEnd(Instant now,
                                           EndpointId endpoint,
                                           const RouteLatency &latency,
                                           const AttemptEnd &end);

    /// Records that an attempt was abandoned without an answer. `late` means that it had already been waited for long
    /// enough to count as slow.
    void countDropped(Instant now, EndpointId endpoint, bool late);

    /// Records that an attempt is late. If the replica is stalled, queues an observation for other VMs.
    void countOverdue(Instant now, EndpointId endpoint, const RouteLatency &latency);

    /// Returns and removes the observations queued for other VMs.
    std::vector<ReplicaObservation> takeObservations();

    /// Applies an observation reported by another VM.
    void receiveObservation(Instant now, const ReplicaObservation &observation);

    Distance distanceOf(EndpointId endpoint) const;

private:
    /// What the recent attempts to a replica show.
    struct Assessment
    {
        double latencyRatio = 1.0; ///< Latency as a multiple of the route's typical latency.
        double failureShare = 0.0; ///< Share of the attempts that failed or were refused.
    };

    struct Endpoint
    {
        DirectReplica replica;
        Assessment assessment;
        Instant assessedAt; ///< When the assessment was made; it decays from then on.
        int inFlight = 0;
        Instant stalledSince; ///< Since then attempts have been in flight and none has completed.
        Instant reportedStalledSince; ///< The stalledSince that was last reported to other VMs.
        Instant answeredAt; ///< Time of the last answer.
        Instant peerStalledSince; ///< Start of the stall that another VM reported at peerStallReportedAt.
        Instant peerStallReportedAt;
        bool lastAttemptSlow = false; ///< The last attempt, from this or another VM, was slow.
        Instant latestCountedAt; ///< Observations of attempts that began earlier are ignored.
        Instant warmUpUntil; ///< End of the warm-up, during which the replica is slow.
        int waiting = 0; ///< Its queue length, as reported at queueReportedAt.
        Instant queueReportedAt;
        ReplicaHealth health;
        Instant misdirectedUntil; ///< Until then it gets no requests, because another replica has its address.
        Instant refusesUntil; ///< Until then it gets no requests, because it asked for a pause.
        bool recovering = false; ///< It asked for a pause and has not completed a request since.
        bool leaving = false; ///< It reported that it is leaving; stays set until the endpoint is removed.
        bool removed = false; ///< No longer listed, but attempts may still be in flight.
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
    std::vector<ReplicaObservation> observations; ///< Queued for other VMs.
    std::minstd_rand random;
};

} // namespace hickoryshore
