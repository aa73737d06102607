// What the scheduler of one shard needs to know; filled from the deployment.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <vector>

namespace hickoryshore {

/// One replica as the owner of its shard sees it.
struct ReplicaSettings
{
    ReplicaId id;
    int slots = 2; ///< Attempts that this owner may have in flight there.
    Duration roundTrip{0}; ///< Way there and back. An attempt on its way holds no slot there; zero keeps strictly to
                           ///< the slots.
    bool draining = false; ///< No new work.
    bool sameRegion = true; ///< In a data centre of this owner's region.
};

/// One share of the shard's capacity.
struct CallerShare
{
    CallerId caller;
    double weight = 1.0;
};

/// What the scheduler of one shard needs to know; filled from the deployment.
struct ShardSettings
{
    ShardId shard;
    std::vector<ReplicaSettings> replicas;
    std::vector<CallerShare> callers;
    double hedgePercentile = 0.95;
    double hedgeBudget = 0.05; ///< Hedges for each sub-request; zero switches hedging off.
    double retryBudget = 0.1; ///< Retries for each sub-request.
    int maximumQueue = 256;
    Duration replyTransitTime{0}; ///< Kept back from every deadline for the way back to the entry.
    bool useLoadReports = true; ///< Whether the in-flight counts that replicas report are heeded.
};

} // namespace hickoryshore
