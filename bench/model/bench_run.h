// Simulates one service under one policy and one scenario, in virtual time.
//
//     BenchRun run({.shape = serviceShape("tablero-vivo"), .policy = PolicyKind::Owner, .scenario = scenario});
//     RunReport report = run.run();
#pragma once

#include "model/report.h"
#include "model/shard_host.h"

#include <functional>
#include <memory>
#include <string>

namespace hickoryshore::bench {

class BenchRun;

/// Typical load of a service, as a share of its capacity. One of two replicas can serve it alone.
constexpr double typicalLoad = 0.3;

/// The load that one caller sends.
struct CallerLoad
{
    CallerId caller;
    double load = 0; ///< Share of the service's total capacity.
};

/// A workload and the faults that are injected into it.
struct Scenario
{
    std::string name;
    std::string description;
    std::vector<CallerLoad> callers{{CallerId{"boards"}, typicalLoad}};
    double nonIdempotentShare = 0; ///< Share of the queries that are not idempotent.
    bool twoRegions = false; ///< One of the three data centres is in another region.
    bool twoOwners = false; ///< Half of the entry VMs send to the second owner for the whole run.
    Instant faultAt{std::chrono::seconds(4)}; ///< When `inject` is called; zero means before the first arrival.
    std::function<void(BenchRun &)> inject; ///< Switches the faults on; may be empty.
};

/// The inputs of a run.
struct RunSettings
{
    ServiceShape shape;
    PolicyKind policy = PolicyKind::Owner;
    Scenario scenario;
    std::uint64_t seed = 1;
    Duration duration{std::chrono::seconds(12)}; ///< Queries arrive during this time.
    Duration warmUp{std::chrono::seconds(2)}; ///< Queries that arrive earlier are not counted.
    Duration deadline{std::chrono::milliseconds(150)}; ///< Time that each query has from its arrival.
    double hedgePercentile = 0.95; ///< Percentile of the recent latencies after which a hedge is sent, 0 to 1.
    bool abandonOnFirstFailure = false; ///< An entry VM abandons a query when the first of its parts fails.
    /// Time from the failure of an owner until the entry VMs send to the next owner.
    Duration ownerTimeout{std::chrono::milliseconds(60)};
    /// If not zero, the slots of a replica are split between both owners, and the second owner grants its slots to the
    /// first for this long at a time.
    Duration slotGrantDuration{0};
    int extraInFlight = 0; ///< Attempts that an owner may have in flight beyond the slots of a replica.
};

/// Simulates sixteen entry VMs in three data centres, the replicas of one service and the queries of its callers.
class BenchRun
{
public:
    explicit BenchRun(RunSettings settings);

    RunReport run();

    EventQueue queue;

    /// The replicas of all shards, ordered by shard.
    std::vector<std::unique_ptr<ReplicaModel>> replicas;

    ReplicaModel &replicaOf(int shard, int replica);

    /// Marks this replica as draining on every VM, as an updated VM list does.
    void listReplicaAsLeaving(int shard, int replica);

    /// Makes the open connections of all VMs to this replica silent. `replica` is an index into `replicas`.
    void silenceConnectionsTo(std::size_t replica);

    /// Makes the VM that owns this shard fail. The entry VMs detect it after `ownerTimeout`.
    void failOwnerOf(int shard);

private:
    struct Part
    {
        bool answered = false;
        int sentToVm = 0; ///< VM to which the sub-request was sent last.
    };

    struct Query
    {
        int entryVm = 0;
        CallerId caller;
        Instant start;
        Instant deadline;
        bool idempotent = true;
        std::vector<Part> parts;
        int unansweredParts = 0;
        int coveredParts = 0;
    };

    /// By shard: the VMs that own it in one region, the active owner first. Empty if the region has no replica of the
    /// shard.
    using RegionOwners = std::vector<std::vector<int>>;

    void makeReplicas();
    void makeOwners();
    std::vector<int> ownersOf(int shard, std::optional<int> region) const;
    int regionOf(int dataCentre) const;
    void scheduleNextArrival(std::size_t index);
    void startQuery(const CallerLoad &caller);
    void sendSubRequest(std::uint64_t query, int part);
    void onAnswer(int vm, const AnswerAction &answer);
    void onPartAnswer(SubRequestId id, bool ok);
    void finish(std::uint64_t query);
    void cancelUnansweredParts(std::uint64_t id, const Query &query);
    void endWarmUp();
    void resendAfterFailure(int vm);
    int schedulingVm(int entryVm, int shard) const;
    ShardHost &hostOf(int vm, int shard);
    ShardSettings shardSettings(int vm, int shard) const;
    int slotsOf(int vm, int shard) const;
    Duration vmDelay(int fromVm, int toVm) const;
    Duration dataCentreDelay(int fromDataCentre, int toDataCentre) const;
    RunReport report() const;

    RunSettings settings;
    RunStatistics statistics;
    std::mt19937_64 random;
    /// One generator for each caller, so that arrivals are the same under every policy.
    std::vector<std::mt19937_64> arrivals;
    std::vector<RegionOwners> owners; ///< By region; a single entry unless each region has owners of its own.
    std::vector<std::unique_ptr<ShardHost>> hosts; ///< By VM and shard; created when first used.
    bool slotGrantsExpired = false; ///< The slot grants to the failed owner have expired.
    std::vector<bool> vmFailed;
    std::vector<bool> vmSuspected;
    std::unordered_map<std::uint64_t, Query> queries;
    std::uint64_t lastQuery = 0;
};

} // namespace hickoryshore::bench
