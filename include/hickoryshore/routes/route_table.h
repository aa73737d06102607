// Maps a caller's HTTP request by host and path to the services that serve it, for one version of the configuration.
//
//     RouteIndex index(table);
//     const Route *route = index.find("boards.example", "/arrivals/17"); // nullptr if there is none
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// A service and its share of a route's requests.
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
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool idempotent = false; ///< Whether a request may run more than once.
    Duration timeout{std::chrono::seconds(1)}; ///< Time after which a request gets its final answer.
    Duration latencyObjective{std::chrono::milliseconds(100)}; ///< An answer within this time is of full use to the
                                                               ///< caller.
    int priority = 0; ///< 0 is the highest.
    int maximumAttempts = 1; ///< How many replicas may run a request, or each shard's part of it if there are shards.
    std::vector<ServiceShare> split; ///< Each request is sent to one of these. Empty if there are shards.
    std::vector<ServiceId> shards; ///< Each request is sent to all of these, and their answers are merged.
    std::size_t topRecords = 0; ///< If there are shards, how many of the greatest records form the answer.
    double minimumCoverage = 0.0; ///< If there are shards, the share of them, 0 to 1, below which an answer counts as a
                                  ///< failure.
};

/// Limits of a service.
struct ServiceLimits
{
    ServiceId service;
    int connectionsPerReplica = 60; ///< Connections that a replica accepts from all VMs together.
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{1024} * 1024;
    Duration headerTimeout{std::chrono::seconds(5)}; ///< From the first byte of a request until its header is complete.
    Duration idleTimeout{std::chrono::seconds(60)}; ///< How long a connection may stay open without a request.

    bool operator==(const CallerLimits &) const = default;
};

/// One version of the configuration.
struct RouteTable
{
    std::uint64_t version = 0; ///< Higher versions are newer; 0 means "none".
    std::vector<Route> routes;
    std::vector<ServiceLimits> services;
    CallerLimits callers;
};

/// Returns whether the requests of a route are sent to all of these services as shards; false if there is no route. A
/// VM that sends a request of another VM where its own configuration doesn't would show replicas two configurations.
bool gathersFrom(const Route *route, std::span<const ServiceId> services);

/// Finds routes by host and path. Shares ownership of the table.
class RouteIndex
{
public:
    explicit RouteIndex(std::shared_ptr<const RouteTable> table);

    /// Returns the route of the host with the longest prefix of the path, or nullptr if none matches. Ignores the case
    /// and the port of the host.
    const Route *find(std::string_view host, std::string_view path) const;

    const RouteTable &table() const;

private:
    using Prefixes = std::unordered_map<std::string_view, const Route *>;

    std::shared_ptr<const RouteTable> routes;
    std::unordered_map<std::string, Prefixes> hosts;
};

} // namespace hickoryshore
