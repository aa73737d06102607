// The settings of an entry VM that forwards HTTP requests.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/dispatch/endpoint_table.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// Where the VM is, where it listens, and the bounds that it keeps.
struct EntrySettings
{
    VmId vm;
    DataCentreId dataCentre;
    RegionId region;
    std::unordered_map<DataCentreId, RegionId> regions; ///< Of all data centres.
    std::string address; ///< IP number.
    std::string callerListen; ///< "ip:port" for requests.
    std::string entryPointListen; ///< "ip:port" for callers that ask for entry points.
    std::string readinessListen; ///< "ip:port" for readiness checks.
    std::string peerListen; ///< "ip:port" for other VMs.
    std::string metricsListen; ///< "ip:port" for counters and histograms.
    int membershipPort = 0; ///< UDP.
    int capacity = 0; ///< Processor, in thousandths of a core.
    std::size_t memoryBytes = std::size_t{128} * 1024 * 1024; ///< That the process may use.
    std::vector<std::string> seeds; ///< IP numbers of some VMs; those that are gone do no harm.
    Duration gracePeriod{std::chrono::seconds(6)}; ///< From the order to leave until the process is killed.
    RepeatBudget extraAttempts;
    std::string logLevel = "info";
};

} // namespace hickoryshore
