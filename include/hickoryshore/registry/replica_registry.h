// The replicas that have registered themselves, and which of them may get work.
//
// Events and the time go in; nothing here reads a clock or a socket. For example:
//
//     ReplicaRegistry registry;
//     registry.put("i-7f3a", record);
//     registry.remove(now, "i-7f3a", false);   // no new work goes there
//     for (const auto &[key, replica] : registry.replicas()) { ... }
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickoryshore {

/// What a replica says of itself.
struct ReplicaRecord
{
    ServiceId service;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    int slots = 1; ///< Requests that it runs at once.
    bool draining = false; ///< It is leaving and takes no new work.
    Duration warmUpLeft{0}; ///< For which it stays slow after its start.
    WallTime started; ///< Tells two starts under one name apart.

    bool operator==(const ReplicaRecord &) const = default;
};

/// A registered replica.
struct RegisteredReplica
{
    EndpointId endpoint; ///< Another one after each start and each change of the address.
    std::string name; ///< Under which it is registered.
    ReplicaRecord record;
    bool leaving = false; ///< This start has said that it leaves, in its entry or in a reply.
    std::optional<Instant> expiresAt; ///< The entry vanished while the store was away: the replica counts until then.
};

/// An entry of the store as it stands in a listing: nothing where it can't be read.
struct ListedReplica
{
    std::string name;
    std::optional<ReplicaRecord> record;
};

/// A start of a replica that is not to get work again: it leaves, or its entry was removed.
struct DepartedInstance
{
    std::string name;
    std::string address;
    WallTime started;
    bool removed = false; ///< Its entry was removed; otherwise it said that it leaves.
};

/// The registered replicas. Not thread-safe.
class ReplicaRegistry
{
public:
    /// For how long a replica counts whose entry vanished while the store was away. Entries of live replicas are back
    /// within two seconds of the store's return; what is missing later is gone.
    static constexpr Duration expiryGracePeriod = std::chrono::milliseconds(2500);

    /// For how long it is remembered that a start of a replica leaves after it was last listed: an older listing, or a
    /// peer's older view, does not bring it back.
    static constexpr Duration leavingRetention = std::chrono::minutes(10);

    /// For how long an entry is held back that a store has brought back from an older copy though it was removed since:
    /// the lease of one that has no writer ends within it.
    static constexpr Duration olderCopyHoldTime = std::chrono::seconds(6);

    /// A replica registered or changed its record.
    void put(Instant now, std::string_view name, const ReplicaRecord &record);

    /// The replica said in a reply that it leaves. Holds for this start of it, whatever its entry says later. Returns
    /// false where that was known, or the replica is not.
    bool markLeaving(Instant now, EndpointId endpoint);

    /// An entry vanished. `recentStoreOutage` says that it may have lapsed though the replica lives.
    void remove(Instant now, std::string_view name, bool recentStoreOutage);

    /// Takes a whole listing: what it lacks has vanished.
    void replaceAll(Instant now, std::span<const ListedReplica> listing, bool recentStoreOutage);

    /// Takes the whole listing of a store that has come back from an older copy. Entries of starts that were seen to go
    /// since are held back until they are written again, or until olderCopyHoldTime has passed; what it lacks has
    /// lapsed.
    void replaceFromOlderCopy(Instant now, std::span<const ListedReplica> listing);

    /// The starts that another VM has to know of which may list an older copy, at most `maxDeparted`.
    std::vector<DepartedInstance> departed() const;

    /// Takes what another VM has seen depart.
    void recordDeparted(Instant now, std::span<const DepartedInstance> instances);

    /// Drops the replicas whose entries did not come back, takes those that were held back, and forgets old marks;
    /// returns whether a replica was dropped or taken.
    bool expire(Instant now);

    /// When expire() has something to do next.
    std::optional<Instant> nextExpiry() const;

    /// All replicas, by name.
    const std::map<std::string, RegisteredReplica, std::less<>> &replicas() const;

private:
    /// One start of a replica.
    struct ReplicaInstance
    {
        std::string name;
        std::string address;
        WallTime started;

        auto operator<=>(const ReplicaInstance &) const = default;
    };

    /// An entry of an older copy that does not count yet.
    struct HeldBackEntry
    {
        ReplicaRecord record;
        Instant until;
    };

    static constexpr std::size_t maxDeparted = 512;

    static ReplicaInstance instanceOf(std::string_view name, const ReplicaRecord &record);
    void recordLeaving(Instant now, RegisteredReplica &replica);
    void drop(Instant now, const std::string &name);
    void eraseHeldBack(std::string_view name);
    bool isOutdated(std::string_view name, const ReplicaRecord &record) const;
    bool isHeldBack(std::string_view name, const ReplicaRecord &record) const;

    std::map<std::string, RegisteredReplica, std::less<>> registered;
    std::map<ReplicaInstance, Instant> leaving; ///< Starts that leave, and when that was last noted.
    std::map<ReplicaInstance, Instant> removed; ///< Starts whose entries were removed, and when.
    std::map<std::string, HeldBackEntry, std::less<>> heldBack; ///< By name.
    std::uint64_t lastEndpoint = 0;
};

} // namespace hickoryshore
