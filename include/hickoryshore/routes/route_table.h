// Which services a caller's HTTP request goes to: routes by host and path, as one version of the configuration has
// them.
//
//     RouteIndex index(table);
//     const Route *route = index.find("boards.example", "/arrivals/17"); // nullptr where there is none
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// A service and its part of a route's requests.
struct ServiceShare
{
    ServiceId service;
    double weight = 1.0;

    bool operator==(const ServiceShare &) const = default;
};

/// How the requests of one host and path are served.
struct Route
{
    RouteId name;
    std::string host; ///< In lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool idempotent = false; ///< Whether a request may run more than once.
    Duration timeout{std::chrono::seconds(1)}; ///< Then a request gets its final answer.
    Duration latencyObjective{std::chrono::milliseconds(100)}; ///< Within which an answer is of full use.
    int priority = 0; ///< 0 is the highest.
    int maximumAttempts = 1; ///< Replicas on which one request may run; for each shard, where there are shards.
    std::vector<ServiceShare> split; ///< Each request goes to one of these; empty where there are shards.
    std::vector<ServiceId> shards; ///< Each request goes to all of these, and their answers are merged.
    std::size_t topRecords = 0; ///< With shards: so many of the greatest records make up the answer.
    double minimumCoverage = 0.0; ///< With shards: the share of them, 0 to 1, below which an answer is a failure.
};

/// What is known of a service besides its replicas.
struct ServiceLimits
{
    ServiceId service;
    int connectionsPerReplica = 60; ///< That a replica accepts from all VMs together.
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{1024} * 1024;
    Duration headerTimeout{std::chrono::seconds(5)}; ///< From the first byte of a request until it is whole.
    Duration idleTimeout{std::chrono::seconds(60)}; ///< Without a request on an open connection.

    bool operator==(const CallerLimits &) const = default;
};

/// One version of the configuration.
struct RouteTable
{
    std::uint64_t version = 0; ///< A higher one is newer; zero means "none".
    std::vector<Route> routes;
    std::vector<ServiceLimits> services;
    CallerLimits callers;
};

/// Finds routes. Keeps its table alive.
class RouteIndex
{
public:
    explicit RouteIndex(std::shared_ptr<const RouteTable> table);

    /// The route of this host whose prefix is the longest that begins the path, or nullptr. The host is compared
    /// without case and without a port.
    const Route *find(std::string_view host, std::string_view path) const;

    const RouteTable &table() const;

private:
    using Prefixes = std::unordered_map<std::string_view, const Route *>;

    std::shared_ptr<const RouteTable> routes;
    std::unordered_map<std::string, Prefixes> hosts;
};

} // namespace hickoryshore
