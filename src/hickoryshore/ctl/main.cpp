// hickoryctl: the operators' tool.
#include "hickoryshore/ctl/command.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>

ABSL_FLAG(std::string, platform, "127.0.0.1:8500", "ip:port of the platform's service");
ABSL_FLAG(std::string, vm, "127.0.0.1:8080", "ip:port of any VM's HTTP interface");
ABSL_FLAG(bool, json, false, "print JSON for scripts");
ABSL_FLAG(bool, wait, false, "apply: wait until every VM has the revision in force");
ABSL_FLAG(int, wait_limit_ms, 30000, "apply --wait: longest wait");
ABSL_FLAG(int, timeout_ms, 2000, "longest wait for one answer");
ABSL_FLAG(int, deadline_ms, 0, "query: the deadline; zero leaves it to the policy");
ABSL_FLAG(int, limit, 20, "history: most revisions to list");
ABSL_FLAG(int, keep, 128, "sweep: newest revisions that stay in the service, at least 1");
ABSL_FLAG(std::string, author, "", "apply: who publishes; the user's name where it is left out");
ABSL_FLAG(std::string, caller, "hickoryctl", "query: the caller's name");
ABSL_FLAG(std::string, request_id, "", "query: the request id; random where it is left out");
ABSL_FLAG(bool, idempotent, true, "query: whether it may run more than once");

namespace {

using namespace hickoryshore;

constexpr std::array<std::string_view, 13> flagNames{"platform",
                                                     "vm",
                                                     "json",
                                                     "wait",
                                                     "wait_limit_ms",
                                                     "timeout_ms",
                                                     "deadline_ms",
                                                     "limit",
                                                     "keep",
                                                     "author",
                                                     "caller",
                                                     "request_id",
                                                     "idempotent"};

bool isFlag(std::string_view argument)
{
    return argument.starts_with("--");
}

/// An argument such as the text of a query may read "help", so that counts only in the place of the command.
bool asksForHelp(std::span<char *const> arguments)
{
    const bool isCommand = !arguments.empty() && std::string_view(arguments.front()) == "help";
    return isCommand || std::ranges::any_of(arguments, [](std::string_view argument) {
               return argument == "--help" || argument == "-h";
           });
}

/// The command that help is asked for; empty for the whole tool.
std::string_view commandOfHelp(std::span<char *const> arguments)
{
    const auto command = std::ranges::find_if_not(arguments, [](std::string_view argument) {
        return argument.starts_with("-") || argument == "help";
    });
    return command == arguments.end() ? std::string_view() : std::string_view(*command);
}

ExitCode help(std::string_view command)
{
    const bool isKnown = command.empty() || std::ranges::find(commands(), command, &Command::name) != commands().end();
    if (!isKnown) {
        // Says which command may be meant.
        return runCommand(command, {{}, {}, std::cout, std::cerr});
    }
    printHelp(command, std::cout);
    return ExitCode::Ok;
}

std::string_view flagName(std::string_view argument)
{
    const std::string_view name = argument.substr(2);
    return name.substr(0, name.find('='));
}

absl::CommandLineFlag *findFlag(std::string_view name)
{
    return absl::FindCommandLineFlag({name.data(), name.size()});
}

bool isKnown(std::string_view name)
{
    return name.empty() || findFlag(name) != nullptr || (name.starts_with("no") && findFlag(name.substr(2)) != nullptr);
}

void reportUnknownFlag(std::string_view argument)
{
    std::cerr << "unknown flag \"" << argument << '"';
    const std::string_view nearest = nearestWord(flagName(argument), flagNames);
    if (!nearest.empty()) {
        std::cerr << ", did you mean \"--" << nearest << "\"?";
    }
    std::cerr << '\n';
}

/// Returns whether the value of "--name=value" can be read; other forms are left to Abseil.
bool hasUsableValue(std::string_view argument)
{
    const std::size_t equals = argument.find('=');
    absl::CommandLineFlag *flag = findFlag(flagName(argument));
    if (equals == std::string_view::npos || flag == nullptr) {
        return true;
    }
    const std::string_view value = argument.substr(equals + 1);
    std::string problem;
    if (flag->ParseFrom({value.data(), value.size()}, &problem)) {
        return true;
    }
    std::cerr << problem << '\n';
    return false;
}

/// Abseil ends the process with its own status on a wrong flag, so these are looked for first.
bool areUsableFlags(std::span<char *const> arguments)
{
    for (const std::string_view argument : arguments) {
        if (!isFlag(argument)) {
            continue;
        }
        if (!isKnown(flagName(argument))) {
            reportUnknownFlag(argument);
            return false;
        }
        if (!hasUsableValue(argument)) {
            return false;
        }
    }
    return true;
}

CommandOptions optionsFromFlags()
{
    CommandOptions options;
    options.platform = absl::GetFlag(FLAGS_platform);
    options.vm = absl::GetFlag(FLAGS_vm);
    options.json = absl::GetFlag(FLAGS_json);
    options.wait = absl::GetFlag(FLAGS_wait);
    options.waitLimit = std::chrono::milliseconds(absl::GetFlag(FLAGS_wait_limit_ms));
    options.timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    options.deadline = std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms));
    options.limit = absl::GetFlag(FLAGS_limit);
    options.keep = absl::GetFlag(FLAGS_keep);
    options.author = absl::GetFlag(FLAGS_author);
    if (options.author.empty()) {
        const char *user = std::getenv("USER");
        options.author = user == nullptr ? "unknown" : user;
    }
    options.caller = absl::GetFlag(FLAGS_caller);
    options.requestId = absl::GetFlag(FLAGS_request_id);
    options.idempotent = absl::GetFlag(FLAGS_idempotent);
    return options;
}

ExitCode runTool(int argc, char **argv)
{
    const std::span<char *const> arguments(argv + 1, static_cast<std::size_t>(argc - 1));
    if (asksForHelp(arguments)) {
        return help(commandOfHelp(arguments));
    }
    if (!areUsableFlags(arguments)) {
        return ExitCode::Usage;
    }
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    if (positional.size() < 2) {
        printHelp("", std::cerr);
        return ExitCode::Usage;
    }
    const CommandCall call{optionsFromFlags(), {positional.begin() + 2, positional.end()}, std::cout, std::cerr};
    return runCommand(positional[1], call);
}

} // namespace

int main(int argc, char **argv)
{
    return static_cast<int>(runTool(argc, argv));
}
