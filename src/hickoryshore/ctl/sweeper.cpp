#include "hickoryshore/ctl/sweeper.h"

namespace hickoryshore {

namespace {

constexpr int mostAttempts = 5;

/// A key that is to be deleted, as long as its index is this one.
struct Removal
{
    std::string key;
    std::uint64_t index = 0;
};

struct Removals
{
    std::vector<Removal> chunks;
    std::vector<Removal> history;
};

std::vector<ConfigHead> readKeptHeads(const ConfigStore &store, Revision current, const SweepSettings &settings)
{
    std::vector<ConfigHead> heads;
    for (Revision revision = oldestKeptRevision(current, settings); revision < current; ++revision.value) {
        const std::optional<StoredValue> stored = store.get(configHistoryKey(revision));
        if (stored.has_value()) {
            heads.push_back(parseConfigHead(stored->value));
        }
    }
    return heads;
}

std::vector<Removal> readIndexes(const ConfigStore &store, const std::vector<std::string> &keys)
{
    std::vector<Removal> removals;
    for (const std::string &key : keys) {
        const std::optional<StoredValue> stored = store.get(key);
        if (stored.has_value()) {
            removals.push_back({key, stored->modifyIndex});
        }
    }
    return removals;
}

Removals chooseRemovals(const ConfigStore &store, const ConfigHead &head, const SweepSettings &settings)
{
    const StoredKeys keys{store.listKeys(configChunkPrefix), store.listKeys(configHistoryPrefix)};
    const SweepPlan plan = planSweep(keys, head, readKeptHeads(store, head.revision, settings), settings);
    return {readIndexes(store, plan.chunkKeys), readIndexes(store, plan.historyKeys)};
}

/// Moves the head's index, so that no publication that began before can take effect any more.
WriteResult fence(const ConfigStore &store, const CurrentHead &current)
{
    ConfigHead fenced = current.head;
    ++fenced.sweeps;
    return store.compareAndSwap(configHeadKey, formatConfigHead(fenced), current.modifyIndex);
}

/// Returns how many keys were deleted for certain.
std::size_t removeAll(const ConfigStore &store, const std::vector<Removal> &removals)
{
    std::size_t removed = 0;
    for (const Removal &removal : removals) {
        // A lost reply needs no second try: the next sweep finds what is left.
        removed += store.remove(removal.key, removal.index) == WriteResult::Applied ? 1 : 0;
    }
    return removed;
}

/// Returns nothing where the sweep has to begin again.
std::optional<SweepOutcome> trySweep(const ConfigStore &store, const SweepSettings &settings, SweepOutcome &outcome)
{
    const std::optional<CurrentHead> current = readCurrentHead(store);
    if (!current.has_value()) {
        return outcome;
    }
    const Removals removals = chooseRemovals(store, current->head, settings);
    if (removals.chunks.empty() && removals.history.empty()) {
        return outcome;
    }
    // After a lost reply the head may bear this sweep's mark or not; beginning again is right for both.
    if (fence(store, *current) != WriteResult::Applied) {
        return std::nullopt;
    }
    outcome.historyRemoved = removeAll(store, removals.history);
    outcome.chunksRemoved = removeAll(store, removals.chunks);
    outcome.result = SweepResult::Done;
    return outcome;
}

} // namespace

SweepOutcome sweepConfiguration(const ConfigStore &store, const SweepSettings &settings)
{
    SweepOutcome outcome;
    try {
        for (int attempt = 0; attempt < mostAttempts; ++attempt) {
            if (const std::optional<SweepOutcome> ended = trySweep(store, settings, outcome)) {
                return *ended;
            }
            store.pause();
        }
        outcome.result = SweepResult::Busy;
    } catch (const PlatformError &) {
        outcome.result = SweepResult::Unavailable;
    }
    return outcome;
}

} // namespace hickoryshore
