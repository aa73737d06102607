// The deployment: all declared objects that are in force together.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// A data centre and the region that it belongs to.
struct DataCentre
{
    DataCentreId name;
    RegionId region;
};

/// Deadlines, coverage, hedging, retries and queue limit for the queries of an index. An Index refers to it by name.
struct Policy
{
    PolicyId name;
    Duration defaultDeadline{std::chrono::milliseconds(150)}; ///< Used if a request sets no deadline.
    Duration softDeadline{0}; ///< A partial answer is given after this time; zero waits until the deadline.
    double minimumCoverage = 0.0; ///< Fraction of the shards, 0 to 1; an answer that covers less is a failure.
    double hedgePercentile = 0.95; ///< A hedge is sent after this percentile of the shard's recent latency.
    double hedgeBudget = 0.05; ///< Hedges allowed per sub-request; zero disables hedging.
    double retryBudget = 0.1; ///< Retries allowed per sub-request.
    int maximumQueue = 256; ///< Maximum number of sub-requests waiting at a shard's owner.
};

/// A configured caller. Callers share a loaded shard in proportion to their weights.
struct Caller
{
    CallerId name;
    double weight = 1.0;
};

/// One replica of a shard.
struct Replica
{
    ReplicaId address; ///< "ip:port"
    DataCentreId dataCentre;
    bool draining = false; ///< Set by an operator: the replica gets no new work.
};

/// One shard of an index and its replicas.
struct Shard
{
    ShardId name;
    std::vector<Replica> replicas;
};

/// How sub-requests reach the replicas: through the shard's owner VM, or directly from every entry VM.
enum class Routing { Owner, Direct };

/// The unit that callers query: a set of shards with common limits.
struct Index
{
    IndexId name;
    PolicyId policy;
    Routing routing = Routing::Owner;
    int slotsPerReplica = 2; ///< Requests that a replica runs concurrently.
    int connectionsPerReplica = 60; ///< Connections that a replica accepts from all VMs together.
    Duration connectionCost{std::chrono::milliseconds(6)}; ///< Time to open a connection.
    std::vector<Shard> shards;
};

/// All declared objects of one revision.
struct Deployment
{
    Revision revision;
    std::vector<DataCentre> dataCentres;
    std::vector<Policy> policies;
    std::vector<Caller> callers;
    std::vector<Index> indexes;
};

/// Each returns the object with this name, or nullptr if there is none.
const Index *findIndex(const Deployment &deployment, std::string_view name);
const Policy *findPolicy(const Deployment &deployment, std::string_view name);
const Caller *findCaller(const Deployment &deployment, std::string_view name);
const DataCentre *findDataCentre(const Deployment &deployment, std::string_view name);

} // namespace hickoryshore
