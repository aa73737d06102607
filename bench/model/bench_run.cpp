#include "model/bench_run.h"

#include "hickoryshore/ownership/rendezvous.h"

#include <algorithm>

namespace hickoryshore::bench {

namespace {

using namespace std::chrono_literals;

constexpr int entryVms = 16;
constexpr int dataCentres = 3;
constexpr std::size_t ownersPerShard = 2;
constexpr Duration settlingTime = 2s;
constexpr std::uint64_t maxPartsPerQuery = 4096; ///< Sub-request ids reserved for each query.

int dataCentreOfVm(int vm)
{
    return vm % dataCentres;
}

int dataCentreOfReplica(int shard, int replica)
{
    return (shard + replica) % dataCentres;
}

std::string dataCentreName(int dataCentre)
{
    return "dc" + std::to_string(dataCentre);
}

ReplicaId replicaId(int shard, int replica)
{
    return {"10.1." + std::to_string(shard) + '.' + std::to_string(replica) + ":80"};
}

std::uint64_t queryOf(SubRequestId id)
{
    return id.value / maxPartsPerQuery;
}

int partOf(SubRequestId id)
{
    return static_cast<int>(id.value % maxPartsPerQuery);
}

} // namespace

BenchRun::BenchRun(RunSettings settings)
    : settings(std::move(settings)),
      random(this->settings.seed),
      hosts(static_cast<std::size_t>(entryVms * this->settings.shape.shards)),
      vmFailed(entryVms),
      vmSuspected(entryVms)
{
    this->makeReplicas();
    this->makeOwners();
}

void BenchRun::makeReplicas()
{
    const ServiceShape &shape = this->settings.shape;
    for (int index = 0; index < shape.shards * shape.replicas; ++index) {
        this->replicas.push_back(std::make_unique<ReplicaModel>(this->queue, shape, this->random()));
        this->replicas.back()->onStart = [this](const Work &work) {
            if (!work.idempotent) {
                ++this->statistics.nonIdempotentRuns[work.subRequest];
            }
        };
    }
}

void BenchRun::makeOwners()
{
    const bool perRegion = this->settings.policy == PolicyKind::OwnerPerRegion && this->settings.scenario.twoRegions;
    for (int region = 0; region < (perRegion ? 2 : 1); ++region) {
        RegionOwners &regionOwners = this->owners.emplace_back();
        for (int shard = 0; shard < this->settings.shape.shards; ++shard) {
            regionOwners.push_back(this->ownersOf(shard, perRegion ? std::optional(region) : std::nullopt));
        }
    }
}

std::vector<int> BenchRun::ownersOf(int shard, std::optional<int> region) const
{
    const auto inRegion = [this, region](int dataCentre) {
        return !region.has_value() || this->regionOf(dataCentre) == *region;
    };
    std::vector<OwnerCandidate> candidates;
    for (int vm = 0; vm < entryVms; ++vm) {
        if (inRegion(dataCentreOfVm(vm))) {
            candidates.push_back({VmId{std::to_string(vm)}, DataCentreId{dataCentreName(dataCentreOfVm(vm))}});
        }
    }
    std::vector<DataCentreId> replicaDataCentres;
    for (int replica = 0; replica < this->settings.shape.replicas; ++replica) {
        const int dataCentre = dataCentreOfReplica(shard, replica);
        if (inRegion(dataCentre)) {
            replicaDataCentres.push_back({dataCentreName(dataCentre)});
        }
    }
    std::vector<int> vms;
    const ShardId id{this->settings.shape.name + '/' + std::to_string(shard)};
    for (const VmId &vm :
         rankOwners(id, replicaDataCentres, candidates, replicaDataCentres.empty() ? 0 : ownersPerShard)) {
        vms.push_back(std::stoi(vm.value));
    }
    return vms;
}

int BenchRun::regionOf(int dataCentre) const
{
    return this->settings.scenario.twoRegions && dataCentre == 0 ? 0 : 1;
}

ReplicaModel &BenchRun::replicaOf(int shard, int replica)
{
    const int index = shard * this->settings.shape.replicas + replica;
    return *this->replicas[static_cast<std::size_t>(index)];
}

Duration BenchRun::dataCentreDelay(int fromDataCentre, int toDataCentre) const
{
    const ServiceShape &shape = this->settings.shape;
    if (fromDataCentre == toDataCentre) {
        return shape.delayWithinDataCentre;
    }
    const bool acrossRegions = this->regionOf(fromDataCentre) != this->regionOf(toDataCentre);
    return acrossRegions ? shape.delayBetweenRegions : shape.delayBetweenDataCentres;
}

Duration BenchRun::vmDelay(int fromVm, int toVm) const
{
    return fromVm == toVm ? Duration(0) : this->dataCentreDelay(dataCentreOfVm(fromVm), dataCentreOfVm(toVm));
}

ShardSettings BenchRun::shardSettings(int vm, int shard) const
{
    const ServiceShape &shape = this->settings.shape;
    ShardSettings result;
    result.shard = {shape.name + '/' + std::to_string(shard)};
    for (int replica = 0; replica < shape.replicas; ++replica) {
        const Duration oneWayDelay = this->dataCentreDelay(dataCentreOfVm(vm), dataCentreOfReplica(shard, replica));
        result.replicas.push_back({.id = replicaId(shard, replica),
                                   .slots = this->slotsOf(vm, shard) + this->settings.extraInFlight,
                                   .roundTrip = 2 * oneWayDelay,
                                   .sameRegion = oneWayDelay <= shape.delayBetweenDataCentres});
    }
    for (const CallerLoad &caller : this->settings.scenario.callers) {
        result.callers.push_back({caller.caller, 1.0});
    }
    result.hedgePercentile = this->settings.hedgePercentile;
    result.replyTransitTime = routesThroughOwner(this->settings.policy) ? shape.delayBetweenDataCentres : Duration(0);
    return result;
}

/// Returns how many slots of each replica this VM may use now.
int BenchRun::slotsOf(int vm, int shard) const
{
    const int slots = this->settings.shape.slots;
    if (this->settings.slotGrantDuration <= Duration(0) || !routesThroughOwner(this->settings.policy)) {
        return slots;
    }
    const std::vector<int> &vms = this->owners.back()[static_cast<std::size_t>(shard)];
    const int reserved = std::max(1, slots / 2);
    if (vm == vms.front()) {
        return this->settings.scenario.twoOwners ? slots - reserved : slots;
    }
    return this->slotGrantsExpired ? slots : reserved;
}

ShardHost &BenchRun::hostOf(int vm, int shard)
{
    const int index = vm * this->settings.shape.shards + shard;
    std::unique_ptr<ShardHost> &host = this->hosts[static_cast<std::size_t>(index)];
    if (host == nullptr) {
        std::vector<ReplicaPath> paths;
        for (int replica = 0; replica < this->settings.shape.replicas; ++replica) {
            paths.push_back({replicaId(shard, replica),
                             &this->replicaOf(shard, replica),
                             this->dataCentreDelay(dataCentreOfVm(vm), dataCentreOfReplica(shard, replica))});
        }
        const std::uint64_t seed = this->settings.seed * this->hosts.size() + static_cast<std::uint64_t>(index);
        ShardPolicy policy = makeShardPolicy(this->settings.policy, this->shardSettings(vm, shard), seed);
        host = std::make_unique<ShardHost>(this->queue,
                                           this->statistics,
                                           std::move(policy),
                                           std::move(paths),
                                           this->settings.shape.connectionCost,
                                           static_cast<std::uint64_t>(index));
        host->onAnswer = [this, vm](const AnswerAction &answer) {
            this->onAnswer(vm, answer);
        };
    }
    return *host;
}

int BenchRun::schedulingVm(int entryVm, int shard) const
{
    if (!routesThroughOwner(this->settings.policy)) {
        return entryVm;
    }
    const auto region = static_cast<std::size_t>(this->owners.size() > 1 ? this->regionOf(dataCentreOfVm(entryVm)) : 0);
    const RegionOwners &ownRegion = this->owners[region];
    const RegionOwners &otherRegion = this->owners[this->owners.size() - 1 - region];
    const auto index = static_cast<std::size_t>(shard);
    const std::vector<int> &vms = ownRegion[index].empty() ? otherRegion[index] : ownRegion[index];
    const bool usesSecondOwner = this->settings.scenario.twoOwners && entryVm % 2 == 1;
    const int preferred = vms[usesSecondOwner ? 1 : 0];
    return this->vmSuspected[static_cast<std::size_t>(preferred)] ? vms[usesSecondOwner ? 0 : 1] : preferred;
}

void BenchRun::startQuery(const CallerLoad &caller)
{
    const std::uint64_t id = ++this->lastQuery;
    Query query;
    do {
        query.entryVm = std::uniform_int_distribution<int>(0, entryVms - 1)(this->random);
    } while (this->vmFailed[static_cast<std::size_t>(query.entryVm)]);
    query.caller = caller.caller;
    query.start = this->queue.now();
    query.deadline = query.start + this->settings.deadline;
    query.idempotent
        = std::uniform_real_distribution<double>()(this->random) >= this->settings.scenario.nonIdempotentShare;
    query.unansweredParts = this->settings.shape.shards * this->settings.shape.keysPerShard;
    query.parts.resize(static_cast<std::size_t>(query.unansweredParts));
    this->queue.at(query.deadline, [this, id] {
        this->finish(id);
    });
    const int parts = query.unansweredParts;
    this->queries.emplace(id, std::move(query));
    for (int part = 0; part < parts; ++part) {
        this->sendSubRequest(id, part);
    }
}

void BenchRun::sendSubRequest(std::uint64_t queryId, int part)
{
    const auto found = this->queries.find(queryId);
    if (found == this->queries.end()) {
        return;
    }
    Query &query = found->second;
    const int shard = part % this->settings.shape.shards;
    const int vm = this->schedulingVm(query.entryVm, shard);
    query.parts[static_cast<std::size_t>(part)].sentToVm = vm;
    SubRequest subRequest{.id = {queryId * maxPartsPerQuery + static_cast<std::uint64_t>(part)},
                          .caller = query.caller,
                          .deadline = query.deadline,
                          .idempotent = query.idempotent};
    this->queue.after(this->vmDelay(query.entryVm, vm), [this, vm, shard, subRequest]() mutable {
        subRequest.arrival = this->queue.now();
        this->hostOf(vm, shard).submit(subRequest);
    });
}

void BenchRun::onAnswer(int vm, const AnswerAction &answer)
{
    const auto found = this->queries.find(queryOf(answer.subRequest));
    if (found == this->queries.end()) {
        return;
    }
    const bool ok = answer.code == ResultCode::Ok;
    this->queue.after(this->vmDelay(vm, found->second.entryVm), [this, id = answer.subRequest, ok] {
        this->onPartAnswer(id, ok);
    });
}

void BenchRun::onPartAnswer(SubRequestId id, bool ok)
{
    const auto found = this->queries.find(queryOf(id));
    if (found == this->queries.end()) {
        return;
    }
    Query &query = found->second;
    Part &part = query.parts[static_cast<std::size_t>(partOf(id))];
    if (part.answered) {
        return;
    }
    part.answered = true;
    query.coveredParts += ok ? 1 : 0;
    const bool abandoned = !ok && this->settings.abandonOnFirstFailure;
    if (--query.unansweredParts == 0 || abandoned) {
        this->finish(queryOf(id));
    }
}

void BenchRun::finish(std::uint64_t id)
{
    const auto found = this->queries.find(id);
    if (found == this->queries.end()) {
        return;
    }
    const Query query = std::move(found->second);
    this->queries.erase(found);
    this->cancelUnansweredParts(id, query);
    if (query.start < Instant(this->settings.warmUp)) {
        return;
    }
    const auto parts = query.parts.size();
    const bool complete = query.coveredParts == static_cast<int>(parts);
    const Duration latency = this->queue.now() - query.start;
    CallerStatistics &caller = this->statistics.callers[query.caller];
    caller.latency.add(latency);
    caller.strictLatency.add(complete ? latency : this->settings.deadline);
    caller.coverage += static_cast<double>(query.coveredParts) / static_cast<double>(parts);
    caller.complete += complete ? 1 : 0;
    const bool settled = query.start >= this->settings.scenario.faultAt + settlingTime;
    this->statistics.incompleteAfterSettling += settled && !complete ? 1 : 0;
}

void BenchRun::cancelUnansweredParts(std::uint64_t id, const Query &query)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        if (query.parts[part].answered) {
            continue;
        }
        const int shard = static_cast<int>(part) % this->settings.shape.shards;
        const int vm = query.parts[part].sentToVm;
        const SubRequestId subRequest{id * maxPartsPerQuery + part};
        this->queue.after(this->vmDelay(query.entryVm, vm), [this, vm, shard, subRequest] {
            this->hostOf(vm, shard).cancel(subRequest);
        });
    }
}

