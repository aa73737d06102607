// Selects the stored chunks and history entries of old configurations to delete.
#pragma once

#include "hickoryshore/config/publication.h"

#include <span>

namespace hickoryshore {

/// Limits of one sweep.
struct SweepSettings
{
    std::uint64_t keepRevisions = 128; ///< The newest revisions; their history entries and chunks are kept.
    std::size_t maxRemovedKeys = 2000; ///< Maximum number of keys deleted per sweep; the next one continues.
};

/// The unused keys to delete; history keys are ordered by revision, oldest first.
struct SweepPlan
{
    std::vector<std::string> chunkKeys;
    std::vector<std::string> historyKeys;
};

/// The chunk and history keys that are stored in the platform's key-value service.
struct StoredKeys
{
    std::vector<std::string> chunkKeys;
    std::vector<std::string> historyKeys;
};

/// Returns the oldest revision whose history entry and chunks are kept.
Revision oldestKeptRevision(Revision current, const SweepSettings &settings);

/// Selects chunks that neither the current head nor a kept head references, and history entries older than the oldest
/// kept revision. A concurrent publication may reuse a selected chunk; sweepConfiguration() handles that.
SweepPlan planSweep(const StoredKeys &keys,
                    const ConfigHead &current,
                    std::span<const ConfigHead> kept,
                    const SweepSettings &settings);

} // namespace hickoryshore
