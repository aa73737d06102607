// How a VM divides its memory and its sockets between the addresses at which it listens.
#pragma once

#include "hickoryshore/entry/entry_settings.h"
#include "hickoryshore/httpserver/http_listener.h"
#include "hickoryshore/routes/route_table.h"

namespace hickoryshore {

/// A part of the VM's memory and of its sockets.
struct ClientShare
{
    double memory = 0; ///< 0 to 1.
    double sockets = 0; ///< 0 to 1.
};

/// What is left of the sockets is for replicas, the store and calls to other VMs.
inline constexpr ClientShare callerShare{.memory = 0.1875, .sockets = 0.375};
inline constexpr ClientShare peerShare{.memory = 0.1875, .sockets = 0.1875};
inline constexpr ClientShare entryPointShare{.memory = 0.015625, .sockets = 0.0625};
inline constexpr ClientShare readinessShare{.memory = 0.015625, .sockets = 0.015625};
/// Answers are long where many routes have histograms.
inline constexpr ClientShare metricsShare{.memory = 0.0625, .sockets = 0.015625};

/// Returns the bounds of callers for these limits. One request at the limits is always within them.
HttpListenerSettings callerBounds(const EntrySettings &settings, const CallerLimits &limits);

/// Returns the bounds of other VMs.
HttpListenerSettings peerBounds(const EntrySettings &settings);

/// Returns the bounds of clients whose requests have no body.
HttpListenerSettings bodilessBounds(const EntrySettings &settings, const ClientShare &share);

} // namespace hickoryshore
