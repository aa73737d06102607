// Keeps an entry VM's routes and replicas up to date from the platform's store, or from other VMs while the store does
// not answer this VM.
#pragma once

#include "hickoryshore/entry/platform_protocol.h"
#include "hickoryshore/entry/store_sharing.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/httpserver/http_listener.h"
#include "hickoryshore/log/log.h"
#include "hickoryshore/membership/member.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// Callbacks of a StateService, called on the loop's thread.
struct StateHooks
{
    std::function<void(std::shared_ptr<const RouteTable>)> onRouteTable;
    std::function<void(const ReplicaRegistry &)> onReplicas;
};

/// Follows the keys of the store. Must be used on the loop's thread.
class StateService
{
public:
    /// `peerPort` is the port at which other VMs serve the requests that answerPeer() serves here.
    StateService(EventLoop &loop,
                 const PlatformProtocol &protocol,
                 StoreAccess store,
                 int peerPort,
                 std::uint64_t seed,
                 StateHooks hooks);

    void start();

    /// Sets the VMs that can be asked for the state of the store.
    void setMembers(std::shared_ptr<const MembershipView> view);

    /// Records that a peer has this version of the configuration. If the version is newer and the usual source doesn't
    /// deliver it soon, the configuration is requested from that peer.
    void onPeerVersion(std::uint64_t version, const VmId &from);

    /// Marks a replica that reported in a reply that it is leaving. Later listings don't clear the mark.
    void markLeaving(EndpointId endpoint);

    /// Returns the departed replicas, for another VM.
    std::vector<DepartedInstance> departedReplicas() const;

    /// Answers a VM that follows the store through this one, at once or when something changes.
    void answerPeer(const PeerStoreRequest &request, std::function<void(const HttpAnswer &)> answer);

    /// Returns whether routes and replicas have been loaded.
    bool isComplete() const;

    /// Returns after how long a caller may retry if this VM lacks the routes or replicas to serve it: a short time if
    /// other VMs can serve the caller, otherwise the time until the store has probably delivered them.
    Duration retryAfter() const;

    /// Returns the version of the configuration in force, or zero if there is none. Versions order configurations even
    /// if the store's revisions go back.
    std::uint64_t version() const;

    /// Returns the latest known era of the store.
    std::uint64_t era() const;

    bool isCutOff() const;

    /// Returns how long ago the store confirmed the configuration or the registrations, directly or through other VMs,
    /// or std::nullopt before the first listing.
    std::optional<Duration> configurationAge() const;
    std::optional<Duration> replicasAge() const;

private:
    enum PrefixKind : std::size_t { Configuration, Replicas, PrefixKindCount };

    struct Prefix
    {
        std::string name;
        PrefixFollower follower;
        Instant timerAt = Instant::max();
        bool listed = false;
        bool stale = false; ///< Whether the store has not confirmed the state for maxStateAge.
        std::string source; ///< Name of the VM that sent the state being applied, or storeSourceName.
    };

    void perform(PrefixKind kind);
    void perform(PrefixKind kind, FollowerAction &action);
    void list(PrefixKind kind, const ListKeys &call);
    template<typename Entry>
    bool acceptEntries(PrefixKind kind, std::vector<Entry> &entries) const;
    void watch(PrefixKind kind, const WatchKeys &call);
    void recordCallTarget(PrefixKind kind);
    void checkPause();
    void armTimer(PrefixKind kind);
    std::vector<LogField> callFields(PrefixKind kind) const;
    void logStaleness();
    void logStalledListing(PrefixKind kind, std::string_view after) const;
    void applyListing(PrefixKind kind, const ApplyListing &listing);
    void applyChange(PrefixKind kind, const ApplyChange &change);
    void applyConfiguration(std::span<const StoreItem> items);
    void applyRouteTable(std::string_view text);
    void listSeparately(PrefixKind kind, PagedListing before);
    void onNewEra(PrefixKind kind);
    void askDeparted();
    ListedReplica readReplica(std::string_view key, std::string_view text) const;
    void publishReplicas();
    void expireReplicas();

    /// A pending request of a VM that waits for changes.
    struct WaitingPeer
    {
        PrefixKind kind;
        StoreRevision after;
        Instant until;
        std::function<void(const HttpAnswer &)> answer;
    };

    /// The newest state that any other VM has reported.
    struct NewestPeerState
    {
        StoreRevision revision; ///< Configuration: its version. Registrations: the store's revision.
        VmId from;
        Instant since; ///< When a state newer than this VM's was first reported.
    };

    StoreRevision ownRevision(PrefixKind kind) const;
    void recordPeerState(PrefixKind kind, const StoreRevision &revision, const VmId &from);
    void checkFreshness();
    void askPeerIfLate();
    void askPeerIfLate(PrefixKind kind, Duration maxLag);
    void applyPeerState(PrefixKind kind, PageResult result, const std::string &peer);
    void requestStateFrom(const Member &peer, PrefixKind kind);
    Duration ageForPeers(PrefixKind kind, const StoreRevision &after) const;
    bool isStaleFor(PrefixKind kind, const StoreRevision &after) const;
    std::optional<HttpAnswer> changesFor(PrefixKind kind, const StoreRevision &after, bool evenIfEmpty) const;
    std::vector<StoreItem> itemsForPeers(PrefixKind kind) const;
    void answerWaiting();

    EventLoop &loop;
    const PlatformProtocol &protocol;
    StoreSharing store;
    StoreAccess storeCalls;
    StateHooks hooks;
    std::array<Prefix, PrefixKindCount> prefixes;
    Instant lastRanAt; ///< When this VM last handled an event of the store or a timer; zero before the start.
    std::vector<FollowerAction> actions;
    std::shared_ptr<const RouteTable> routes;
    std::string routesText; ///< Sent to peers, since the store may hold an older configuration.
    ReplicaRegistry registry;
    std::size_t unpublishedChanges = 0; ///< Changes since the last call of onReplicas.
    std::shared_ptr<const MembershipView> members;
    std::vector<WaitingPeer> waiting;
    std::array<NewestPeerState, PrefixKindCount> newestPeerStates;
    int departedCallCount = 0; ///< Requests for departed replicas since the start.
    bool askingDeparted = false;
    bool listingSeparately = false;
};

} // namespace hickoryshore
