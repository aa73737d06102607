#include "hickoryshore/registry/replica_registry.h"

#include <algorithm>
#include <set>

namespace hickoryshore {

namespace {

/// Returns whether both records describe the same instance of a service's replica.
bool isSameInstance(const ReplicaRecord &left, const ReplicaRecord &right)
{
    return left.service == right.service && left.address == right.address && left.started == right.started;
}

} // namespace

ReplicaRegistry::ReplicaInstance ReplicaRegistry::instanceOf(std::string_view name, const ReplicaRecord &record)
{
    return {.name = std::string(name), .address = record.address, .started = record.started};
}

void ReplicaRegistry::recordLeaving(Instant now, RegisteredReplica &replica)
{
    replica.leaving = true;
    this->leaving[instanceOf(replica.name, replica.record)] = now;
}

void ReplicaRegistry::eraseHeldBack(std::string_view name)
{
    const auto held = this->heldBack.find(name);
    if (held != this->heldBack.end()) {
        this->heldBack.erase(held);
    }
}

void ReplicaRegistry::put(Instant now, std::string_view name, const ReplicaRecord &record)
{
    const ReplicaInstance instance = instanceOf(name, record);
    this->removed.erase(instance);
    this->eraseHeldBack(name);
    auto found = this->registered.find(name);
    if (found != this->registered.end() && isSameInstance(found->second.record, record)) {
        found->second.record = record;
        found->second.expiresAt.reset();
    } else {
        found = this->registered
                    .insert_or_assign(std::string(name),
                                      RegisteredReplica{.endpoint = {++this->lastEndpoint},
                                                        .name = std::string(name),
                                                        .record = record,
                                                        .expiresAt = std::nullopt})
                    .first;
    }
    if (record.draining || this->leaving.contains(instance)) {
        this->recordLeaving(now, found->second);
    }
}

bool ReplicaRegistry::markLeaving(Instant now, EndpointId endpoint)
{
    const auto found = std::ranges::find_if(this->registered, [endpoint](const auto &entry) {
        return entry.second.endpoint == endpoint;
    });
    if (found == this->registered.end() || found->second.leaving) {
        return false;
    }
    this->recordLeaving(now, found->second);
    return true;
}

void ReplicaRegistry::remove(Instant now, std::string_view name, bool recentStoreOutage)
{
    this->eraseHeldBack(name);
    const auto found = this->registered.find(name);
    if (found == this->registered.end()) {
        return;
    }
    RegisteredReplica &replica = found->second;
    // An instance that reported it was leaving is certainly gone.
    if (!recentStoreOutage || replica.leaving) {
        if (replica.leaving) {
            this->recordLeaving(now, replica);
        }
        this->drop(now, found->first);
    } else if (!replica.expiresAt.has_value()) {
        replica.expiresAt = now + expiryGracePeriod;
    }
}

void ReplicaRegistry::drop(Instant now, const std::string &name)
{
    const auto found = this->registered.find(name);
    this->removed[instanceOf(found->second.name, found->second.record)] = now;
    this->registered.erase(found);
}

void ReplicaRegistry::replaceAll(Instant now, std::span<const ListedReplica> listing, bool recentStoreOutage)
{
    std::set<std::string_view> listed;
    for (const ListedReplica &entry : listing) {
        if (!entry.record.has_value()) {
            continue;
        }
        listed.insert(entry.name);
        if (!this->isHeldBack(entry.name, *entry.record)) {
            this->put(now, entry.name, *entry.record);
        }
    }
    std::erase_if(this->heldBack, [&listed](const auto &entry) {
        return !listed.contains(entry.first);
    });
    std::vector<std::string> missing;
    for (const auto &[name, replica] : this->registered) {
        if (!listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string &name : missing) {
        this->remove(now, name, recentStoreOutage);
    }
}

/// Returns whether an entry of an older copy describes an instance that has been removed or replaced since.
bool ReplicaRegistry::isOutdated(std::string_view name, const ReplicaRecord &record) const
{
    const auto found = this->registered.find(name);
    const bool replaced = found != this->registered.end() && record.started < found->second.record.started;
    return replaced || this->removed.contains(instanceOf(name, record));
}

bool ReplicaRegistry::isHeldBack(std::string_view name, const ReplicaRecord &record) const
{
    const auto found = this->heldBack.find(name);
    return found != this->heldBack.end() && isSameInstance(found->second.record, record);
}

void ReplicaRegistry::replaceFromOlderCopy(Instant now, std::span<const ListedReplica> listing)
{
    std::vector<ListedReplica> current;
    std::map<std::string, HeldBackEntry, std::less<>> outdated;
    for (const ListedReplica &entry : listing) {
        if (entry.record.has_value() && this->isOutdated(entry.name, *entry.record)) {
            outdated[entry.name] = {*entry.record, now + olderCopyHoldTime};
        } else {
            current.push_back(entry);
        }
    }
    this->heldBack.clear();
    this->replaceAll(now, current, true);
    this->heldBack = std::move(outdated);
}

std::vector<DepartedInstance> ReplicaRegistry::departed() const
{
    std::vector<DepartedInstance> instances;
    for (const auto *records : {&this->leaving, &this->removed}) {
        for (const auto &[instance, at] : *records) {
            if (instances.size() < maxDeparted) {
                instances.push_back({.name = instance.name,
                                     .address = instance.address,
                                     .started = instance.started,
                                     .removed = records == &this->removed});
            }
        }
    }
    return instances;
}

void ReplicaRegistry::recordDeparted(Instant now, std::span<const DepartedInstance> instances)
{
    for (const DepartedInstance &each : instances) {
        const ReplicaInstance instance{.name = each.name, .address = each.address, .started = each.started};
        const auto found = this->registered.find(each.name);
        const bool isKnown = found != this->registered.end() && instanceOf(each.name, found->second.record) == instance;
        if (!each.removed && isKnown) {
            this->recordLeaving(now, found->second);
        } else if (!each.removed) {
            this->leaving[instance] = now;
        } else if (isKnown) {
            // The entry may have been written again after the other VM saw it removed.
            this->heldBack[each.name] = {found->second.record, now + olderCopyHoldTime};
            this->drop(now, each.name);
        } else {
            this->removed.try_emplace(instance, now);
        }
    }
}

bool ReplicaRegistry::expire(Instant now)
{
    std::vector<std::string> expired;
    for (const auto &[name, replica] : this->registered) {
        if (replica.expiresAt.has_value() && *replica.expiresAt <= now) {
            expired.push_back(name);
        }
    }
    for (const std::string &name : expired) {
        this->drop(now, name);
    }
    std::vector<std::pair<std::string, ReplicaRecord>> released;
    for (const auto &[name, held] : this->heldBack) {
        if (held.until <= now) {
            released.emplace_back(name, held.record);
        }
    }
    for (const auto &[name, record] : released) {
        this->put(now, name, record);
    }
    const auto isOld = [this, now](const auto &entry) {
        return !this->registered.contains(entry.first.name) && entry.second + leavingRetention <= now;
    };
    std::erase_if(this->leaving, isOld);
    std::erase_if(this->removed, isOld);
    return !expired.empty() || !released.empty();
}

std::optional<Instant> ReplicaRegistry::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[name, replica] : this->registered) {
        if (replica.expiresAt.has_value()) {
            next = std::min(next.value_or(*replica.expiresAt), *replica.expiresAt);
        }
    }
    for (const auto &[name, held] : this->heldBack) {
        next = std::min(next.value_or(held.until), held.until);
    }
    return next;
}

const std::map<std::string, RegisteredReplica, std::less<>> &ReplicaRegistry::replicas() const
{
    return this->registered;
}

} // namespace hickoryshore
