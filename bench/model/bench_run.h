// One run of the bench: one service under one policy and one scenario, in virtual time.
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

/// Share of its capacity that a service is usually asked for: one replica of two can carry it.
constexpr double typicalLoad = 0.3;

/// One caller's part of the load.
struct CallerLoad
{
    CallerId caller;
    double load = 0; ///< Share of the service's whole capacity that it asks for.
};

/// A workload and the faults that are injected into it.
struct Scenario
{
    std::string name;
    std::string description;
    std::vector<CallerLoad> callers{{CallerId{"boards"}, typicalLoad}};
    double nonIdempotentShare = 0;
    bool twoRegions = false; ///< One of the three data centres is in another region.
    bool twoOwners = false; ///< Half of the entry VMs use the second owner throughout.
    Instant faultAt{std::chrono::seconds(4)}; ///< When `inject` is called; before the run starts where it is zero.
    std::function<void(BenchRun &)> inject;
};

/// What a run needs.
struct RunSettings
{
    ServiceShape shape;
    PolicyKind policy = PolicyKind::Owner;
    Scenario scenario;
    std::uint64_t seed = 1;
    Duration duration{std::chrono::seconds(12)}; ///< Of arrivals.
    Duration warmUp{std::chrono::seconds(2)}; ///< Queries that arrive before are not counted.
    Duration deadline{std::chrono::milliseconds(150)};
    double hedgePercentile = 0.95;
    bool abandonOnFirstFailure = false; ///< An entry VM gives a query up at the first shard that is refused.
    Duration ownerTimeout{std::chrono::milliseconds(60)}; ///< After it an entry VM turns to the next owner.
    Duration slotGrantDuration{
        0}; ///< Slots are split between both owners, the second grants its part for this time; zero: not.
    int extraInFlight = 0; ///< Attempts that an owner may have in flight beyond the slots of a replica.
};

/// Sixteen entry VMs in three data centres, the replicas, and the queries between them.
class BenchRun
{
public:
    explicit BenchRun(RunSettings settings);

    RunReport run();

    EventQueue queue;

    /// The replicas of all shards, shard by shard.
    std::vector<std::unique_ptr<ReplicaModel>> replicas;

    ReplicaModel &replicaOf(int shard, int replica);

    /// Every VM that uses this replica learns from the VM list that it is leaving.
    void listReplicaAsLeaving(int shard, int replica);

    /// The connections of all VMs to this replica (an index into `replicas`) go silent.
    void silenceConnectionsTo(std::size_t replica);

    /// The VM that owns this shard fails; the entry VMs notice after a silence.
    void failOwnerOf(int shard);

private:
    struct Part
    {
        bool answered = false;
        int sentToVm = 0; ///< VM that was asked last.
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

    /// For each shard the VMs that own it in one region, the one in charge first; none where it holds no replica.
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
    std::vector<std::mt19937_64> arrivals; ///< One stream for each caller, the same under every policy.
    std::vector<RegionOwners> owners; ///< By region; one entry where the policy makes no difference between them.
    std::vector<std::unique_ptr<ShardHost>> hosts; ///< By VM and shard; empty until used.
    bool slotGrantsExpired = false; ///< The grants to the lost owner have run out.
    std::vector<bool> vmFailed;
    std::vector<bool> vmSuspected;
    std::unordered_map<std::uint64_t, Query> queries;
    std::uint64_t lastQuery = 0;
};

} // namespace hickoryshore::bench