void BenchRun::scheduleNextArrival(std::size_t index)
{
    const CallerLoad &caller = this->settings.scenario.callers[index];
    const double queriesPerSecond = caller.load * capacityPerSecond(this->settings.shape)
        / (this->settings.shape.shards * this->settings.shape.keysPerShard);
    const double wait = std::exponential_distribution<double>(queriesPerSecond)(this->arrivals[index]);
    const Duration delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
    if (this->queue.now() + delay > Instant(this->settings.duration)) {
        return;
    }
    this->queue.after(delay, [this, index] {
        this->startQuery(this->settings.scenario.callers[index]);
        this->scheduleNextArrival(index);
    });
}

RunReport BenchRun::run()
{
    for (std::size_t index = 0; index < this->settings.scenario.callers.size(); ++index) {
        this->arrivals.emplace_back(this->random());
        this->scheduleNextArrival(index);
    }
    this->queue.at(Instant(this->settings.warmUp), [this] {
        this->endWarmUp();
    });
    if (this->settings.scenario.inject) {
        this->queue.at(this->settings.scenario.faultAt, [this] {
            this->settings.scenario.inject(*this);
        });
    }
    this->queue.runUntil(Instant(this->settings.duration + 2 * this->settings.deadline));
    return this->report();
}

void BenchRun::endWarmUp()
{
    this->statistics = {};
    for (const std::unique_ptr<ReplicaModel> &replica : this->replicas) {
        replica->usage.slotTime = Duration(0);
        replica->usage.peakInFlight = 0;
        replica->usage.aboveSlots = Duration(0);
        replica->usage.lateSlotTime = Duration(0);
        replica->usage.cancelledSlotTime = Duration(0);
    }
}

