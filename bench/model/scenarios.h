// The workloads and faults that the bench runs.
#pragma once

#include "model/bench_run.h"

#include <span>
#include <string_view>

namespace hickoryshore::bench {

/// Returns all scenarios. The first is "calm", which has no faults.
std::span<const Scenario> scenarios();

/// Returns the scenario with this name. Throws std::invalid_argument if there is none.
const Scenario &scenario(std::string_view name);

/// Returns a steady load without faults on 1,000 keys, for tailAtScaleShape().
Scenario tailAtScaleScenario();

} // namespace hickoryshore::bench
