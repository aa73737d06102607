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
    std::optional<Instant> lapsesAt; ///< The entry vanished while the store was away: the replica counts until then.
};

/// An entry of the store as it stands in a listing: nothing where it can't be read.
struct ListedReplica
{
    std::string name;
    std::optional<ReplicaRecord> record;
};

/// The registered replicas. Not thread-safe.
class ReplicaRegistry
{
public:
    /// For how long a replica counts whose entry vanished while the store was away. Entries of live replicas are back
    /// within two seconds of the store's return; what is missing later is gone.
    static constexpr Duration lapseAllowance = std::chrono::milliseconds(2500);

    /// A replica registered or changed its record.
    void put(std::string_view name, const ReplicaRecord &record);

    /// An entry vanished. `storeWasAway` says that it may have lapsed though the replica lives.
    void remove(Instant now, std::string_view name, bool storeWasAway);

    /// Takes a whole listing: what it lacks has vanished.
    void replaceAll(Instant now, std::span<const ListedReplica> listing, bool storeWasAway);

    /// Drops the replicas whose entries did not come back; returns whether there were any.
    bool expire(Instant now);

    /// When expire() has something to do next.
    std::optional<Instant> nextExpiry() const;

    /// All replicas, by name.
    const std::map<std::string, RegisteredReplica, std::less<>> &replicas() const;

private:
    std::map<std::string, RegisteredReplica, std::less<>> known;
    std::uint64_t lastEndpoint = 0;
};

} // namespace hickoryshore
