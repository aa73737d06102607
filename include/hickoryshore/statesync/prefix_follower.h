// Mirrors all keys of the platform's store under one prefix: lists them once, then watches for changes.
//
// Takes events and the time as arguments and returns actions; reads no clock or socket. For example:
//
//     PrefixFollower follower(seed);
//     std::vector<FollowerAction> actions;
//     follower.start(now, actions);                  // ListKeys
//     follower.onPage(now, page, actions);           // ApplyListing, WatchKeys
//     follower.onChanges(now, changes, actions);     // ApplyChange, WatchKeys
//     follower.onFailure(now, failure, actions);     // and onTimer() at nextTimer()
#pragma once

#include "hickoryshore/statesync/paged_listing.h"
#include "hickoryshore/statesync/recent_changes.h"
#include "hickoryshore/statesync/store_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickoryshore {

/// Why a call to the store, or to a peer that follows it, failed.
enum class StoreFailure {
    Unavailable, ///< The store did not answer.
    Unreadable, ///< The store's answer is too long or malformed.
    PeerUnavailable, ///< A peer did not answer.
    PeerStale, ///< A peer told no changes, but the store has not confirmed its state for long.
    HistoryGone, ///< The changes since the given revision are no longer available.
};

/// Lists the keys after `after`, or all keys if it is empty.
struct ListKeys
{
    std::string after;
};

/// Waits for changes after the revision, for at most `wait`.
struct WatchKeys
{
    StoreRevision after;
    Duration wait{0};
};

/// Replaces the whole state of the prefix.
struct ApplyListing
{
    std::vector<StoreItem> items;
    bool recentStoreOutage = false; ///< Keys may be missing only because of a store outage.
    bool fromOlderCopy = false; ///< The store was restored from an older copy, so removed keys may have reappeared.
};

/// Applies one change to the state.
struct ApplyChange
{
    StoreChange change;
    bool recentStoreOutage = false;
};

/// The store stopped answering or answers again.
struct StoreReachable
{
    bool reachable = false;
};

/// What shows a store outage.
enum class OutageEvidence {
    UnansweredCalls, ///< The store answered none of this VM's calls.
    MassExpiry, ///< Many keys disappeared together.
    Peer, ///< A peer reported it.
};

/// Reports the end of a store outage, after which keys may be missing only because of it.
struct StoreOutageEnded
{
    OutageEvidence evidence = OutageEvidence::UnansweredCalls;
    Duration silence{0}; ///< Since the start of the first unanswered call; zero with other evidence.
};

/// Reports that a listing was given up because the page after this key brought no new key.
struct ListingStalled
{
    std::string after;
};

using FollowerAction
    = std::variant<ListKeys, WatchKeys, ApplyListing, ApplyChange, StoreReachable, StoreOutageEnded, ListingStalled>;

/// Follows one prefix. Not thread-safe.
///
/// A state of a later era replaces the current one even if its number is lower. A listing older than the current state
/// is ignored, and the delay before the next listing grows.
class PrefixFollower
{
public:
    /// If the store answers no call of this VM for longer than this, and no peer reports a later answer, it counts as
    /// having been away. Longer than a watch with its answer. Leases of three seconds expire in an outage of this
    /// length.
    static constexpr Duration minOutage = std::chrono::seconds(3);

    /// How long removed keys may be due to a store outage, from its end. The keys that expired in it come with the
    /// first answer, and live writers restore theirs within two seconds. A key that is removed later was withdrawn.
    static constexpr Duration recentOutagePeriod = std::chrono::seconds(2);

    /// Minimum time between the starts of two watches. Changes in quick succession are read together, because the store
    /// counts each call.
    static constexpr Duration watchInterval = std::chrono::milliseconds(300);

    /// Longest wait of a watch. Its answer confirms the state even if there are no changes; a watch that the store has
    /// lost is noticed only when its answer is overdue.
    static constexpr Duration maxWatchWait = std::chrono::seconds(2);

    /// Upper bound of the random delay before a listing after a watch reported a new era, because all VMs see the new
    /// era at the same time.
    static constexpr Duration maxListingDelay = std::chrono::milliseconds(100);

    /// The seed randomises the retry delays, so that VMs do not retry at the same time.
    explicit PrefixFollower(std::uint64_t seed);

