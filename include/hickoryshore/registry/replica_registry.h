// The registered replicas and whether each may receive work.
//
// Takes events and the time as arguments; reads no clock or socket. For example:
//
//     ReplicaRegistry registry;
//     registry.put(now, "i-7f3a", record);
//     registry.remove(now, "i-7f3a", false);   // receives no new work
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

/// The data with which a replica registers.
struct ReplicaRecord
{
    ServiceId service;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    int slots = 1; ///< Number of requests it runs at the same time.
    bool draining = false; ///< It is leaving and accepts no new work.
    Duration warmUpLeft{0}; ///< Remaining warm-up time, during which the replica is slow.
    WallTime started; ///< Distinguishes two instances registered under one name.

    bool operator==(const ReplicaRecord &) const = default;
};

/// A registered replica.
struct RegisteredReplica
{
    EndpointId endpoint; ///< Changes with each new instance and each change of the address.
    std::string name; ///< The name under which it is registered.
    ReplicaRecord record;
    bool leaving = false; ///< This instance has reported, in its entry or in a reply, that it is leaving.
    std::optional<Instant> expiresAt; ///< Set if the entry disappeared during a store outage: when the replica stops
                                      ///< being usable.
};

/// An entry of a listing. The record is std::nullopt if it cannot be parsed.
struct ListedReplica
{
    std::string name;
    std::optional<ReplicaRecord> record;
};

/// A replica instance that must not receive work again because it is leaving or its entry was removed.
struct DepartedInstance
{
    std::string name;
    std::string address;
    WallTime started;
    bool removed = false; ///< True if its entry was removed, false if it reported that it is leaving.
};

/// The registered replicas. Not thread-safe.
class ReplicaRegistry
{
public:
    /// How long a replica stays usable after its entry disappeared during a store outage. Entries of live replicas
    /// reappear within two seconds after the store returns; those still missing later are gone.
    static constexpr Duration expiryGracePeriod = std::chrono::milliseconds(2500);

    /// How long a leaving instance is remembered after it was last recorded as leaving. Prevents an older listing, from
    /// the store or a peer, from bringing it back.
    static constexpr Duration leavingRetention = std::chrono::minutes(10);

    /// How long an entry is held back if it was removed but reappeared because the store was restored from an older
    /// copy. The lease of an entry without a writer ends within this time.
    static constexpr Duration olderCopyHoldTime = std::chrono::seconds(6);

    /// Adds a replica or updates its record.
    void put(Instant now, std::string_view name, const ReplicaRecord &record);

    /// Records that the replica reported in a reply that it is leaving. Applies to this instance regardless of its
    /// later entries. Returns false if that was already recorded or the replica is not registered.
    bool markLeaving(Instant now, EndpointId endpoint);

    /// Handles the removal of an entry. `recentStoreOutage` means that the entry may have expired although the replica
    /// is alive.
    void remove(Instant now, std::string_view name, bool recentStoreOutage);

    /// Applies a complete listing. Entries missing from it are treated as removed.
    void replaceAll(Instant now, std::span<const ListedReplica> listing, bool recentStoreOutage);

    /// Applies the complete listing of a store that was restored from an older copy. Entries of instances that have
    /// departed since the copy was made are held back until they are written again or olderCopyHoldTime has passed.
    /// Entries missing from the listing are treated as expired.
    void replaceFromOlderCopy(Instant now, std::span<const ListedReplica> listing);

    /// Returns the departed instances, at most `maxDeparted`, for VMs that may list an older copy of the store.
    std::vector<DepartedInstance> departed() const;

    /// Records instances that another VM reported as departed.
    void recordDeparted(Instant now, std::span<const DepartedInstance> instances);

    /// Drops replicas whose entries did not reappear, adds entries whose hold time has passed, and erases old records
    /// of departed instances. Returns whether a replica was dropped or added.
    bool expire(Instant now);

    /// Returns when expire() must be called next, or std::nullopt if nothing is pending.
    std::optional<Instant> nextExpiry() const;

    /// Returns all replicas by name.
    const std::map<std::string, RegisteredReplica, std::less<>> &replicas() const;

private:
    /// One instance of a replica at one address.
    struct ReplicaInstance
    {
        std::string name;
        std::string address;
        WallTime started;

        auto operator<=>(const ReplicaInstance &) const = default;
    };

    /// An entry of an older copy that is not used yet.
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
    std::map<ReplicaInstance, Instant> leaving; ///< Leaving instances, and when each was last recorded as leaving.
    std::map<ReplicaInstance, Instant> removed; ///< Instances whose entries were removed, and when.
    std::map<std::string, HeldBackEntry, std::less<>> heldBack; ///< By name.
    std::uint64_t lastEndpoint = 0;
};

} // namespace hickoryshore
