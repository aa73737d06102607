#include "hickoryshore/statesync/recent_changes.h"

namespace hickoryshore {

void RecentChanges::restart(std::uint64_t revision)
{
    this->revisions.clear();
    this->ordered.clear();
    this->start = revision;
}

void RecentChanges::record(std::string_view key, std::uint64_t revision)
{
    const auto [entry, isNew] = this->revisions.try_emplace(std::string(key), revision);
    if (!isNew) {
        this->ordered.erase({entry->second, entry->first});
        entry->second = revision;
    }
    this->ordered.emplace(revision, entry->first);
    if (this->ordered.size() > maxKeys) {
        const auto oldest = this->ordered.begin();
        this->start = oldest->first;
        this->revisions.erase(oldest->second);
        this->ordered.erase(oldest);
    }
}

bool RecentChanges::reachesBackTo(std::uint64_t revision) const
{
    return revision >= this->start;
}

std::vector<RecentChanges::Change> RecentChanges::after(std::uint64_t revision) const
{
    std::vector<Change> changes;
    for (auto change = this->ordered.lower_bound({revision + 1, std::string()}); change != this->ordered.end();
         ++change) {
        changes.push_back({.key = change->second, .revision = change->first});
    }
    return changes;
}

} // namespace hickoryshore
