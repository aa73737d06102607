#include "hickoryshore/registry/replica_registry.h"

#include <algorithm>
#include <set>

namespace hickoryshore {

namespace {

/// Whether both records tell of the same start of a replica at the same place.
bool isSameStart(const ReplicaRecord &left, const ReplicaRecord &right)
{
    return left.service == right.service && left.address == right.address && left.started == right.started;
}

} // namespace

void ReplicaRegistry::put(std::string_view name, const ReplicaRecord &record)
{
    const auto found = this->known.find(name);
    if (found != this->known.end() && isSameStart(found->second.record, record)) {
        found->second.record = record;
        found->second.lapsesAt.reset();
        return;
    }
    this->known[std::string(name)]
        = {.endpoint = {++this->lastEndpoint}, .name = std::string(name), .record = record, .lapsesAt = std::nullopt};
}

void ReplicaRegistry::remove(Instant now, std::string_view name, bool storeWasAway)
{
    const auto found = this->known.find(name);
    if (found == this->known.end()) {
        return;
    }
    RegisteredReplica &replica = found->second;
    // One that had said that it leaves is gone for certain.
    if (!storeWasAway || replica.record.draining) {
        this->known.erase(found);
    } else if (!replica.lapsesAt.has_value()) {
        replica.lapsesAt = now + lapseAllowance;
    }
}

void ReplicaRegistry::replaceAll(Instant now, std::span<const ListedReplica> listing, bool storeWasAway)
{
    std::set<std::string_view> listed;
    for (const ListedReplica &entry : listing) {
        if (entry.record.has_value()) {
            listed.insert(entry.name);
            this->put(entry.name, *entry.record);
        }
    }
    std::vector<std::string> missing;
    for (const auto &[name, replica] : this->known) {
        if (!listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string &name : missing) {
        this->remove(now, name, storeWasAway);
    }
}

bool ReplicaRegistry::expire(Instant now)
{
    const std::size_t dropped = std::erase_if(this->known, [now](const auto &entry) {
        return entry.second.lapsesAt.has_value() && *entry.second.lapsesAt <= now;
    });
    return dropped > 0;
}

std::optional<Instant> ReplicaRegistry::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[name, replica] : this->known) {
        if (replica.lapsesAt.has_value()) {
            next = std::min(next.value_or(*replica.lapsesAt), *replica.lapsesAt);
        }
    }
    return next;
}

const std::map<std::string, RegisteredReplica, std::less<>> &ReplicaRegistry::replicas() const
{
    return this->known;
}

} // namespace hickoryshore
