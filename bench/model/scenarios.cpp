#include "model/scenarios.h"

#include <algorithm>
#include <stdexcept>

namespace hickoryshore::bench {

namespace {

using namespace std::chrono_literals;

constexpr Instant runStart{};
constexpr Instant midway{4s};
constexpr double stragglerSlowdown = 10;
constexpr double slowShardSlowdown = 3;
constexpr double slowReplyShare = 0.01;
constexpr double shedShare = 0.3;
constexpr Duration coldStartDuration = 4s;
constexpr Duration vmListLag = 4s;
constexpr Duration silenceInterval = 250ms;
constexpr int silenceCount = 24;

void makeStraggler(BenchRun &run)
{
    run.replicaOf(0, 0).faults.slowdown = stragglerSlowdown;
}

void makeSlowReplies(BenchRun &run)
{
    for (const std::unique_ptr<ReplicaModel> &replica : run.replicas) {
        replica->faults.slowShare = slowReplyShare;
    }
}

void failReplica(BenchRun &run)
{
    run.replicaOf(0, 0).faults.failed = true;
}

void beginColdStart(BenchRun &run)
{
    ReplicaFaults &faults = run.replicaOf(0, 0).faults;
    faults.coldStartedAt = run.queue.now();
    faults.coldStartDuration = coldStartDuration;
}

void slowBothReplicas(BenchRun &run)
{
    run.replicaOf(0, 0).faults.slowdown = slowShardSlowdown;
    run.replicaOf(0, 1).faults.slowdown = slowShardSlowdown;
}

void shedRequests(BenchRun &run)
{
    run.replicaOf(0, 0).faults.shedShare = shedShare;
}

void setLoadReports(BenchRun &run, LoadReport report)
{
    for (const std::unique_ptr<ReplicaModel> &replica : run.replicas) {
        replica->faults.loadReport = report;
    }
}

void drainReplica(BenchRun &run)
{
    run.replicaOf(0, 0).faults.draining = true;
}

void drainByListOnly(BenchRun &run)
{
    run.replicaOf(0, 0).faults.draining = true;
    run.replicaOf(0, 0).faults.reportsDraining = false;
    run.queue.after(vmListLag, [&run] {
        run.listReplicaAsLeaving(0, 0);
    });
}

void silenceRepeatedly(BenchRun &run)
{
    for (int number = 0; number < silenceCount; ++number) {
        run.queue.after(number * silenceInterval, [&run, number] {
            run.silenceConnectionsTo(static_cast<std::size_t>(number) % run.replicas.size());
        });
    }
}

void failOwner(BenchRun &run)
{
    run.failOwnerOf(0);
}

void injectSeveral(BenchRun &run)
{
    makeSlowReplies(run);
    run.replicaOf(0, 0).faults.slowdown = stragglerSlowdown;
    const std::size_t last = run.replicas.size() - 1;
    run.replicas[last]->faults.draining = true;
    setLoadReports(run, LoadReport::Inverted);
    silenceRepeatedly(run);
    run.queue.after(2s, [&run] {
        run.failOwnerOf(0);
    });
}

Scenario makeScenario(const char *name,
                      const char *description,
                      Instant faultAt,
                      std::function<void(BenchRun &)> inject)
{
    Scenario result;
    result.name = name;
    result.description = description;
    result.faultAt = faultAt;
    result.inject = std::move(inject);
    return result;
}

std::function<void(BenchRun &)> injectLoadReports(LoadReport report)
{
    return [report](BenchRun &run) {
        setLoadReports(run, report);
    };
}

Scenario overload()
{
    Scenario result = makeScenario("overload", "1.5 times the capacity, one caller greedy", runStart, {});
    result.callers = {{CallerId{"greedy"}, 1.2}, {CallerId{"modest"}, 0.3}};
    return result;
}

Scenario silentConnections()
{
    Scenario result = makeScenario(
        "silent-connections", "connections go silent, one replica after another", midway, silenceRepeatedly);
    result.nonIdempotentShare = 0.2;
    return result;
}

Scenario twoOwners()
{
    Scenario result = makeScenario("two-owners", "two VMs own every shard at once", runStart, {});
    result.twoOwners = true;
    return result;
}

Scenario twoRegions()
{
    Scenario result = makeScenario("two-regions", "one of the three data centres is in another region", runStart, {});
    result.twoRegions = true;
    return result;
}

Scenario several()
{
    Scenario result = makeScenario("several",
                                   "slow replies, a straggler, a drain, inverted reports, silence, an owner lost",
                                   midway,
                                   injectSeveral);
    result.nonIdempotentShare = 0.1;
    return result;
}

std::vector<Scenario> makeScenarios()
{
    return {
        makeScenario("calm", "no fault", runStart, {}),
        makeScenario("straggler", "one replica 10 times slower", runStart, makeStraggler),
        makeScenario("slow-replies", "1 in 100 replies 20 times slower", runStart, makeSlowReplies),
        makeScenario("lost-replica", "one replica's VM fails", midway, failReplica),
        makeScenario("cold-start", "one replica starts cold, 5 times slower at first", midway, beginColdStart),
        makeScenario("slow-shard", "all replicas of a shard 3 times slower", runStart, slowBothReplicas),
        overload(),
        makeScenario("shedding", "one replica sheds 3 in 10 requests", runStart, shedRequests),
        makeScenario("reports-none", "no load reports", runStart, injectLoadReports(LoadReport::None)),
        makeScenario("reports-frozen", "every load report says idle", runStart, injectLoadReports(LoadReport::Frozen)),
        makeScenario("reports-inverted",
                     "busy replicas report idle and idle ones busy",
                     runStart,
                     injectLoadReports(LoadReport::Inverted)),
        makeScenario("drain", "a replica drains and its replies report it", midway, drainReplica),
        makeScenario(
            "drain-list-only", "a replica drains and only the lagging VM list reports it", midway, drainByListOnly),
        silentConnections(),
        makeScenario("owner-lost", "the VM that owns a shard fails", midway, failOwner),
        twoOwners(),
        twoRegions(),
        several()};
}

} // namespace

std::span<const Scenario> scenarios()
{
    static const std::vector<Scenario> all = makeScenarios();
    return all;
}

const Scenario &scenario(std::string_view name)
{
    const std::span<const Scenario> all = scenarios();
    const auto found = std::ranges::find(all, name, &Scenario::name);
    if (found == all.end()) {
        throw std::invalid_argument("unknown scenario: " + std::string(name));
    }
    return *found;
}

Scenario tailAtScaleScenario()
{
    Scenario result = makeScenario("tail-at-scale", "1,000 keys over 100 servers", runStart, {});
    result.callers = {{CallerId{"reader"}, 0.02}};
    return result;
}

} // namespace hickoryshore::bench
