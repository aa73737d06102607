// Follows all keys of the platform's store under one prefix: lists them once, then waits for changes.
//
// Events and the time go in, actions come out; nothing here reads a clock or a socket. For example:
//
//     PrefixFollower follower(seed);
//     std::vector<FollowerAction> actions;
//     follower.start(now, actions);                  // ListKeys
//     follower.onPage(now, page, actions);           // ApplyListing, WatchKeys
//     follower.onChanges(now, changes, actions);     // ApplyChange, WatchKeys
//     follower.onFailure(now, failure, actions);     // and onTimer() at nextTimer()
#pragma once

#include "hickoryshore/base/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickoryshore {

/// A state of the store. A store that comes back from an older copy begins a new era and gives numbers out again, so
/// that numbers are ordered within one era only, and any state of a later era is newer.
struct StoreRevision
{
    std::uint64_t era = 0;
    std::uint64_t number = 0; ///< Zero: nothing is known.

    auto operator<=>(const StoreRevision &) const = default;
};

/// The revision as text, "era.number".
std::string storeRevisionText(const StoreRevision &revision);

/// A key of the store with its value.
struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Number of its last change, in the era of what it was read from.
};

/// One page of a listing.
struct StorePage
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    StoreRevision asOf; ///< The store's revision.
    std::optional<Duration> timeSinceStoreOutage; ///< A peer tells how long ago the store that it follows was away.
};

/// A change of a key: without a value where it was removed.
struct StoreChange
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0; ///< Its number, in the era of what it was read from.
};

/// What a watch brought; no changes where its time was over.
struct StoreChanges
{
    std::vector<StoreChange> changes;
    StoreRevision asOf; ///< From here the next watch continues.
    std::optional<Duration> timeSinceStoreOutage; ///< A peer tells how long ago the store that it follows was away.
};

/// Why a call to the store, or to a peer that follows it, brought nothing.
enum class StoreFailure {
    Unavailable, ///< The store did not answer.
    PeerUnavailable, ///< A peer did not answer, which says nothing of the store.
    HistoryGone, ///< The changes since the given revision are no longer known.
};

/// List the keys that follow `after` (empty: all).
struct ListKeys
{
    std::string after;
};

/// Wait for changes after the revision.
struct WatchKeys
{
    StoreRevision after;
};

/// The whole state of the prefix.
struct ApplyListing
{
    std::vector<StoreItem> items;
    bool recentStoreOutage = false; ///< Keys may be missing only because the store was away.
    bool fromOlderCopy = false; ///< The store has come back from a copy: keys may be back that had been removed since.
};

/// One change of it.
struct ApplyChange
{
    StoreChange change;
    bool recentStoreOutage = false;
};

/// The store does not answer any more, or answers again.
struct StoreReachable
{
    bool reachable = false;
};

using FollowerAction = std::variant<ListKeys, WatchKeys, ApplyListing, ApplyChange, StoreReachable>;

/// Follows one prefix. Not thread-safe.
///
/// A state of a later era replaces the known one, though its number may be lower. A listing that is older than what is
/// known takes nothing back, and the next one waits for longer.
class PrefixFollower
{
public:
    /// For how long after a failure the store counts as having been away. Entries with a lease of three seconds lapse
    /// within it, and those of live writers are back two seconds after.
    static constexpr Duration recentOutagePeriod = std::chrono::seconds(5);

    /// Watches follow each other no faster than this: changes that come in quick succession are read together, since
    /// the store counts each call.
    static constexpr Duration watchInterval = std::chrono::milliseconds(300);

    /// Where a watch tells of a new era, the listing follows within this time: all VMs learn of it at once.
    static constexpr Duration maxListingDelay = std::chrono::milliseconds(100);

    /// The seed spreads the retries of several VMs.
    explicit PrefixFollower(std::uint64_t seed);

    void start(Instant now, std::vector<FollowerAction> &actions);
    void onPage(Instant now, StorePage page, std::vector<FollowerAction> &actions);
    void onChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions);
    void onFailure(Instant now, StoreFailure failure, std::vector<FollowerAction> &actions);

    /// Takes the state that a peer has; nothing happens where it is not newer.
    void onPeerState(Instant now, StorePage state, std::vector<FollowerAction> &actions);

    /// Takes changes that a peer has heard of, which follow a revision that is known here, beside the call under way.
    void onPeerChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions);

    void onTimer(Instant now, std::vector<FollowerAction> &actions);
    std::optional<Instant> nextTimer() const;

    /// The store's revision up to which the state is known; zero while nothing is.
    StoreRevision asOf() const;

    /// Whether the last call to the store failed, or none has been answered yet.
    bool isCutOff() const;

    /// Whether keys may have vanished only because the store was away.
    bool hadRecentOutage(Instant now) const;

    /// How long ago that was, for peers; nothing where it does not matter any more. What peers tell each other must not
    /// make it seem to go on.
    std::optional<Duration> timeSinceOutage(Instant now) const;

    /// The known state, for peers.
    std::vector<StoreItem> items() const;

    /// The changes since a revision, for peers; nothing where they are no longer known, or the revision is of an
    /// earlier era.
    std::optional<std::vector<StoreChange>> changesAfter(const StoreRevision &revision) const;

private:
    struct Value
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void next(Instant now, std::vector<FollowerAction> &actions);
    void markReachable(std::vector<FollowerAction> &actions);
    void applyChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions);
    bool applyState(Instant now,
                    std::vector<StoreItem> items,
                    const StoreRevision &asOf,
                    std::vector<FollowerAction> &actions);
    void recordOutage(Instant now, std::optional<Duration> ago);
    void backOff(Instant now);
    Duration randomDelay(Duration minDelay, Duration maxDelay);

    std::map<std::string, Value, std::less<>> state;
    std::vector<StoreItem> listedItems; ///< Pages of a listing that is not complete.
    StoreRevision listedAsOf;
    StoreRevision knownAsOf;
    StoreRevision watchedFrom; ///< Where the last watch began.
    bool mustList = true;
    bool reachable = false;
    std::deque<StoreChange> recentChanges; ///< The latest changes, all of the known era.
    std::uint64_t recentChangesStart = 0; ///< All changes since this number are in the log.
    int failures = 0; ///< In a row.
    Instant watchedAt; ///< When the last watch began.
    Instant relistedAt; ///< When a listing was last due since history was gone.
    std::optional<Instant> nextCallAt; ///< When the next call is due.
    std::optional<Instant> lastOutageAt; ///< The last time.
    std::minstd_rand random;
};

} // namespace hickoryshore
