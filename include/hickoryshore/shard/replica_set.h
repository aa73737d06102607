// The replicas of one shard.
#pragma once

#include "hickoryshore/shard/replica_state.h"

#include <span>
#include <vector>

namespace hickoryshore {

/// Keeps the state of a shard's replicas across changes of the settings.
///
///     ReplicaSet replicas;
///     replicas.update(settings.replicas);
///     ReplicaState *replica = replicas.find(number);
class ReplicaSet
{
public:
    /// Applies changed settings. Replicas that remain keep their state. A replica that is no longer in the settings is
    /// marked as removed, and dropped by the first update at which it has no attempts in flight.
    void update(std::span<const ReplicaSettings> settings);

    /// Return nullptr if there is no such replica.
    ReplicaState *find(ReplicaNumber number);
    ReplicaState *find(const ReplicaId &id);

    std::span<const ReplicaState> all() const;

private:
    std::vector<ReplicaState> replicas;
    ReplicaNumber lastNumber = 0;
};

} // namespace hickoryshore
