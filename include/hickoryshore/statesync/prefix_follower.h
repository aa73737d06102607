// Follows all keys of the platform's store under one prefix: lists them once, then waits for changes.
//
// Events and the time go in, actions come out; nothing here reads a clock or a socket. For example:
//
//     PrefixFollower follower(seed);
//     std::vector<FollowerAction> actions;
//     follower.start(now, actions);                  // ListKeys
//     follower.onPage(now, page, actions);           // TakeListing, WatchKeys
//     follower.onChanges(now, changes, actions);     // TakeChange, WatchKeys
//     follower.onFailure(now, failure, actions);     // and onTimer() at nextTimer()
#pragma once

#include "hickoryshore/base/time.h"

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

/// A key of the store with its value.
struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of its last change.
};

/// One page of a listing.
struct StorePage
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    std::uint64_t asOf = 0; ///< The store's revision.
    bool storeWasAway = false; ///< A peer tells this of the store that it follows.
};

/// A change of a key: without a value where it was removed.
struct StoreChange
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// What a watch brought; no changes where its time was over.
struct StoreChanges
{
    std::vector<StoreChange> changes;
    std::uint64_t asOf = 0; ///< From here the next watch continues.
    bool storeWasAway = false; ///< A peer tells this of the store that it follows.
};

/// Why a call to the store brought nothing. HistoryGone: the changes since the given revision are no longer known.
enum class StoreFailure { Unavailable, HistoryGone };

/// List the keys that follow `after` (empty: all).
struct ListKeys
{
    std::string after;
};

/// Wait for changes after the revision.
struct WatchKeys
{
    std::uint64_t after = 0;
};

/// The whole state of the prefix.
struct TakeListing
{
    std::vector<StoreItem> items;
    bool storeWasAway = false; ///< Keys may be missing only because the store was away.
};

/// One change of it.
struct TakeChange
{
    StoreChange change;
    bool storeWasAway = false;
};

/// The store does not answer any more, or answers again.
struct StoreReachable
{
    bool reachable = false;
};

using FollowerAction = std::variant<ListKeys, WatchKeys, TakeListing, TakeChange, StoreReachable>;

/// Follows one prefix. Not thread-safe.
class PrefixFollower
{
public:
    /// For how long after a failure the store counts as having been away. Entries with a lease of three seconds lapse
    /// within it, and those of live writers are back two seconds after.
    static constexpr Duration awayMemory = std::chrono::seconds(5);

    /// Watches follow each other no faster than this: changes that come in quick succession are read together, since
    /// the store counts each call.
    static constexpr Duration watchInterval = std::chrono::milliseconds(300);

    /// The seed spreads the retries of several VMs.
    explicit PrefixFollower(std::uint64_t seed);

    void start(Instant now, std::vector<FollowerAction> &actions);
    void onPage(Instant now, StorePage page, std::vector<FollowerAction> &actions);
    void onChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions);
    void onFailure(Instant now, StoreFailure failure, std::vector<FollowerAction> &actions);

    /// Takes the state that a peer has; nothing happens where it is not newer.
    void onPeerState(Instant now, StorePage state, std::vector<FollowerAction> &actions);

    void onTimer(Instant now, std::vector<FollowerAction> &actions);
    std::optional<Instant> nextTimer() const;

    /// The store's revision up to which the state is known; zero while nothing is.
    std::uint64_t asOf() const;

    /// Whether the last call to the store failed, or none has been answered yet.
    bool isCutOff() const;

    /// Whether keys may have vanished only because the store was away.
    bool wasAway(Instant now) const;

    /// The known state, for peers.
    std::vector<StoreItem> items() const;

    /// The changes since a revision, for peers; nothing where they are no longer known.
    std::optional<std::vector<StoreChange>> changesAfter(std::uint64_t revision) const;

private:
    struct Value
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void next(Instant now, std::vector<FollowerAction> &actions);
    void answered(std::vector<FollowerAction> &actions);
    void adopt(Instant now, std::vector<StoreItem> items, std::uint64_t asOf, std::vector<FollowerAction> &actions);

    std::map<std::string, Value, std::less<>> state;
    std::vector<StoreItem> listed; ///< Pages of a listing that is not complete.
    std::uint64_t listedAsOf = 0;
    std::uint64_t knownAsOf = 0;
    bool mustList = true;
    bool reached = false;
    std::deque<StoreChange> log; ///< The latest changes.
    std::uint64_t logStart = 0; ///< All changes since this revision are in the log.
    int failures = 0; ///< In a row.
    Instant watchedAt; ///< When the last watch began.
    std::optional<Instant> retryAt; ///< When the next call is due.
    std::optional<Instant> failedAt; ///< The last time.
    std::minstd_rand random;
};

} // namespace hickoryshore
