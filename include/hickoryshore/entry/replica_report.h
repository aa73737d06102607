// What VMs tell each other of replicas, as bytes for one datagram.
#pragma once

#include "hickoryshore/dispatch/endpoint_table.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// An observation of a replica by the name under which all VMs know it; its endpoint is this VM's own.
struct NamedObservation
{
    std::string replica;
    ReplicaObservation observation;
};

/// No report is longer than this many bytes, so that it fits into a datagram of the membership.
inline constexpr std::size_t maxReportBytes = 1000;

/// Encodes the observations; those beyond maxReportBytes are left out.
std::string encodeReplicaReport(std::span<const NamedObservation> observations);

/// Decodes a report, without the endpoints; nothing where it is malformed.
std::optional<std::vector<NamedObservation>> decodeReplicaReport(std::string_view bytes);

} // namespace hickoryshore
