// hickoryshored: the daemon of one entry VM.

#include "hickoryshore/daemon/daemon.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <iostream>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, settings, "", "Settings file, JSON with comments; docs/SETTINGS.md lists the keys");
ABSL_FLAG(bool, check_settings, false, "Check the settings file, print every fault, and exit");

namespace {

/// Exit statuses; docs/OPERATIONS.md lists them.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

constexpr std::string_view help = R"(usage: hickoryshored --settings=FILE [--check_settings]

  --settings=FILE   the settings, JSON with comments; docs/SETTINGS.md lists the keys
  --check_settings  print every fault of the settings and exit

Exit statuses: 0 left in order or no fault, 1 could not start, 2 wrong command line or faulty settings.
)";

/// Returns the first argument that is no flag of the daemon, or nothing. Abseil would end the process with a status of
/// its own.
std::optional<std::string_view> findUnknown(std::span<const std::string_view> arguments)
{
    for (std::size_t number = 0; number < arguments.size(); ++number) {
        const std::string_view argument = arguments[number];
        if (argument == "--settings" && number + 1 < arguments.size()) {
            ++number; // Its value.
        } else if (!argument.starts_with("--settings=") && argument != "--check_settings"
                   && argument != "--check_settings=true" && argument != "--check_settings=false") {
            return argument;
        }
    }
    return std::nullopt;
}

bool asksForHelp(std::string_view argument)
{
    return argument == "--help" || argument == "-h";
}

int runDaemon()
{
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        std::cerr << help;
        return exitBadSettings;
    }
    const hickoryshore::DaemonSettings settings = hickoryshore::readDaemonSettings(file);
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << file << ": no faults\n";
        return exitOk;
    }
    hickoryshore::startLogging(settings.vm.value, settings.dataCentre.value, settings.logLevel);
    hickoryshore::Daemon daemon(settings);
    return daemon.run();
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string_view> arguments(argv + 1, argv + argc);
    if (std::ranges::any_of(arguments, asksForHelp)) {
        std::cout << help;
        return exitOk;
    }
    if (const auto unknown = findUnknown(arguments)) {
        std::cerr << "unknown argument \"" << *unknown << "\"\n" << help;
        return exitBadSettings;
    }
    absl::ParseCommandLine(argc, argv);
    // A peer that closes a connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runDaemon();
    } catch (const hickoryshore::SettingsError &error) {
        std::cerr << error.what();
        return exitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "hickoryshored: " << error.what() << '\n';
        return exitFailed;
    }
}
