// Settings of the scheduler of one shard, filled from the deployment.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <vector>

namespace hickoryshore {

/// The settings of one replica for the owner of its shard.
struct ReplicaSettings
{
    ReplicaId id;
    int slots = 2; ///< Attempts that this owner may have in flight there.
    Duration roundTrip{0}; ///< Round-trip time to the replica. An attempt in transit holds no slot there, so more
                           ///< attempts than slots may be in flight. With zero, the slots are a strict limit.
    bool draining = false; ///< The replica gets no new attempts.
    bool sameRegion = true; ///< The replica is in the owner's region.
};

/// A caller's share of the shard's capacity, relative to the other callers' weights.
struct CallerShare
{
    CallerId caller;
    double weight = 1.0;
};

/// Settings of the scheduler of one shard.
struct ShardSettings
{
    ShardId shard;
    std::vector<ReplicaSettings> replicas;
    std::vector<CallerShare> callers;
    double hedgePercentile = 0.95;
    double hedgeBudget = 0.05; ///< Hedges per sub-request; zero disables hedging.
    double retryBudget = 0.1; ///< Retries per sub-request; zero disables retries.
    int maximumQueue = 256;
    Duration replyTransitTime{0}; ///< Subtracted from every deadline, so that the reply reaches the entry VM in time.
    bool useLoadReports = true; ///< Whether the in-flight counts that replicas report are used.
};

} // namespace hickoryshore
