// How a VM divides its memory between the addresses at which it listens.
#pragma once

#include "hickoryshore/entry/entry_settings.h"
#include "hickoryshore/httpserver/http_listener.h"
#include "hickoryshore/routes/route_table.h"

namespace hickoryshore {

/// Parts of the VM's memory, 0 to 1.
inline constexpr double callerMemoryShare = 0.1875;
inline constexpr double peerMemoryShare = 0.1875;
inline constexpr double entryPointMemoryShare = 0.015625;
inline constexpr double readinessMemoryShare = 0.015625;
/// Answers are long where many routes have histograms.
inline constexpr double metricsMemoryShare = 0.0625;

/// Returns the bounds of callers for these limits. One request at the limits is always within them.
HttpListenerSettings callerBounds(const EntrySettings &settings, const CallerLimits &limits);

/// Returns the bounds of other VMs.
HttpListenerSettings peerBounds(const EntrySettings &settings);

/// Returns the bounds of clients whose requests have no body.
HttpListenerSettings bodilessBounds(const EntrySettings &settings, double memoryShare);

} // namespace hickoryshore
