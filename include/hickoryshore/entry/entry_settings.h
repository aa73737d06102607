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

/// When a caller may retry if other VMs can serve it: its retry connects to one of them.
inline constexpr Duration retryAfterAtOtherVm = std::chrono::milliseconds(100);

/// Location, listen addresses and resource limits of the VM.
struct EntrySettings
{
    VmId vm;
    DataCentreId dataCentre;
    RegionId region;
    std::unordered_map<DataCentreId, RegionId> regions; ///< Region of each data centre.
    std::string address; ///< IP address.
    std::string callerListen; ///< "ip:port" for requests.
    std::string entryPointListen; ///< "ip:port" for requests for entry points.
    std::string readinessListen; ///< "ip:port" for readiness checks.
    std::string peerListen; ///< "ip:port" for other VMs.
    std::string metricsListen; ///< "ip:port" for counters and histograms.
    int membershipPort = 0; ///< UDP port.
    int capacity = 0; ///< CPU, in thousandths of a core.
    std::size_t memoryBytes = std::size_t{128} * 1024 * 1024; ///< Memory that the process may use.
    std::size_t maxSockets = 4096; ///< Sockets that the process may have open.
    std::vector<std::string> seeds; ///< IP addresses of some VMs. Unreachable ones are tolerated.
    Duration gracePeriod{std::chrono::seconds(6)}; ///< Time from SIGTERM until the process is killed.
    ExtraAttemptBudget extraAttempts;
    std::string logLevel = "info";
};

} // namespace hickoryshore
