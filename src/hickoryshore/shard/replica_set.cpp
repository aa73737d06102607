#include "hickoryshore/shard/replica_set.h"

#include <algorithm>

namespace hickoryshore {

void ReplicaSet::update(std::span<const ReplicaSettings> settings)
{
    for (ReplicaState &replica : this->replicas) {
        replica.removed = true;
    }
    for (const ReplicaSettings &changed : settings) {
        ReplicaState *known = this->find(changed.id);
        if (known == nullptr) {
            known = &this->replicas.emplace_back();
            known->number = ++this->lastNumber;
        }
        known->settings = changed;
        known->drain.configured = changed.draining;
        known->removed = false;
    }
    std::erase_if(this->replicas, [](const ReplicaState &replica) {
        return replica.removed && replica.inFlight == 0;
    });
}

ReplicaState *ReplicaSet::find(ReplicaNumber number)
{
    const auto found = std::ranges::find(this->replicas, number, &ReplicaState::number);
    return found == this->replicas.end() ? nullptr : &*found;
}

ReplicaState *ReplicaSet::find(const ReplicaId &id)
{
    const auto found = std::ranges::find_if(this->replicas, [&id](const ReplicaState &replica) {
        return replica.settings.id == id;
    });
    return found == this->replicas.end() ? nullptr : &*found;
}

std::span<const ReplicaState> ReplicaSet::all() const
{
    return this->replicas;
}

} // namespace hickoryshore
