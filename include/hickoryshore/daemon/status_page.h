// What the daemon shows of itself: the status page and the gauges.
#pragma once

#include "hickoryshore/metrics/metrics.h"
#include "hickoryshore/traffic/routing_view.h"
#include "hickoryshore/traffic/traffic_loop.h"

#include <string>
#include <vector>

namespace hickoryshore {

/// Returns the body of GET /v1/status.
std::string formatStatus(const RoutingView &view);

/// Returns the values that are read when the metrics page is made.
std::vector<Gauge> gaugesOf(const TrafficLoop &traffic);

} // namespace hickoryshore
