// Lets few VMs of a large fleet call the platform's store, and the others follow those: the store counts each call, and
// its rates grow more slowly than the fleet.
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

/// The VMs of a data centre that call the store themselves, best first: those with the most processor, since the others
/// read from them.
std::vector<VmId> storeReaders(const MembershipView &view, const DataCentreId &dataCentre);

/// The VM from which to follow the store; nothing where it is to be called directly. `failures` counts the calls that
/// failed in a row: each leads to the next source, and every third one to the store itself. `turn` chooses among the
/// sources: calls that follow each other go to all of them by turns.
std::optional<Member> storeSource(const MembershipView &view, int failures, std::uint64_t turn);

/// The replicas that another VM knows to have departed, or that it did not answer.
using DepartedResult = std::variant<std::vector<DepartedStart>, StoreFailure>;

/// Calls to the store, directly or by way of another VM. Lives on the loop's thread.
class StoreSharing
{
public:
    /// `peerPort` is where other VMs answer peerTarget() paths.
    StoreSharing(EventLoop &loop, StoreAccess store, int peerPort, std::uint64_t seed);

    void setMembers(std::shared_ptr<const MembershipView> view);

    /// The calls as a follower makes them.
    StoreAccess access();

    /// Lists a prefix at one peer, whichever source is used otherwise.
    void listAt(const Member &peer, std::string_view prefix, std::function<void(PageResult)> completion);

    /// Asks a VM drawn at random what has changed there after a revision, without waiting for changes. Nothing is asked
    /// where there is none.
    void askChanges(std::string_view prefix,
                    const StoreRevision &after,
                    std::function<void(const Member &, ChangesResult)> completion);

    /// Asks a VM drawn at random which replicas have departed; returns false where there is none to ask.
    bool askDeparted(std::function<void(DepartedResult)> completion);

private:
    std::optional<Member> source(std::string_view prefix, bool next);
    const Member *randomConfiguredPeer();
    std::string serverOf(const Member &peer) const;
    void list(std::string_view prefix, std::string_view after, std::function<void(PageResult)> completion);
    void watch(std::string_view prefix,
               const StoreRevision &after,
               Duration wait,
               std::function<void(ChangesResult)> completion);
    void recordOutcome(bool failed);

    EventLoop &loop;
    StoreAccess store;
    int peerPort;
    std::mt19937_64 random;
    std::shared_ptr<const MembershipView> members;
    std::shared_ptr<HttpConnections> peers;
    std::uint64_t firstTurn; ///< The VMs do not all begin with the same source.
    std::map<std::string, std::uint64_t, std::less<>> turns; ///< Of the sources, for each prefix.
    int failures = 0;
};

/// A request of one VM to another: what is under a prefix, or what changed there.
struct PeerStoreRequest
{
    std::string prefix;
    std::optional<std::uint64_t> changesAfter; ///< The number of a revision; nothing: list.
    std::optional<std::uint64_t> era; ///< Of that revision; VMs that know of none leave it out.
    Duration wait{0};
};

/// The target of such a request, and back; nothing where the target is none.
std::string peerTarget(const PeerStoreRequest &request);
std::optional<PeerStoreRequest> parsePeerTarget(std::string_view target);

/// The bodies of the answers.
std::string encodePage(const StorePage &page);
std::string encodeChanges(const StoreChanges &changes);

/// Where a VM tells others which replicas have departed, and the answer's body. decodeDeparted() returns nothing where
/// the body can't be read.
inline constexpr std::string_view departedPath = "/v1/store/departed";
std::string encodeDeparted(std::span<const DepartedStart> instances);
std::optional<std::vector<DepartedStart>> decodeDeparted(std::string_view body);

} // namespace hickoryshore
