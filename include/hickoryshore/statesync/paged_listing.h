// Puts the pages of one listing together.
//
//     PagedListing listing;
//     const PagedListing::Progress progress = listing.add(now, page);
//     // NeedsMore: request the page after listing.lastKey(). Complete: apply listing.take(now).
#pragma once

#include "hickoryshore/statesync/store_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hickoryshore {

/// The pages of a listing that have been received so far. Not thread-safe.
///
/// Pages are read at different times, so the result has the revision of the oldest page. A key that two pages contain
/// counts once, with its newest value.
class PagedListing
{
public:
    enum class Progress {
        NeedsMore,
        Complete,
        EraChanged, ///< The store was restored from a copy in between, so the earlier pages no longer exist.
        Stalled, ///< The page has no new key but is not the last one, so the next page would be the same again.
    };

    /// Adds the next page. After EraChanged or Stalled the listing is empty and has to start again.
    Progress add(Instant now, StorePage page);

    /// Discards all pages.
    void clear();

    /// Returns the key after which the next page starts. Empty before the first page.
    const std::string &lastKey() const;

    /// Returns the whole listing as one page and discards it. Its age counts from the first page.
    StorePage take(Instant now);

private:
    struct Value
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    bool addItems(std::vector<StoreItem> items);

    std::map<std::string, Value, std::less<>> items;
    std::string nextAfter;
    StoreRevision asOf;
    std::optional<Instant> confirmedAt; ///< When the state of the first page was confirmed.
    std::optional<Duration> timeSinceStoreOutage;
};

} // namespace hickoryshore
