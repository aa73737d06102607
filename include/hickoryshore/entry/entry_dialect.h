// What differs between platforms, as seen by an entry VM: the names of header fields, the texts of the store's values
// and of the answers to callers that ask for entry points. An adapter fills these in; nothing else knows them.
#pragma once

#include "hickoryshore/http1/http_exchange.h"
#include "hickoryshore/registry/replica_registry.h"
#include "hickoryshore/routes/route_table.h"
#include "hickoryshore/shutdown/entry_points.h"
#include "hickoryshore/statesync/prefix_follower.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hickoryshore {

/// Names of the header fields that callers, VMs and replicas exchange.
struct ForwardingHeaders
{
    std::string requestId; ///< Of one try of a caller; passed on as it is.
    std::string remainingMilliseconds; ///< Until nobody waits for the answer any more.
    std::string expectedReplica; ///< Any other replica refuses the request.
    std::string notExecuted; ///< In a response: the replica did not run the request.
    std::string resultSignature; ///< In a response: the replica's proof of its result.
    std::string coveredSignatures; ///< In a merged answer: the signatures of the results in it.
    std::string missingShards; ///< In a merged answer: the number of shards that it lacks.
    std::string replicaLoad;
    std::string replicaLeaving; ///< In a response: the replica is leaving.
    std::string pauseAsked; ///< In a refusal: for how long the replica wants no further request from this VM.
};

/// How the platform speaks.
struct EntryDialect
{
    ForwardingHeaders headers;
    std::size_t recordBytes = 16; ///< Size of the records that shards return.
    std::string configurationKey;
    std::string replicaPrefix; ///< Of the keys under which replicas register.
    std::string entryPointPath; ///< Where callers ask for entry points.
    std::string readinessPath;

    /// Each throws std::invalid_argument where the text can't be read.
    std::function<RouteTable(std::string_view)> parseRouteTable;
    std::function<ReplicaRecord(std::string_view)> parseReplica;

    /// Requests in the replica's queue, from the value of the load header.
    std::function<std::optional<int>(std::string_view)> parseWaiting;

    /// Whether the value of the leaving header says that the replica leaves.
    std::function<bool(std::string_view)> parseLeaving;

    /// The pause that a refusal asks for; nothing where the value is none.
    std::function<std::optional<Duration>(std::string_view)> parsePause;

    std::function<CallerLocation(std::string_view query)> parseCallerPlace;
    std::function<std::string(const EntryPoints &)> formatEntryPoints;
};

using PageResult = std::variant<StorePage, StoreFailure>;
using ChangesResult = std::variant<StoreChanges, StoreFailure>;

/// Calls to the platform's store. Each calls back once, later, on the loop's thread.
struct StoreAccess
{
    std::function<void(std::string_view prefix, std::string_view after, std::function<void(PageResult)>)> list;
    std::function<void(
        std::string_view prefix, const StoreRevision &after, Duration wait, std::function<void(ChangesResult)>)>
        watch;
};

} // namespace hickoryshore
