#include "hickoryshore/statesync/prefix_follower.h"

#include "hickoryshore/base/random.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// The first retry comes soon in case a single call was lost. Later ones are rare enough for a store that counts each
/// call.
constexpr Duration firstRetryDelay = 100ms;
constexpr Duration maxRetryDelay = 800ms;
constexpr int maxDoublings = 3;
/// If at least this many keys and at least a quarter of all keys disappear together, they expired in a store outage and
/// were not removed: writers leave one at a time, but an outage ends all leases together. A watch pending during the
/// outage does not report it.
constexpr std::size_t minMassExpiryKeys = 4;
constexpr std::size_t massExpiryDivisor = 4;

bool isMassExpiry(std::size_t vanished, std::size_t known)
{
    return vanished >= minMassExpiryKeys && vanished * massExpiryDivisor >= known;
}

} // namespace

PrefixFollower::PrefixFollower(std::uint64_t seed) : random(seededGenerator(seed))
{ }

void PrefixFollower::start(Instant now, std::vector<FollowerAction> &actions)
{
    this->scheduleNextCall(now, actions);
}

void PrefixFollower::scheduleNextCall(Instant now, std::vector<FollowerAction> &actions)
{
    if (!this->mustList && now < this->watchedAt + watchInterval) {
        this->nextCallAt = this->watchedAt + watchInterval;
        return;
    }
    this->calledAt = now;
    this->awaitsStore = true;
    if (!this->mustList) {
        this->watchedAt = now;
        this->watchedFrom = this->knownAsOf;
        // After a failure, a watch that returns at once tells soonest whether the source answers again.
        actions.emplace_back(WatchKeys{this->knownAsOf, this->failures > 0 ? Duration(0) : maxWatchWait});
        return;
    }
    actions.emplace_back(ListKeys{this->listing.lastKey()});
}

void PrefixFollower::markReachable(std::vector<FollowerAction> &actions)
{
    if (!this->reachable) {
        this->reachable = true;
        actions.emplace_back(StoreReachable{true});
    }
}

bool PrefixFollower::hadRecentOutage(Instant now) const
{
    return this->lastOutageAt.has_value() && now - *this->lastOutageAt < recentOutagePeriod;
}

std::optional<Duration> PrefixFollower::timeSinceOutage(Instant now) const
{
    return this->hadRecentOutage(now) ? std::optional<Duration>(now - *this->lastOutageAt) : std::nullopt;
}

void PrefixFollower::onCallSentToPeer()
{
    this->awaitsStore = false;
}

void PrefixFollower::onPaused(Instant now)
{
    if (this->unansweredSince().has_value()) {
        this->storeSilentSince = now;
    }
}

void PrefixFollower::onCallAnswered(Instant now, std::vector<FollowerAction> &actions)
{
    if (this->awaitsStore) {
        this->endStoreSilence(now, actions);
        this->awaitsStore = false;
        this->storeSilentSince.reset();
    }
}

/// Returns since when the store has answered no call of this VM, or std::nullopt if no call failed or is in flight.
std::optional<Instant> PrefixFollower::unansweredSince() const
{
    const auto pendingSince = this->awaitsStore ? std::optional<Instant>(this->calledAt) : std::nullopt;
    return this->storeSilentSince.has_value() ? this->storeSilentSince : pendingSince;
}

/// Records that the store answered a call of this or another VM at this time.
void PrefixFollower::endStoreSilence(Instant answeredAt, std::vector<FollowerAction> &actions)
{
    const auto since = this->unansweredSince();
    if (!since.has_value() || answeredAt < *since) {
        return;
    }
    if (answeredAt - *since > minOutage) {
        this->recordOutageEnd(answeredAt, {.silence = answeredAt - *since}, actions);
    }
    // A call that is still in flight shows a new silence at the earliest from now on.
    this->storeSilentSince = this->awaitsStore ? std::optional<Instant>(answeredAt) : std::nullopt;
}

void PrefixFollower::recordOutageEnd(Instant endedAt,
                                     const StoreOutageEnded &outage,
                                     std::vector<FollowerAction> &actions)
{
    if (!this->lastOutageAt.has_value() || endedAt - *this->lastOutageAt >= recentOutagePeriod) {
        actions.emplace_back(outage);
    }
    this->lastOutageAt = std::max(this->lastOutageAt.value_or(endedAt), endedAt);
}

void PrefixFollower::recordOutage(Instant now, std::optional<Duration> ago, std::vector<FollowerAction> &actions)
{
    if (ago.has_value()) {
        this->recordOutageEnd(now - *ago, {.evidence = OutageEvidence::Peer}, actions);
    }
}

/// Counts a mass expiry as an outage that was too short to be noticed otherwise.
void PrefixFollower::recordRemovals(Instant now,
                                    std::size_t removed,
                                    std::size_t known,
                                    std::vector<FollowerAction> &actions)
{
    if (isMassExpiry(removed, known) && !this->hadRecentOutage(now)) {
        this->recordOutageEnd(now, {.evidence = OutageEvidence::MassExpiry}, actions);
    }
}

