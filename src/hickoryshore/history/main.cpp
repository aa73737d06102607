// hickoryshore-history-check FILE...: combines the history files of one run and checks them.
#include "hickoryshore/history/history_checker.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(int, drain_bound_ms, 5000, "how long a drained upstream may still get new work, in milliseconds");

namespace {

using namespace hickoryshore;

constexpr int exitClean = 0;
constexpr int exitViolations = 1;
constexpr int exitUnreadable = 2;

void readFile(const std::string &name, History &history)
{
    std::ifstream file(name);
    if (!file) {
        throw HistoryError("cannot be opened");
    }
    readHistory(file, history);
}

int report(const History &history, const std::vector<Violation> &violations)
{
    for (const Violation &violation : violations) {
        std::cout << violationKindName(violation.kind) << ": " << violation.subject << ": " << violation.detail << '\n';
    }
    std::cout << history.invocations.size() << " invocations, " << history.responses.size() << " responses, "
              << history.executions.size() << " executions, " << violations.size() << " violations\n";
    return violations.empty() ? exitClean : exitViolations;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("checks histories of a run: hickoryshore-history-check FILE...");
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    History history;
    for (std::size_t number = 1; number < arguments.size(); ++number) {
        try {
            readFile(arguments[number], history);
        } catch (const HistoryError &error) {
            std::cerr << arguments[number] << ": " << error.what() << '\n';
            return exitUnreadable;
        }
    }
    const HistoryLimits limits{.drainBound = std::chrono::milliseconds(absl::GetFlag(FLAGS_drain_bound_ms))};
    return report(history, checkHistory(history, limits));
}
