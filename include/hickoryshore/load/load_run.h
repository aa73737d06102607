// An open-loop run of the load generator: queries are sent at their planned times, whether or not others are answered.
#pragma once

#include "hickoryshore/load/load_report.h"
#include "hickoryshore/load/load_settings.h"

namespace hickoryshore {

/// Sends the queries of a run and returns when each has an outcome. The latency counts from the intended time, so
/// that a query that waits for a free connection counts its wait. Throws std::runtime_error where the history
/// cannot be written.
LoadReport runLoad(const LoadSettings &settings);

} // namespace hickoryshore