/// Records that the store confirmed the state at this time, to this or another VM.
void PrefixFollower::recordConfirmation(Instant confirmedAt, std::vector<FollowerAction> &actions)
{
    this->endStoreSilence(confirmedAt, actions);
    this->confirmedAt = std::max(this->confirmedAt.value_or(confirmedAt), confirmedAt);
}

std::optional<Duration> PrefixFollower::age(Instant now) const
{
    return this->confirmedAt.has_value() ? std::optional<Duration>(now - *this->confirmedAt) : std::nullopt;
}

void PrefixFollower::onPage(Instant now, StorePage page, std::vector<FollowerAction> &actions)
{
    this->markReachable(actions);
    this->onCallAnswered(now, actions);
    if (!this->mustList) {
        // A peer has sent the state in the meantime.
        this->scheduleNextCall(now, actions);
        return;
    }
    this->recordOutage(now, page.timeSinceStoreOutage, actions);
    const std::string after = this->listing.lastKey();
    switch (this->listing.add(now, std::move(page))) {
    case PagedListing::Progress::NeedsMore:
        break;
    case PagedListing::Progress::EraChanged:
        this->nextCallAt = now + this->randomDelay(Duration(0), maxListingDelay);
        return;
    case PagedListing::Progress::Stalled:
        actions.emplace_back(ListingStalled{after});
        this->backOff(now);
        return;
    case PagedListing::Progress::Complete:
        if (!this->applyState(now, this->listing.take(now), actions)) {
            // The next watch would fail with HistoryGone and lead to another listing.
            this->backOff(now);
            return;
        }
        this->failures = 0;
        this->mustList = false;
        break;
    }
    this->scheduleNextCall(now, actions);
}

/// Replaces the whole state. Returns false if the given state is older than the current one.
bool PrefixFollower::applyState(Instant now, StorePage whole, std::vector<FollowerAction> &actions)
{
    if (whole.asOf < this->knownAsOf) {
        return false;
    }
    const bool fromOlderCopy = this->knownAsOf.number > 0 && whole.asOf.era > this->knownAsOf.era;
    // Keys written after the copy was made are written again, some of them after this listing.
    this->lastOutageAt = fromOlderCopy ? now : this->lastOutageAt;
    if (fromOlderCopy) {
        this->confirmedAt.reset();
    }
    this->recordConfirmation(now - whole.age, actions);
    this->knownAsOf = whole.asOf;
    this->recentChanges.restart(whole.asOf.number);
    const std::map<std::string, Value, std::less<>> before = std::exchange(this->state, {});
    for (const StoreItem &item : whole.items) {
        this->state[item.key] = {item.value, item.revision};
    }
    const auto vanished = std::ranges::count_if(before, [this](const auto &entry) {
        return !this->state.contains(entry.first);
    });
    this->recordRemovals(now, static_cast<std::size_t>(vanished), before.size(), actions);
    actions.emplace_back(ApplyListing{.items = std::move(whole.items),
                                      .recentStoreOutage = this->hadRecentOutage(now),
                                      .fromOlderCopy = fromOlderCopy});
    return true;
}

void PrefixFollower::onChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions)
{
    this->markReachable(actions);
    this->onCallAnswered(now, actions);
    if (changes.asOf.era != this->watchedFrom.era) {
        // These changes follow a number that was reused in the other era, so some may be missing.
        if (changes.asOf.era > this->knownAsOf.era) {
            this->mustList = true;
            this->nextCallAt = now + this->randomDelay(Duration(0), maxListingDelay);
        } else {
            this->scheduleNextCall(now, actions);
        }
        return;
    }
    if (changes.asOf.era != this->knownAsOf.era) {
        // A peer has sent a state of a later era in the meantime.
        this->scheduleNextCall(now, actions);
        return;
    }
    this->failures = 0;
    this->recordConfirmation(now - changes.age, actions);
    this->applyChanges(now, std::move(changes), actions);
    this->scheduleNextCall(now, actions);
}

void PrefixFollower::onPeerChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions)
{
    if (this->mustList || changes.asOf.era != this->knownAsOf.era) {
        return;
    }
    this->recordConfirmation(now - changes.age, actions);
    if (changes.asOf > this->knownAsOf) {
        this->applyChanges(now, std::move(changes), actions);
    }
}

