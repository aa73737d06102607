// The VMs of other data centres that can serve several parts of a request at once, and the recorded state of each.
//
//     AggregatorTable table;
//     table.setCandidates(now, candidates);
//     const auto asked = table.choose(now, dataCentreIndex);
//     table.countSent(asked->vm, due);
//     table.countEnd(now, asked->vm, due, {.answered = true, .roundTripTime = 17ms});
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/dispatch/aggregation_plan.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// A VM that can act as an aggregator.
struct AggregatorCandidate
{
    VmId vm;
    std::uint64_t processId = 0; ///< Identifies the current process of the VM.
    std::string server; ///< "ip:port"
    DataCentreIndex dataCentreIndex = ownDataCentreIndex;
    bool near = false; ///< In the VM's own region.
};

/// The outcome of a call to an aggregator.
struct AggregatorEnd
{
    bool answered = false; ///< If false, or if the answer came late, the VM is avoided for a while.
    Duration roundTripTime{0}; ///< Call duration minus the time spent by the aggregator; set if answered.
    std::optional<RouteId> refusedRoute; ///< Set if the answer was that the aggregator's configuration sends the
                                         ///< requests of this route elsewhere. It stays in use for other routes.
};

/// Chooses an aggregator in a data centre. Not thread-safe.
class AggregatorTable
{
public:
    /// How long a VM is avoided after it failed to answer in time.
    static constexpr Duration failurePause = std::chrono::seconds(2);

    /// How long a VM is not used after its process is first seen, because it has no connections to replicas yet.
    static constexpr Duration warmUp = std::chrono::seconds(3);

    /// An answer later than its due time by more than this means that the VM is paused or overloaded.
    static constexpr Duration lateAnswerThreshold = std::chrono::milliseconds(50);

    /// How long a VM gets no group of a route after it refused one because it sends the route's requests elsewhere.
    static constexpr Duration refusalPause = std::chrono::milliseconds(250);

    /// Only the first candidates of a data centre are used while they answer, which keeps their connections in use.
    static constexpr std::size_t maxUsedPerDataCentre = 2;

    /// Replaces the candidates, best first within each data centre. Keeps the recorded state of those that remain.
    void setCandidates(Instant now, std::vector<AggregatorCandidate> candidates);

    /// Returns the data centres that have a usable aggregator for the requests of a route.
    DataCentreSet dataCentres(Instant now, const RouteId &route = {}) const;

    /// Returns the data centres in this VM's own region that have a candidate.
    DataCentreSet nearDataCentres() const;

    /// Returns the VM with the fewest calls in flight among the first usable candidates of the data centre, or
    /// std::nullopt if none of them is usable for the requests of the route.
    std::optional<AggregatorCandidate> choose(Instant now,
                                              DataCentreIndex dataCentreIndex,
                                              const RouteId &route = {}) const;

    /// Records a call that must be answered by `due`. The VM is avoided while a call to it is overdue.
    void countSent(const VmId &vm, Instant due);
    void countEnd(Instant now, const VmId &vm, Instant due, const AggregatorEnd &end);

    /// Records that a call was abandoned without an answer for a reason unrelated to the VM.
    void countDropped(const VmId &vm, Instant due);

    /// Returns the usual round-trip time to the data centre, including queueing delays.
    Duration roundTripTime(DataCentreIndex dataCentreIndex) const;

private:
    struct AggregatorState
    {
        std::multiset<Instant> due; ///< Due times of the calls in flight.
        Instant avoidedUntil;
        std::unordered_map<RouteId, Instant> refusesUntil; ///< By route; erased once over.
        std::uint64_t processId = 0;
    };

    bool isAvoided(const VmId &vm, Instant now) const;
    bool refuses(const VmId &vm, Instant now, const RouteId &route) const;
    void recordRefusal(Instant now, const VmId &vm, const RouteId &route);
    void removeCall(const VmId &vm, Instant due);

    std::vector<AggregatorCandidate> candidates;
    std::unordered_map<VmId, AggregatorState> states;
    std::array<std::optional<Duration>, maxDataCentres> roundTripTimes;
};

} // namespace hickoryshore
