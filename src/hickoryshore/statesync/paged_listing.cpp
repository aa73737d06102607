#include "hickoryshore/statesync/paged_listing.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

PagedListing::Progress PagedListing::add(Instant now, StorePage page)
{
    if (this->confirmedAt.has_value() && page.asOf.era != this->asOf.era) {
        this->clear();
        return Progress::EraChanged;
    }
    this->asOf = this->confirmedAt.has_value() ? std::min(this->asOf, page.asOf) : page.asOf;
    this->confirmedAt = this->confirmedAt.value_or(now - page.age);
    if (page.timeSinceStoreOutage.has_value()) {
        this->timeSinceStoreOutage = page.timeSinceStoreOutage;
    }
    const bool isLast = !page.hasMore || page.items.empty();
    const bool hasNewKeys = this->addItems(std::move(page.items));
    if (isLast) {
        return Progress::Complete;
    }
    if (!hasNewKeys) {
        this->clear();
        return Progress::Stalled;
    }
    return Progress::NeedsMore;
}

/// Returns whether any of the keys is new.
bool PagedListing::addItems(std::vector<StoreItem> added)
{
    bool hasNewKeys = false;
    for (StoreItem &item : added) {
        this->nextAfter = item.key;
        const auto [entry, isNew] = this->items.try_emplace(std::move(item.key));
        hasNewKeys = hasNewKeys || isNew;
        if (isNew || item.revision >= entry->second.revision) {
            entry->second = {std::move(item.value), item.revision};
        }
    }
    return hasNewKeys;
}

void PagedListing::clear()
{
    *this = {};
}

const std::string &PagedListing::lastKey() const
{
    return this->nextAfter;
}

StorePage PagedListing::take(Instant now)
{
    PagedListing taken = std::exchange(*this, {});
    StorePage whole{.asOf = taken.asOf,
                    .age = now - taken.confirmedAt.value_or(now),
                    .timeSinceStoreOutage = taken.timeSinceStoreOutage};
    whole.items.reserve(taken.items.size());
    for (auto &[key, value] : taken.items) {
        whole.items.push_back({key, std::move(value.value), value.revision});
    }
    return whole;
}

} // namespace hickoryshore
