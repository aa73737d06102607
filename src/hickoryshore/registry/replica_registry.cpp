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

ReplicaRegistry::Start ReplicaRegistry::startOf(std::string_view name, const ReplicaRecord &record)
{
    return {.name = std::string(name), .address = record.address, .started = record.started};
}

void ReplicaRegistry::noteLeaving(Instant now, RegisteredReplica &replica)
{
    replica.leaving = true;
    this->leaving[startOf(replica.name, replica.record)] = now;
}

void ReplicaRegistry::forgetHeldBack(std::string_view name)
{
    const auto held = this->heldBack.find(name);
    if (held != this->heldBack.end()) {
        this->heldBack.erase(held);
    }
}

void ReplicaRegistry::put(Instant now, std::string_view name, const ReplicaRecord &record)
{
    const Start start = startOf(name, record);
    this->removed.erase(start);
    this->forgetHeldBack(name);
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
    if (record.draining || this->leaving.contains(start)) {
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
    this->forgetHeldBack(name);
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
        this->drop(now, found->first);
    } else if (!replica.lapsesAt.has_value()) {
        replica.lapsesAt = now + lapseAllowance;
    }
}

void ReplicaRegistry::drop(Instant now, const std::string &name)
{
    const auto found = this->known.find(name);
    this->removed[startOf(found->second.name, found->second.record)] = now;
    this->known.erase(found);
}

void ReplicaRegistry::replaceAll(Instant now, std::span<const ListedReplica> listing, bool storeWasAway)
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
    for (const auto &[name, replica] : this->known) {
        if (!listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string &name : missing) {
        this->remove(now, name, storeWasAway);
    }
}

/// Whether an entry of an older copy tells of a start that has gone since, or been replaced.
bool ReplicaRegistry::isOutdated(std::string_view name, const ReplicaRecord &record) const
{
    const auto found = this->known.find(name);
    const bool replaced = found != this->known.end() && record.started < found->second.record.started;
    return replaced || this->removed.contains(startOf(name, record));
}

bool ReplicaRegistry::isHeldBack(std::string_view name, const ReplicaRecord &record) const
{
    const auto found = this->heldBack.find(name);
    return found != this->heldBack.end() && isSameStart(found->second.record, record);
}

void ReplicaRegistry::replaceFromCopy(Instant now, std::span<const ListedReplica> listing)
{
    std::vector<ListedReplica> current;
    std::map<std::string, HeldBack, std::less<>> outdated;
    for (const ListedReplica &entry : listing) {
        if (entry.record.has_value() && this->isOutdated(entry.name, *entry.record)) {
            outdated[entry.name] = {*entry.record, now + copyAllowance};
        } else {
            current.push_back(entry);
        }
    }
    this->heldBack.clear();
    this->replaceAll(now, current, true);
    this->heldBack = std::move(outdated);
}

std::vector<DepartedStart> ReplicaRegistry::departed() const
{
    std::vector<DepartedStart> starts;
    for (const auto *marks : {&this->leaving, &this->removed}) {
        for (const auto &[start, at] : *marks) {
            if (starts.size() < mostDeparted) {
                starts.push_back({.name = start.name,
                                  .address = start.address,
                                  .started = start.started,
                                  .removed = marks == &this->removed});
            }
        }
    }
    return starts;
}

void ReplicaRegistry::noteDeparted(Instant now, std::span<const DepartedStart> starts)
{
    for (const DepartedStart &each : starts) {
        const Start start{.name = each.name, .address = each.address, .started = each.started};
        const auto found = this->known.find(each.name);
        const bool isKnown = found != this->known.end() && startOf(each.name, found->second.record) == start;
        if (!each.removed && isKnown) {
            this->noteLeaving(now, found->second);
        } else if (!each.removed) {
            this->leaving[start] = now;
        } else if (isKnown) {
            // It may have been written again since the other VM saw it go.
            this->heldBack[each.name] = {found->second.record, now + copyAllowance};
            this->drop(now, each.name);
        } else {
            this->removed.try_emplace(start, now);
        }
    }
}

bool ReplicaRegistry::expire(Instant now)
{
    std::vector<std::string> lapsed;
    for (const auto &[name, replica] : this->known) {
        if (replica.lapsesAt.has_value() && *replica.lapsesAt <= now) {
            lapsed.push_back(name);
        }
    }
    for (const std::string &name : lapsed) {
        this->drop(now, name);
    }
    std::vector<std::pair<std::string, ReplicaRecord>> still;
    for (const auto &[name, held] : this->heldBack) {
        if (held.until <= now) {
            still.emplace_back(name, held.record);
        }
    }
    for (const auto &[name, record] : still) {
        this->put(now, name, record);
    }
    const auto isOld = [this, now](const auto &entry) {
        return !this->known.contains(entry.first.name) && entry.second + leavingMemory <= now;
    };
    std::erase_if(this->leaving, isOld);
    std::erase_if(this->removed, isOld);
    return !lapsed.empty() || !still.empty();
}

std::optional<Instant> ReplicaRegistry::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[name, replica] : this->known) {
        if (replica.lapsesAt.has_value()) {
            next = std::min(next.value_or(*replica.lapsesAt), *replica.lapsesAt);
        }
    }
    for (const auto &[name, held] : this->heldBack) {
        next = std::min(next.value_or(held.until), held.until);
    }
    return next;
}

const std::map<std::string, RegisteredReplica, std::less<>> &ReplicaRegistry::replicas() const
{
    return this->known;
}

} // namespace hickoryshore
