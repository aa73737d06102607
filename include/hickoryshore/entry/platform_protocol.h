// What differs between platforms for an entry VM: header field names, and the formats of store values and of entry
// point answers. The platform's adapter fills in these structs.
#pragma once

#include "hickoryshore/http1/http_exchange.h"
#include "hickoryshore/registry/replica_registry.h"
#include "hickoryshore/routes/route_table.h"
#include "hickoryshore/shutdown/entry_points.h"
#include "hickoryshore/statesync/prefix_follower.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hickoryshore {

/// Names of the header fields in requests and responses between callers, VMs and replicas.
struct ForwardingHeaders
{
    std::string requestId; ///< Identifies one try of a caller; forwarded unchanged.
    std::string remainingMilliseconds; ///< Time left until the caller stops waiting for the answer.
    std::string expectedReplica; ///< Name of the intended replica; any other replica refuses the request.
    std::string notExecuted; ///< Response: present if the replica did not run the request.
    std::string resultSignature; ///< Response: the replica's proof of its result.
    std::string coveredSignatures; ///< Merged answer: the signatures of the results it contains.
    std::string missingShards; ///< Merged answer: the number of shards that are missing from it.
    std::string replicaLoad; ///< Response: the load of the replica, see parseQueueLength.
    std::string replicaLeaving; ///< Response: whether the replica is leaving.
    std::string requestedPause; ///< Refusal: how long the replica asks to receive no requests.
};

/// Header names, keys, paths and parsers of one platform.
struct PlatformProtocol
{
    ForwardingHeaders headers;
    std::size_t recordBytes = 16; ///< Size of each record that a shard returns.
    std::string configurationKey; ///< Store key of the route table.
    std::string replicaPrefix; ///< Prefix of the store keys under which replicas register.

    /// A longer value under replicaPrefix names no replica, and is not kept.
    std::size_t maxReplicaBytes = std::numeric_limits<std::size_t>::max();

    std::string entryPointPath; ///< Path at which callers request entry points.
    std::string readinessPath;

    /// Parse values of the store. Throw std::invalid_argument if the text is malformed.
    std::function<RouteTable(std::string_view)> parseRouteTable;
    std::function<ReplicaRecord(std::string_view)> parseReplica;

    /// Returns the number of requests in the replica's queue from the value of the load header, or std::nullopt if the
    /// value is malformed.
    std::function<std::optional<int>(std::string_view)> parseQueueLength;

    /// Returns whether the value of the leaving header means that the replica is leaving.
    std::function<bool(std::string_view)> parseLeaving;

    /// Returns the pause that a refusal requests, or std::nullopt if the value is malformed.
    std::function<std::optional<Duration>(std::string_view)> parsePause;

    std::function<CallerLocation(std::string_view query)> parseCallerLocation;
    std::function<std::string(const EntryPoints &)> formatEntryPoints;
};

using PageResult = std::variant<StorePage, StoreFailure>;
using ChangesResult = std::variant<StoreChanges, StoreFailure>;

/// Calls to the platform's store. Each invokes its callback once, asynchronously, on the loop's thread.
struct StoreAccess
{
    std::function<void(std::string_view prefix, std::string_view after, std::function<void(PageResult)>)> list;
    std::function<void(
        std::string_view prefix, const StoreRevision &after, Duration wait, std::function<void(ChangesResult)>)>
        watch;
};

} // namespace hickoryshore
