// How the commands print what they found: as text for people, as JSON for scripts.
#pragma once

#include "hickoryshore/config/deployment_diff.h"
#include "hickoryshore/config/publication.h"
#include "hickoryshore/ctl/command.h"

#include <nlohmann/json.hpp>

namespace hickoryshore {

/// Prints a JSON value, indented, with a line end.
void printJson(const nlohmann::ordered_json &value, std::ostream &out);

/// Prints all faults; returns Refused where there is any.
ExitCode printFaults(std::span<const DeclarationFault> faults, const CommandCall &call);

nlohmann::ordered_json changesAsJson(std::span<const DeploymentChange> changes);
void printChanges(std::span<const DeploymentChange> changes, std::ostream &out);

/// Returns a wall-clock time as "2026-01-31T12:00:00Z".
std::string timeText(WallTime time);

} // namespace hickoryshore
