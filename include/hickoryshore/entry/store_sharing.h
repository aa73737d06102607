// Lets a few VMs of a large fleet call the platform's store while the others follow those VMs. The store limits the
// rate of calls, and the limit grows more slowly than the fleet.
#pragma once

#include "hickoryshore/entry/platform_protocol.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/membership/member.h"
#include "hickoryshore/upstream/http_connections.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickoryshore {

/// Returns the VMs of a data centre that call the store directly, in order of preference. VMs with the most CPU are
/// chosen, since the others read from them.
std::vector<VmId> storeReaders(const MembershipView &view, const DataCentreId &dataCentre);

/// Age of a state above which the VM that sent it is no source: the store has answered neither it nor the VM that it
/// follows for longer than a watch takes.
inline constexpr Duration maxSourceAge = std::chrono::milliseconds(2500);

/// Consecutive calls for a prefix that told nothing new of the store.
struct SourceFailures
{
    int failed = 0; ///< Calls without an answer.
    int stale = 0; ///< Answers of VMs whose state was older than maxSourceAge.
};

/// Returns the VM through which to follow the store, or std::nullopt if the store is to be called directly. After a
/// failure, sources of all data centres are used, and every third call goes to the store; if sources are stale, fewer
/// in a large fleet, all of which may have lost the store. A VM that calls the store itself alternates between the
/// store and a source after failures. `turn` selects among the sources, in rotation if it grows by one per call.
std::optional<Member> storeSource(const MembershipView &view, const SourceFailures &failures, std::uint64_t turn);

/// The departed replicas that another VM has recorded, or the failure of the request.
using DepartedResult = std::variant<std::vector<DepartedInstance>, StoreFailure>;

/// The source of VMs that call the store directly, in logs.
inline constexpr std::string_view storeSourceName = "store";

/// A call to the store or to the VM in its place.
struct StoreCall
{
    std::string source; ///< Name of the VM, or storeSourceName.
    Instant startedAt;
};

/// Calls the store, directly or through another VM. Must be used on the loop's thread.
class StoreSharing
{
public:
    /// `peerPort` is the port at which other VMs serve peerTarget() paths.
    StoreSharing(EventLoop &loop, StoreAccess store, int peerPort, std::uint64_t seed);

    void setMembers(std::shared_ptr<const MembershipView> view);

    /// Returns the calls for a PrefixFollower's actions.
    StoreAccess access();

    /// Returns the latest call for a prefix that access() started, for logs. The source is empty before the first one.
    StoreCall latestCall(std::string_view prefix) const;

    /// Lists a prefix at the given peer, regardless of the usual source.
    void listAt(const Member &peer, std::string_view prefix, std::function<void(PageResult)> completion);

    /// Asks a random VM that has a configuration for its changes after a revision, without waiting for changes. Does
    /// nothing if there is no such VM.
    void askChanges(std::string_view prefix,
                    const StoreRevision &after,
                    std::function<void(const Member &, ChangesResult)> completion);

    /// Asks a random VM that has a configuration for the departed replicas. Returns false if there is no such VM.
    bool askDeparted(std::function<void(DepartedResult)> completion);

private:
    std::optional<Member> nextSource(std::string_view prefix, bool rotate);
    const Member *randomConfiguredPeer();
    std::string serverOf(const Member &peer) const;
    void list(std::string_view prefix, std::string_view after, std::function<void(PageResult)> completion);
    void watch(std::string_view prefix,
               const StoreRevision &after,
               Duration wait,
               std::function<void(ChangesResult)> completion);
    /// How a prefix is followed.
    struct PrefixSource
    {
        std::uint64_t turn = 0; ///< See storeSource().
        SourceFailures failures;
        StoreCall latestCall;
        bool listAtStore = false; ///< A watch of the store was unreadable. Peers may not have these changes either.
    };

    PrefixSource &sourceOf(std::string_view prefix);
    template<typename State>
    void recordOutcome(PrefixSource &source, const std::variant<State, StoreFailure> &result);

    EventLoop &loop;
    StoreAccess store;
    int peerPort;
    std::mt19937_64 random;
    std::shared_ptr<const MembershipView> members;
    std::shared_ptr<HttpConnections> peers;
    std::uint64_t firstTurn; ///< Random, so that VMs don't all begin with the same source.
    std::map<std::string, PrefixSource, std::less<>> sources;
};

/// A request of one VM to another for the keys under a prefix, or for changes to them.
struct PeerStoreRequest
{
    std::string prefix;
    std::optional<std::uint64_t> changesAfter; ///< Number of a revision; empty to list the keys.
    std::optional<std::uint64_t> era; ///< Era of that revision; empty in requests of VMs without eras.
    Duration wait{0}; ///< How long the answer may wait for changes.
};

/// Formats and parses the target of such a request. parsePeerTarget() returns std::nullopt for any other target.
std::string peerTarget(const PeerStoreRequest &request);
std::optional<PeerStoreRequest> parsePeerTarget(std::string_view target);

/// Encode the bodies of the answers.
std::string encodePage(const StorePage &page);
std::string encodeChanges(const StoreChanges &changes);

/// Path at which a VM returns the departed replicas, and the format of that answer. decodeDeparted() returns
/// std::nullopt if the body is malformed.
inline constexpr std::string_view departedPath = "/v1/store/departed";
std::string encodeDeparted(std::span<const DepartedInstance> instances);
std::optional<std::vector<DepartedInstance>> decodeDeparted(std::string_view body);

} // namespace hickoryshore
