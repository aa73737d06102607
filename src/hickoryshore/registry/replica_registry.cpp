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

ReplicaRegistry::Start ReplicaRegistry::startOf(const RegisteredReplica &replica)
{
    return {.name = replica.name, .address = replica.record.address, .started = replica.record.started};
}

void ReplicaRegistry::noteLeaving(Instant now, RegisteredReplica &replica)
{
    replica.leaving = true;
    this->leaving[startOf(replica)] = now;
}

void ReplicaRegistry::put(Instant now, std::string_view name, const ReplicaRecord &record)
{
    auto found = this->known.find(name);
    if (found != this->known.end() && isSameStart(found->second.record, record)) {
        found->second.record = record;
        found->second.lapsesAt.reset();
    } else {
        found = this->known
                    .insert_or_assign(std::string(name),
                                      RegisteredReplica{.endpoint = {++this->lastEndpoint},
                                                        .name = std::string(name),
                                                        .record = record,
                                                        .lapsesAt = std::nullopt})
                    .first;
    }
    if (record.draining || this->leaving.contains(startOf(found->second))) {
        this->noteLeaving(now, found->second);
    }
}

bool ReplicaRegistry::markLeaving(Instant now, EndpointId endpoint)
{
    const auto found = std::ranges::find_if(this->known, [endpoint](const auto &entry) {
        return entry.second.endpoint == endpoint;
    });
    if (found == this->known.end() || found->second.leaving) {
        return false;
    }
    this->noteLeaving(now, found->second);
    return true;
}

void ReplicaRegistry::remove(Instant now, std::string_view name, bool storeWasAway)
{
    const auto found = this->known.find(name);
    if (found == this->known.end()) {
        return;
    }
    RegisteredReplica &replica = found->second;
    // One that had said that it leaves is gone for certain.
    if (!storeWasAway || replica.leaving) {
        if (replica.leaving) {
            this->noteLeaving(now, replica);
        }
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
            this->put(now, entry.name, *entry.record);
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
    std::erase_if(this->leaving, [this, now](const auto &entry) {
        return !this->known.contains(entry.first.name) && entry.second + leavingMemory <= now;
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
