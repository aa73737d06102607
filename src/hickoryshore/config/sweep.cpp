#include "hickoryshore/config/sweep.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace hickoryshore {

namespace {

/// Returns the revision in a history key, or std::nullopt for any other key.
std::optional<Revision> revisionOf(std::string_view historyKey)
{
    if (!historyKey.starts_with(configHistoryPrefix)) {
        return std::nullopt;
    }
    historyKey.remove_prefix(configHistoryPrefix.size());
    Revision revision;
    const auto [end, failure]
        = std::from_chars(historyKey.data(), historyKey.data() + historyKey.size(), revision.value);
    const bool fullyParsed = failure == std::errc{} && end == historyKey.data() + historyKey.size();
    return fullyParsed ? std::optional(revision) : std::nullopt;
}

void addChunkKeys(const ConfigHead &head, std::set<std::string, std::less<>> &needed)
{
    for (const ChunkReference &chunk : head.chunks) {
        needed.insert(configChunkKey(chunk.hash));
    }
}

} // namespace

Revision oldestKeptRevision(Revision current, const SweepSettings &settings)
{
    const std::uint64_t kept = std::max<std::uint64_t>(settings.keepRevisions, 1);
    return {current.value >= kept ? current.value - kept + 1 : 1};
}

SweepPlan planSweep(const StoredKeys &keys,
                    const ConfigHead &current,
                    std::span<const ConfigHead> kept,
                    const SweepSettings &settings)
{
    std::set<std::string, std::less<>> needed;
    addChunkKeys(current, needed);
    for (const ConfigHead &head : kept) {
        addChunkKeys(head, needed);
    }
    SweepPlan plan;
    std::ranges::copy_if(keys.chunkKeys, std::back_inserter(plan.chunkKeys), [&needed](const std::string &key) {
        return key.starts_with(configChunkPrefix) && !needed.contains(key);
    });
    const Revision oldest = oldestKeptRevision(current.revision, settings);
    std::ranges::copy_if(keys.historyKeys, std::back_inserter(plan.historyKeys), [oldest](const std::string &key) {
        const std::optional<Revision> revision = revisionOf(key);
        return revision.has_value() && *revision < oldest;
    });
    // Delete the oldest entries first, so that an interrupted sweep leaves no gaps in the history.
    std::ranges::sort(plan.historyKeys, {}, revisionOf);
    plan.chunkKeys.resize(std::min(plan.chunkKeys.size(), settings.maxRemovedKeys));
    plan.historyKeys.resize(std::min(plan.historyKeys.size(), settings.maxRemovedKeys - plan.chunkKeys.size()));
    return plan;
}

} // namespace hickoryshore
