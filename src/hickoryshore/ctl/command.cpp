#include "hickoryshore/ctl/command.h"

#include "hickoryshore/config/publication.h"
#include "hickoryshore/http/http_client.h"
#include "hickoryshore/keyvalue/key_value_client.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <numeric>

namespace hickoryshore {

namespace {

constexpr std::array<Command, 9> allCommands{{
    {"check",
     "DIR [--json]",
     "check declarations without publishing them",
     "Reads every .json file under DIR as one set and reports every fault with file, line, object and what is\n"
     "allowed. Needs no service.",
     1,
     1,
     runCheck},
    {"diff",
     "DIR --platform=IP:PORT [--json]",
     "show what applying would change",
     "Checks DIR and prints each object and field that differs from the configuration in force.",
     1,
     1,
     runDiff},
    {"apply",
     "DIR --platform=IP:PORT [--author=NAME] [--wait --vm=IP:PORT [--wait_limit_ms=N]] [--json]",
     "check and publish declarations",
     "Checks DIR, prints the differences and publishes them as the next revision. Objects that DIR does not\n"
     "declare are removed. With --wait, ends when every VM has the revision in force.",
     1,
     1,
     runApply},
    {"get",
     "[KIND [NAME]] --platform=IP:PORT [--json]",
     "print the configuration in force",
     "KIND is DataCentre, Policy, Caller or Index.",
     0,
     2,
     runGet},
    {"history",
     "--platform=IP:PORT [--limit=N] [--json]",
     "list the published revisions, newest first",
     "Each line gives the revision, its time, its author and its publish id.",
     0,
     0,
     runHistory},
    {"sweep",
     "--platform=IP:PORT [--keep=N] [--json]",
     "delete what old revisions left in the service",
     "Keeps the history and the chunks of the newest N revisions. Safe at any time, also beside other operators:\n"
     "a publication that it meets begins again by itself. apply sweeps by itself at every 64th revision.",
     0,
     0,
     runSweep},
    {"status",
     "--vm=IP:PORT [--json]",
     "list the VMs with their states and revisions",
     "Shows the fleet as the VM sees it that is asked.",
     0,
     0,
     runStatus},
    {"query",
     "INDEX QUERY --vm=IP:PORT [--caller=NAME] [--deadline_ms=N] [--request_id=ID] [--idempotent=false] [--json]",
     "send one query",
     "Asks the VM for the entry points and sends the query to the first one. Exits with 1 where the query was\n"
     "refused or failed.",
     2,
     2,
     runQuery},
    {"result-codes",
     "[--json]",
     "list the result codes",
     "Prints the number, name, execution, retry advice and meaning of each. Needs no service.",
     0,
     0,
     runResultCodes},
}};

const Command *findCommand(std::string_view name)
{
    const auto *const command = std::ranges::find(allCommands, name, &Command::name);
    return command == allCommands.end() ? nullptr : command;
}

ExitCode reportUnknownCommand(std::string_view name, std::ostream &err)
{
    std::vector<std::string_view> names;
    for (const Command &command : allCommands) {
        names.push_back(command.name);
    }
    err << "unknown command \"" << name << '"';
    const std::string_view nearest = nearestWord(name, names);
    if (!nearest.empty()) {
        err << ", did you mean \"" << nearest << "\"?";
    }
    err << "\nhickoryctl --help lists the commands\n";
    return ExitCode::Usage;
}

bool isAddress(std::string_view text)
{
    try {
        parseHostPort(text);
        return true;
    } catch (const std::invalid_argument &) {
        return false;
    }
}

/// The number of single-character edits that turn one word into the other.
std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= to.size(); ++j) {
            const std::size_t substitution = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

} // namespace

std::span<const Command> commands()
{
    return allCommands;
}

namespace {

/// Returns what is wrong with the numbers among the flags; empty where nothing is.
std::string_view numberFault(const CommandOptions &options)
{
    if (options.timeout < std::chrono::milliseconds(1)) {
        return "--timeout_ms must be at least 1";
    }
    if (options.deadline < Duration(0)) {
        return "--deadline_ms must be at least 1, or 0 for the policy's default";
    }
    if (options.waitLimit < Duration(0)) {
        return "--wait_limit_ms must be at least 0";
    }
    if (options.limit < 1) {
        return "--limit must be at least 1";
    }
    return {};
}

} // namespace

ExitCode runCommand(std::string_view name, const CommandCall &call)
{
    const Command *command = findCommand(name);
    if (command == nullptr) {
        return reportUnknownCommand(name, call.err);
    }
    const std::size_t count = call.arguments.size();
    if (count < command->leastArguments || count > command->mostArguments) {
        call.err << "usage: hickoryctl " << command->name << ' ' << command->synopsis << '\n';
        return ExitCode::Usage;
    }
    if (!isAddress(call.options.platform) || !isAddress(call.options.vm)) {
        call.err << "--platform and --vm take an address as in 127.0.0.1:8500\n";
        return ExitCode::Usage;
    }
    const std::string_view fault = numberFault(call.options);
    if (!fault.empty()) {
        call.err << fault << '\n';
        return ExitCode::Usage;
    }
    try {
        return command->run(call);
    } catch (const PlatformError &error) {
        call.err << error.what() << '\n';
        return ExitCode::Unavailable;
    } catch (const HttpError &error) {
        call.err << "the VM gave no answer: " << error.what() << '\n';
        return ExitCode::Unavailable;
    } catch (const std::exception &error) {
        call.err << error.what() << '\n';
        return ExitCode::Refused;
    }
}

void printHelp(std::string_view name, std::ostream &out)
{
    if (const Command *command = findCommand(name)) {
        out << "usage: hickoryctl " << command->name << ' ' << command->synopsis << "\n\n" << command->help << '\n';
        return;
    }
    out << "usage: hickoryctl COMMAND [ARGUMENTS] [FLAGS]\n\n";
    constexpr int nameWidth = 14;
    for (const Command &command : allCommands) {
        out << "  " << std::left << std::setw(nameWidth) << command.name << command.summary << '\n';
    }
    out << "\nhickoryctl COMMAND --help tells more. Exit codes: 0 done, 1 fault found or refused, 2 wrong command "
           "line,\n"
           "3 another change came first, 4 no answer, 5 not in force everywhere in time.\n";
}

std::string_view nearestWord(std::string_view word, std::span<const std::string_view> candidates)
{
    constexpr std::size_t mostEdits = 3;
    std::string_view nearest;
    std::size_t fewest = mostEdits + 1;
    for (const std::string_view candidate : candidates) {
        const std::size_t distance = editDistance(word, candidate);
        if (distance < fewest && distance < candidate.size()) {
            fewest = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace hickoryshore
