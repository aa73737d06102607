// The VMs of other data centres that can be asked for several parts at once, and what this VM knows of them.
//
//     AggregatorTable table;
//     table.setCandidates(candidates);
//     const auto asked = table.choose(now, place);
//     table.countEnd(now, asked->vm, {.answered = true, .travel = 17ms});
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

/// A VM that can be asked.
struct AggregatorCandidate
{
    VmId vm;
    std::uint64_t processId = 0; ///< Of its present start.
    std::string server; ///< "ip:port"
    DataCentreIndex dataCentreIndex = ownDataCentreIndex;
    bool near = false; ///< In the own region.
};

/// What a call to an aggregator came to.
struct AggregatorEnd
{
    bool answered = false; ///< Without an answer, or where it came late, the VM is passed over for a while.
    Duration roundTripTime{0}; ///< Of the call's time, what the aggregator did not have it. Where it answered.
};

/// Chooses among the aggregators of a data centre. Not thread-safe.
class AggregatorTable
{
public:
    /// For how long a VM is passed over that did not answer in time.
    static constexpr Duration failurePause = std::chrono::seconds(2);

    /// For how long a VM is left alone after its start was first heard of: it has no connections to replicas yet.
    static constexpr Duration warmUp = std::chrono::seconds(3);

    /// An answer that comes so long after it was due says that the VM stands still or has more to do than it can.
    static constexpr Duration lateAnswerThreshold = std::chrono::milliseconds(50);

    /// Of a data centre only the first candidates are used while they answer: connections to them stay in use.
    static constexpr std::size_t maxUsedPerDataCentre = 2;

    /// Takes the candidates, best first within each data centre; what is known of those that stay is kept.
    void setCandidates(Instant now, std::vector<AggregatorCandidate> candidates);

    /// The data centres that have a VM to ask.
    DataCentreSet dataCentres(Instant now) const;

    /// Those of them in the own region.
    DataCentreSet nearDataCentres() const;

    /// The VM to ask: of the first ones that answer, the one with the fewest calls under way.
    std::optional<AggregatorCandidate> choose(Instant now, DataCentreIndex dataCentreIndex) const;

    /// A call was made, whose answer is due then. While one is overdue, its VM is passed over.
    void countSent(const VmId &vm, Instant due);
    void countEnd(Instant now, const VmId &vm, Instant due, const AggregatorEnd &end);

    /// The call was given up without an answer, for a reason that says nothing of the VM.
    void countDropped(const VmId &vm, Instant due);

    /// The ways there and back, and what queues add to them, as it usually is.
    Duration roundTripTime(DataCentreIndex dataCentreIndex) const;

private:
    struct AggregatorState
    {
        std::multiset<Instant> due; ///< Of the calls under way.
        Instant avoidedUntil;
        std::uint64_t processId = 0;
    };

    bool isAvoided(const VmId &vm, Instant now) const;
    void removeCall(const VmId &vm, Instant due);

    std::vector<AggregatorCandidate> candidates;
    std::unordered_map<VmId, AggregatorState> states;
    std::array<std::optional<Duration>, maxDataCentres> roundTripTimes;
};

} // namespace hickoryshore
