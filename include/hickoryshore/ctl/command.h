// The commands of hickoryctl, apart from the program that parses its flags.
#pragma once

#include "hickoryshore/base/time.h"

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// The exit status of hickoryctl, for scripts.
enum class ExitCode : int {
    Ok = 0,
    Refused = 1, ///< A fault was found, or a request was refused.
    Usage = 2, ///< The command line is wrong.
    Conflict = 3, ///< Another operator's change came first.
    Unavailable = 4, ///< The platform's service or the VM gave no answer.
    NotInForce = 5, ///< Published, but not in force at every VM within the time.
};

/// The values of all flags.
struct CommandOptions
{
    std::string platform; ///< "ip:port" of the platform's service.
    std::string vm; ///< "ip:port" of any VM's HTTP interface.
    bool json = false;
    bool wait = false;
    Duration waitLimit{std::chrono::seconds(30)};
    Duration timeout{std::chrono::seconds(2)}; ///< Of one call.
    Duration deadline{0}; ///< Of a query; zero leaves it to the policy.
    int limit = 20; ///< Revisions that history shows.
    int keep = 128; ///< Newest revisions that a sweep leaves in the service.
    std::string author;
    std::string caller;
    std::string requestId;
    bool idempotent = true;
};

/// One call of a command: its flags, its arguments and where its output goes.
struct CommandCall
{
    CommandOptions options;
    std::vector<std::string> arguments;
    std::ostream &out;
    std::ostream &err;
};

struct Command
{
    std::string_view name;
    std::string_view synopsis; ///< Its arguments and flags.
    std::string_view summary; ///< One line.
    std::string_view help; ///< What it does, in full.
    std::size_t leastArguments = 0;
    std::size_t mostArguments = 0;
    ExitCode (*run)(const CommandCall &call) = nullptr;
};

/// Returns all commands in the order of the help.
std::span<const Command> commands();

/// Runs the command; errors become a sentence on `err` and an exit code.
ExitCode runCommand(std::string_view name, const CommandCall &call);

/// Prints the help of one command, or of the whole tool where the name is empty or unknown.
void printHelp(std::string_view name, std::ostream &out);

/// Returns the candidate that is nearest to a mistyped word, or nothing where none is near.
std::string_view nearestWord(std::string_view word, std::span<const std::string_view> candidates);

ExitCode runCheck(const CommandCall &call);
ExitCode runDiff(const CommandCall &call);
ExitCode runApply(const CommandCall &call);
ExitCode runGet(const CommandCall &call);
ExitCode runHistory(const CommandCall &call);
ExitCode runSweep(const CommandCall &call);
ExitCode runStatus(const CommandCall &call);
ExitCode runQuery(const CommandCall &call);
ExitCode runResultCodes(const CommandCall &call);

} // namespace hickoryshore
