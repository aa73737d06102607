// Keeps an entry VM's routes and replicas up to date: from the platform's store, and from other VMs while the store does
// not answer this one.
#pragma once

#include "hickoryshore/entry/entry_dialect.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/membership/member.h"
#include "hickoryshore/upstream/http_connections.h"

#include <array>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

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
    /// `peerPort` is where other VMs answer for encodeState().
    StateService(EventLoop &loop,
                 const EntryDialect &dialect,
                 StoreAccess store,
                 int peerPort,
                 std::uint64_t seed,
                 StateHooks hooks);

    void start();

    /// The other VMs, of which any can be asked.
    void setMembers(std::shared_ptr<const MembershipView> view);

    /// A peer has a newer configuration; asked for if the store does not bring it soon.
    void onRevisionHeard(Revision revision, const VmId &from);

    /// The state for a peer that has the given revisions ("CONFIGURATION,REPLICAS"); empty where it has nothing newer.
    std::string encodeState(std::string_view haveRevisions) const;

    /// Whether routes and replicas are known.
    bool isComplete() const;

    /// Of the configuration in force; zero while there is none.
    Revision revision() const;

    bool isCutOff() const;

private:
    enum Followed : std::size_t { Configuration, Replicas, FollowedCount };

    struct Prefix
    {
        std::string name;
        PrefixFollower follower;
        Instant timerAt = Instant::max();
        bool listed = false;
    };

    void perform(Followed which);
    void perform(Followed which, FollowerAction &action);
    void list(Followed which, const ListKeys &call);
    void watch(Followed which, const WatchKeys &call);
    void armTimer(Followed which);
    void takeListing(Followed which, const TakeListing &listing);
    void takeChange(Followed which, const TakeChange &change);
    void takeRouteTable(std::string_view text, std::uint64_t revision);
    ListedReplica readReplica(std::string_view key, std::string_view text) const;
    void expireReplicas();

    void askPeerIfNeeded();
    void askPeer(const Member &peer);
    void takePeerState(std::string_view body, const std::string &peer);

    EventLoop &loop;
    const EntryDialect &dialect;
    StoreAccess store;
    int peerPort;
    StateHooks hooks;
    std::minstd_rand random;
    std::array<Prefix, FollowedCount> prefixes;
    std::vector<FollowerAction> actions;
    std::shared_ptr<const RouteTable> routes;
    Revision routesRevision;
    ReplicaRegistry registry;
    std::shared_ptr<const MembershipView> members;
    std::shared_ptr<HttpConnections> peers;
    Revision heardRevision;
    VmId heardFrom;
    Instant heardAt;
    Instant startedAt;
    bool asking = false;
};

} // namespace hickoryshore
