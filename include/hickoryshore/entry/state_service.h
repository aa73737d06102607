// Keeps an entry VM's routes and replicas up to date: from the platform's store, and from other VMs while the store
// does not answer this one.
#pragma once

#include "hickoryshore/entry/platform_protocol.h"
#include "hickoryshore/entry/store_sharing.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/httpserver/http_listener.h"
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

/// What the service tells; on the loop's thread.
struct StateHooks
{
    std::function<void(std::shared_ptr<const RouteTable>)> onRouteTable;
    std::function<void(const ReplicaRegistry &)> onReplicas;
};

/// Follows the store's keys. Lives on the loop's thread.
class StateService
{
public:
    /// `peerPort` is where other VMs answer what answerPeer() answers here.
    StateService(EventLoop &loop,
                 const PlatformProtocol &protocol,
                 StoreAccess store,
                 int peerPort,
                 std::uint64_t seed,
                 StateHooks hooks);

    void start();

    /// The other VMs, of which any can be asked.
    void setMembers(std::shared_ptr<const MembershipView> view);

    /// A peer has the configuration of this version; asked for if it is newer and the store does not bring it soon.
    void onPeerVersion(std::uint64_t version, const VmId &from);

    /// A replica has said in a reply that it leaves: no listing takes that back.
    void markLeaving(EndpointId endpoint);

    /// The replicas that have departed, for another VM.
    std::vector<DepartedStart> departedReplicas() const;

    /// Answers another VM that follows the store by way of this one: at once, or when something changes.
    void answerPeer(const PeerStoreRequest &request, std::function<void(const HttpAnswer &)> answer);

    /// Whether routes and replicas are known.
    bool isComplete() const;

    /// After which time a caller may come back that this VM can't serve for want of routes or replicas: soon where
    /// other VMs can serve it, otherwise when the store is likely to have told.
    Duration retryAfter() const;

    /// The version of the configuration in force; zero while there is none. Versions order configurations, whatever
    /// becomes of the store's revisions.
    std::uint64_t version() const;

    /// The store's era as far as it is known.
    std::uint64_t era() const;

    bool isCutOff() const;

private:
    enum PrefixKind : std::size_t { Configuration, Replicas, PrefixKindCount };

    struct Prefix
    {
        std::string name;
        PrefixFollower follower;
        Instant timerAt = Instant::max();
        bool listed = false;
    };

    void perform(PrefixKind kind);
    void perform(PrefixKind kind, FollowerAction &action);
    void list(PrefixKind kind, const ListKeys &call);
    template<typename Key>
    bool hasOnlyOwnKeys(PrefixKind kind, const std::vector<Key> &keys) const;
    void watch(PrefixKind kind, const WatchKeys &call);
    void armTimer(PrefixKind kind);
    void applyListing(PrefixKind kind, const TakeListing &listing);
    void applyChange(PrefixKind kind, const TakeChange &change);
    void applyConfiguration(std::span<const StoreItem> items);
    void applyRouteTable(std::string_view text);
    void listSeparately(PrefixKind kind, StorePage before);
    void onNewEra(PrefixKind kind);
    void askDeparted();
    ListedReplica readReplica(std::string_view key, std::string_view text) const;
    void publishReplicas();
    void expireReplicas();

    /// A VM that waits for changes.
    struct WaitingPeer
    {
        PrefixKind kind;
        StoreRevision after;
        Instant until;
        std::function<void(const HttpAnswer &)> answer;
    };

    /// The newest state that another VM is known to have.
    struct NewestPeerState
    {
        StoreRevision revision; ///< Of the configuration its version, of the registrations the store's revision.
        VmId from;
        Instant since; ///< When a newer state than this VM's was first heard of.
    };

    StoreRevision ownRevision(PrefixKind kind) const;
    void recordPeerState(PrefixKind kind, const StoreRevision &revision, const VmId &from);
    void checkFreshness();
    void askPeerIfLate();
    void askPeerIfLate(PrefixKind kind, Duration maxLag);
    void applyPeerState(PrefixKind kind, PageResult result, const std::string &peer);
    void requestStateFrom(const Member &peer, PrefixKind kind);
    std::optional<HttpAnswer> changesFor(PrefixKind kind, const StoreRevision &after, bool evenIfEmpty) const;
    std::vector<StoreItem> itemsForPeers(PrefixKind kind) const;
    void answerWaiting();

    EventLoop &loop;
    const PlatformProtocol &protocol;
    StoreSharing store;
    StoreAccess storeCalls;
    StateHooks hooks;
    std::array<Prefix, PrefixKindCount> prefixes;
    std::vector<FollowerAction> actions;
    std::shared_ptr<const RouteTable> routes;
    std::string routesText; ///< For peers: the store may hold an older one.
    ReplicaRegistry registry;
    std::size_t unpublishedChanges = 0; ///< That onReplicas has not been told of.
    std::shared_ptr<const MembershipView> members;
    std::vector<WaitingPeer> waiting;
    std::array<NewestPeerState, PrefixKindCount> newestPeerStates;
    int departedCallCount = 0; ///< To other VMs, since the start.
    bool askingDeparted = false;
    bool listingSeparately = false;
};

} // namespace hickoryshore
