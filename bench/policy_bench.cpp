// Runs services under policies and scenarios in virtual time and prints the results.
//
//     policy_bench --service=tablero-vivo --scenario=straggler --policy=all --seed=1 --json
#include "model/scenarios.h"

#include <exception>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, service, "tablero-vivo", "name of a service, or all");
ABSL_FLAG(std::string, scenario, "all", "name of a scenario, all, or tail-at-scale");
ABSL_FLAG(std::string, policy, "all", "name of a policy, or all");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of every random choice");
ABSL_FLAG(double, load, 0, "share of the capacity that a scenario's callers ask for together; 0 leaves it as it is");
ABSL_FLAG(int, extra_in_flight, 0, "attempts that a scheduler may have in flight beyond the slots of a replica");
ABSL_FLAG(double, hedge_percentile, 0.95, "share of the recent latencies after which a hedge is sent");
ABSL_FLAG(int, owner_silence_ms, 60, "time after which an entry VM turns from a silent owner to the next");
ABSL_FLAG(int, slot_grant_ms, 0, "split the slots of a replica between two owners, granted for this time; 0: not");
ABSL_FLAG(bool, whole_only, false, "give a query up at the first shard that is refused");
ABSL_FLAG(int, seconds, 12, "virtual seconds of arrivals, the first two are not counted");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");

namespace {

using namespace hickoryshore;
using namespace hickoryshore::bench;

constexpr std::string_view everything = "all";
constexpr std::string_view tailAtScale = "tail-at-scale";
constexpr Duration tailAtScaleDeadline = std::chrono::seconds(20);

bool selected(std::string_view wanted, std::string_view name)
{
    return wanted == everything || wanted == name;
}

std::vector<ServiceShape> chosenServices()
{
    const std::string wanted = absl::GetFlag(FLAGS_service);
    if (wanted != everything) {
        return {serviceShape(wanted)};
    }
    return {serviceShapes().begin(), serviceShapes().end()};
}

std::vector<Scenario> chosenScenarios()
{
    const std::string wanted = absl::GetFlag(FLAGS_scenario);
    if (wanted != everything) {
        return {scenario(wanted)};
    }
    return {scenarios().begin(), scenarios().end()};
}

/// Scales the loads of all callers so that their sum is `load`.
void scaleLoad(Scenario &scenario, double load)
{
    double sum = 0;
    for (const CallerLoad &caller : scenario.callers) {
        sum += caller.load;
    }
    for (CallerLoad &caller : scenario.callers) {
        caller.load *= load / sum;
    }
}

void runPolicies(RunSettings settings, std::vector<RunReport> &reports)
{
    const std::string wanted = absl::GetFlag(FLAGS_policy);
    settings.seed = absl::GetFlag(FLAGS_seed);
    if (absl::GetFlag(FLAGS_load) > 0) {
        scaleLoad(settings.scenario, absl::GetFlag(FLAGS_load));
    }
    settings.extraInFlight = absl::GetFlag(FLAGS_extra_in_flight);
    settings.hedgePercentile = absl::GetFlag(FLAGS_hedge_percentile);
    settings.slotGrantDuration = std::chrono::milliseconds(absl::GetFlag(FLAGS_slot_grant_ms));
    settings.abandonOnFirstFailure = absl::GetFlag(FLAGS_whole_only);
    settings.ownerTimeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_owner_silence_ms));
    settings.duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    for (const PolicyName &policy : policyNames()) {
        if (selected(wanted, policy.name)) {
            settings.policy = policy.kind;
            reports.push_back(BenchRun(settings).run());
        }
    }
}

std::vector<RunReport> runChosen()
{
    std::vector<RunReport> reports;
    if (absl::GetFlag(FLAGS_scenario) == tailAtScale) {
        RunSettings settings{.shape = tailAtScaleShape(), .scenario = tailAtScaleScenario()};
        settings.deadline = tailAtScaleDeadline;
        runPolicies(settings, reports);
        return reports;
    }
    for (const ServiceShape &shape : chosenServices()) {
        for (const Scenario &each : chosenScenarios()) {
            runPolicies({.shape = shape, .scenario = each}, reports);
        }
    }
    return reports;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Runs the policies against faults in virtual time.");
    absl::ParseCommandLine(argc, argv);
    try {
        const std::vector<RunReport> reports = runChosen();
        if (absl::GetFlag(FLAGS_json)) {
            printJson(std::cout, reports);
        } else {
            printTable(std::cout, reports);
        }
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