void BenchRun::listReplicaAsLeaving(int shard, int replica)
{
    for (int vm = 0; vm < entryVms; ++vm) {
        this->hostOf(vm, shard).markDraining(static_cast<std::size_t>(replica));
    }
}

void BenchRun::silenceConnectionsTo(std::size_t replica)
{
    const auto perShard = static_cast<std::size_t>(this->settings.shape.replicas);
    for (int vm = 0; vm < entryVms; ++vm) {
        this->hostOf(vm, static_cast<int>(replica / perShard)).silenceConnections(replica % perShard);
    }
}

void BenchRun::failOwnerOf(int shard)
{
    const int vm = this->owners.back()[static_cast<std::size_t>(shard)].front();
    this->vmFailed[static_cast<std::size_t>(vm)] = true;
    for (int each = 0; each < this->settings.shape.shards; ++each) {
        this->hostOf(vm, each).fail();
    }
    // Queries that this VM had accepted are lost and not counted: their callers retry at another VM.
    std::erase_if(this->queries, [vm](const auto &query) {
        return query.second.entryVm == vm;
    });
    this->queue.after(this->settings.ownerTimeout, [this, vm] {
        this->vmSuspected[static_cast<std::size_t>(vm)] = true;
        this->resendAfterFailure(vm);
    });
    // The last grant may have been given just before the failure, so it may last a full grant duration.
    this->queue.after(this->settings.slotGrantDuration, [this, vm] {
        this->slotGrantsExpired = true;
        for (int each = 0; each < this->settings.shape.shards; ++each) {
            const std::vector<int> &vms = this->owners.back()[static_cast<std::size_t>(each)];
            if (vms.front() == vm) {
                this->hostOf(vms[1], each).update(this->shardSettings(vms[1], each));
            }
        }
    });
}

void BenchRun::resendAfterFailure(int vm)
{
    for (auto &[id, query] : this->queries) {
        for (std::size_t part = 0; query.idempotent && part < query.parts.size(); ++part) {
            if (!query.parts[part].answered && query.parts[part].sentToVm == vm) {
                this->sendSubRequest(id, static_cast<int>(part));
            }
        }
    }
}

} // namespace hickoryshore::bench
