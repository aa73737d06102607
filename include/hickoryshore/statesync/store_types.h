// What the platform's store holds and reports: keys with values, revisions, pages and changes.
#pragma once

#include "hickoryshore/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickoryshore {

/// A revision of the store. A store that is restored from an older copy starts a new era and reuses numbers. Numbers
/// are therefore only comparable within one era, and any revision of a later era is newer.
struct StoreRevision
{
    std::uint64_t era = 0;
    std::uint64_t number = 0; ///< 0 before the first listing.

    auto operator<=>(const StoreRevision &) const = default;
};

/// Formats the revision as "era.number".
std::string storeRevisionText(const StoreRevision &revision);

/// A key of the store with its value.
struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Number of its last change, in the era of the page or reply it came from.
};

/// One page of a listing.
struct StorePage
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    StoreRevision asOf; ///< The store's revision at the time of reading.
    Duration age{0}; ///< Sent by a peer: how long ago the store confirmed this state.
    std::optional<Duration> timeSinceStoreOutage; ///< Sent by a peer: how long ago the store it follows was
                                                  ///< unavailable.
};

/// A change of a key. The value is std::nullopt if the key was removed.
struct StoreChange
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0; ///< Number of the change, in the era of the reply it came from.
};

/// The result of a watch. Empty if the watch timed out.
struct StoreChanges
{
    std::vector<StoreChange> changes;
    StoreRevision asOf; ///< The revision from which the next watch continues.
    Duration age{0}; ///< Sent by a peer: how long ago the store confirmed this revision.
    std::optional<Duration> timeSinceStoreOutage; ///< Sent by a peer: how long ago the store it follows was
                                                  ///< unavailable.
};

} // namespace hickoryshore