/// Applies those changes of the current era that are new.
void PrefixFollower::applyChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions)
{
    const auto vanished = std::ranges::count_if(changes.changes, [this](const StoreChange &change) {
        return !change.value.has_value() && this->state.contains(change.key);
    });
    this->recordOutage(now, changes.timeSinceStoreOutage, actions);
    this->recordRemovals(now, static_cast<std::size_t>(vanished), this->state.size(), actions);
    for (StoreChange &change : changes.changes) {
        // While this watch was pending, a peer may have sent a newer state in which the key is already removed.
        const auto found = this->state.find(change.key);
        if (change.revision <= this->knownAsOf.number) {
            continue;
        }
        // Recorded even if a later page of a listing brought it: peers may have the state of the first page.
        this->recentChanges.record(change.key, change.revision);
        if (found != this->state.end() && found->second.revision >= change.revision) {
            continue;
        }
        if (change.value.has_value()) {
            this->state[change.key] = {*change.value, change.revision};
        } else if (found != this->state.end()) {
            this->state.erase(found);
        }
        actions.emplace_back(ApplyChange{.change = std::move(change), .recentStoreOutage = this->hadRecentOutage(now)});
    }
    this->knownAsOf = std::max(this->knownAsOf, changes.asOf);
}

void PrefixFollower::onFailure(Instant now, StoreFailure failure, std::vector<FollowerAction> &actions)
{
    this->listing.clear();
    if (failure == StoreFailure::Unreadable) {
        this->onCallAnswered(now, actions);
        // The same watch would bring the same answer, while the pages of a listing are short.
        this->mustList = true;
        this->backOff(now);
        return;
    }
    this->watchedAt = {};
    if (failure == StoreFailure::HistoryGone) {
        this->onCallAnswered(now, actions);
        this->mustList = true;
        // Limits how often a store that keeps no history is listed.
        const Instant earliest = std::max(now, this->relistedAt + watchInterval);
        this->relistedAt = earliest;
        if (now < earliest) {
            this->nextCallAt = earliest;
        } else {
            this->scheduleNextCall(now, actions);
        }
        return;
    }
    if (failure == StoreFailure::Unavailable) {
        this->storeSilentSince = this->unansweredSince();
    }
    this->awaitsStore = false;
    if (this->reachable) {
        this->reachable = false;
        actions.emplace_back(StoreReachable{false});
    }
    this->backOff(now);
}

/// Schedules the next call. The delay grows with each failed call, and counts from the start of the last one.
void PrefixFollower::backOff(Instant now)
{
    const Duration longest = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(this->failures, maxDoublings)));
    ++this->failures;
    this->nextCallAt = std::max(this->calledAt + this->randomDelay(longest / 2, longest),
                                now + this->randomDelay(firstRetryDelay / 2, firstRetryDelay));
}

Duration PrefixFollower::randomDelay(Duration minDelay, Duration maxDelay)
{
    std::uniform_int_distribution<Duration::rep> delay(minDelay.count(), maxDelay.count());
    return Duration(delay(this->random));
}

void PrefixFollower::onPeerState(Instant now, StorePage state, std::vector<FollowerAction> &actions)
{
    if (state.asOf.era < this->knownAsOf.era) {
        return;
    }
    const Instant stateConfirmedAt = now - state.age;
    if (state.asOf > this->knownAsOf) {
        this->recordOutage(now, state.timeSinceStoreOutage, actions);
        this->applyState(now, std::move(state), actions);
        // The pending listing is no longer needed.
        this->mustList = false;
        this->listing.clear();
    } else {
        // Where this VM's state is newer than the peer's, it holds all that the store held at that time.
        this->recordConfirmation(stateConfirmedAt, actions);
    }
}

void PrefixFollower::onTimer(Instant now, std::vector<FollowerAction> &actions)
{
    if (this->nextCallAt.has_value() && *this->nextCallAt <= now) {
        this->nextCallAt.reset();
        this->scheduleNextCall(now, actions);
    }
}

std::optional<Instant> PrefixFollower::nextTimer() const
{
    return this->nextCallAt;
}

StoreRevision PrefixFollower::asOf() const
{
    return this->knownAsOf;
}

bool PrefixFollower::isCutOff() const
{
    return !this->reachable;
}

std::optional<std::vector<StoreChange>> PrefixFollower::changesAfter(const StoreRevision &revision) const
{
    std::vector<StoreChange> changes;
    if (revision.era > this->knownAsOf.era) {
        return changes;
    }
    if (revision.era < this->knownAsOf.era || !this->recentChanges.reachesBackTo(revision.number)) {
        return std::nullopt;
    }
    for (RecentChanges::Change &change : this->recentChanges.after(revision.number)) {
        const auto found = this->state.find(change.key);
        const bool removed = found == this->state.end();
        changes.push_back({.key = std::move(change.key),
                           .value = removed ? std::nullopt : std::optional<std::string>(found->second.value),
                           .revision = removed ? change.revision : found->second.revision});
    }
    return changes;
}

std::vector<StoreItem> PrefixFollower::items() const
{
    std::vector<StoreItem> items;
    items.reserve(this->state.size());
    for (const auto &[key, value] : this->state) {
        items.push_back({key, value.value, value.revision});
    }
    return items;
}

} // namespace hickoryshore
