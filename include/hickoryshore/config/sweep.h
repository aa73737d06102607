// Which stored chunks and history entries of old configurations may be deleted.
#pragma once

#include "hickoryshore/config/publication.h"

#include <span>

namespace hickoryshore {

/// Limits of one sweep.
struct SweepSettings
{
    std::uint64_t keepRevisions = 128; ///< The newest ones, whose history entry and chunks stay.
    std::size_t maxRemovedKeys = 2000; ///< Keys deleted by one sweep; the next one deletes further ones.
};

/// The keys that nothing needs, oldest revision first.
struct SweepPlan
{
    std::vector<std::string> chunkKeys;
    std::vector<std::string> historyKeys;
};

/// What the service holds, as far as a sweep looks at it.
struct StoredKeys
{
    std::vector<std::string> chunkKeys;
    std::vector<std::string> historyKeys;
};

/// Returns the first revision whose history entry and chunks stay.
Revision oldestKeptRevision(Revision current, const SweepSettings &settings);

/// Chooses the keys that neither the current head nor one of the kept heads needs. It does not make deleting them safe:
/// see sweepConfiguration().
SweepPlan planSweep(const StoredKeys &keys,
                    const ConfigHead &current,
                    std::span<const ConfigHead> kept,
                    const SweepSettings &settings);

} // namespace hickoryshore
