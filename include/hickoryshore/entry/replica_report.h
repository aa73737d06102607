// Encodes reports on slow or failing replicas, which VMs exchange in single datagrams.
#pragma once

#include "hickoryshore/dispatch/endpoint_table.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// An observation with the registered name of its replica. The name is the same at all VMs; endpoint ids are not.
struct NamedObservation
{
    std::string replica;
    ReplicaObservation observation;
};

/// Maximum size of a report in bytes, so that it fits into a membership datagram.
inline constexpr std::size_t maxReportBytes = 1000;

/// Encodes the observations. Omits those that would exceed maxReportBytes.
std::string encodeReplicaReport(std::span<const NamedObservation> observations);

/// Decodes a report and leaves the endpoints unset. Returns std::nullopt if the report is malformed.
std::optional<std::vector<NamedObservation>> decodeReplicaReport(std::string_view bytes);

} // namespace hickoryshore