    void start(Instant now, std::vector<FollowerAction> &actions);

    /// Records that the call requested last went to a peer instead of the store. The silence of a peer, or of the
    /// network to it, does not show that the store is away.
    void onCallSentToPeer();

    /// Records that this VM did not run until now. Answers that it did not read in that time show nothing about the
    /// store.
    void onPaused(Instant now);

    void onPage(Instant now, StorePage page, std::vector<FollowerAction> &actions);
    void onChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions);
    void onFailure(Instant now, StoreFailure failure, std::vector<FollowerAction> &actions);

    /// Applies a peer's state. Ignores it if it is not newer than the current state.
    void onPeerState(Instant now, StorePage state, std::vector<FollowerAction> &actions);

    /// Applies changes received from a peer while a call is in flight. They must follow a revision that is already
    /// applied here.
    void onPeerChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions);

    void onTimer(Instant now, std::vector<FollowerAction> &actions);
    std::optional<Instant> nextTimer() const;

    /// Returns the revision of the current state, or number 0 before the first listing.
    StoreRevision asOf() const;

    /// Returns how long ago the store confirmed the current state, directly or through peers, or std::nullopt before
    /// the first listing. A call that is pending does not confirm anything.
    std::optional<Duration> age(Instant now) const;

    /// Returns whether the last call to the store failed or none has been answered yet.
    bool isCutOff() const;

    /// Returns whether keys may have disappeared only because of a store outage.
    bool hadRecentOutage(Instant now) const;

    /// Returns how long ago the outage was, for peers, or std::nullopt if it no longer matters. Peers exchange the
    /// elapsed time so that they do not prolong the outage for each other.
    std::optional<Duration> timeSinceOutage(Instant now) const;

    /// Returns the current state, for peers.
    std::vector<StoreItem> items() const;

    /// Returns the latest change since a revision of each key that changed, for peers, or std::nullopt if they are no
    /// longer available or the revision is of an earlier era.
    std::optional<std::vector<StoreChange>> changesAfter(const StoreRevision &revision) const;

private:
    struct Value
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void scheduleNextCall(Instant now, std::vector<FollowerAction> &actions);
    void markReachable(std::vector<FollowerAction> &actions);
    void applyChanges(Instant now, StoreChanges changes, std::vector<FollowerAction> &actions);
    bool applyState(Instant now, StorePage whole, std::vector<FollowerAction> &actions);
    void onCallAnswered(Instant now, std::vector<FollowerAction> &actions);
    std::optional<Instant> unansweredSince() const;
    void endStoreSilence(Instant answeredAt, std::vector<FollowerAction> &actions);
    void recordOutage(Instant now, std::optional<Duration> ago, std::vector<FollowerAction> &actions);
    void recordOutageEnd(Instant endedAt, const StoreOutageEnded &outage, std::vector<FollowerAction> &actions);
    void recordConfirmation(Instant confirmedAt, std::vector<FollowerAction> &actions);
    void recordRemovals(Instant now, std::size_t removed, std::size_t known, std::vector<FollowerAction> &actions);
    void backOff(Instant now);
    Duration randomDelay(Duration minDelay, Duration maxDelay);

    std::map<std::string, Value, std::less<>> state;
    PagedListing listing;
    StoreRevision knownAsOf;
    StoreRevision watchedFrom; ///< Revision from which the last watch started.
    bool mustList = true;
    bool reachable = false;
    RecentChanges recentChanges; ///< All in the current era.
    int failures = 0; ///< Consecutive failures.
    Instant watchedAt; ///< When the last watch started.
    Instant calledAt; ///< When the last call started.
    bool awaitsStore = false; ///< Whether a call to the store is in flight.
    std::optional<Instant> storeSilentSince; ///< Since when calls to the store failed while it answered no VM that this
                                             ///< one hears of.
    Instant relistedAt; ///< When a listing was last scheduled because the history was gone.
    std::optional<Instant> nextCallAt; ///< When the next call is due.
    std::optional<Instant> confirmedAt; ///< When the store last confirmed the current state.
    std::optional<Instant> lastOutageAt; ///< When the last outage was over, as far as known.
    std::minstd_rand random;
};

} // namespace hickoryshore
