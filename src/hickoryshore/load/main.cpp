// hickoryshore-load: sends queries to a running system in an open loop and checks every answer.
//
//     hickoryshore-load --entry=127.0.0.1:8080 --index=tablero-vivo --rate=200 --duration=30s
//
// Exit status: 0 if no answer was crossed or malformed, 1 if one was, 2 for wrong arguments.
#include "hickoryshore/load/load_run.h"

#include <exception>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>

ABSL_FLAG(std::string, entry, "", "ip:port of an entry VM, which tells the addresses to use");
ABSL_FLAG(std::string, index, "", "the index to query");
ABSL_FLAG(std::string, caller, "load", "name of the caller");
ABSL_FLAG(double, rate, 10, "queries a second");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(10), "length of the run, for instance 30s");
ABSL_FLAG(int, concurrency, 16, "queries under way at once");
ABSL_FLAG(int, deadline_ms, 150, "deadline of each query, in milliseconds");
ABSL_FLAG(double, non_idempotent_share, 0, "share of the queries that are not idempotent, 0 to 1");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the arrivals");
ABSL_FLAG(bool, json, false, "print JSON instead of text");
ABSL_FLAG(std::string, history, "", "file for the history of the run, one JSON line for each event");

namespace {

using namespace hickoryshore;

constexpr int exitAnswerFault = 1;
constexpr int exitWrongArguments = 2;

LoadSettings settingsFromFlags()
{
    LoadSettings settings;
    settings.entry = absl::GetFlag(FLAGS_entry);
    settings.index = {absl::GetFlag(FLAGS_index)};
    settings.caller = {absl::GetFlag(FLAGS_caller)};
    settings.rate = absl::GetFlag(FLAGS_rate);
    settings.duration = Duration(absl::ToInt64Microseconds(absl::GetFlag(FLAGS_duration)));
    settings.concurrency = absl::GetFlag(FLAGS_concurrency);
    settings.deadline = std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms));
    settings.nonIdempotentShare = absl::GetFlag(FLAGS_non_idempotent_share);
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.historyFile = absl::GetFlag(FLAGS_history);
    checkLoadSettings(settings);
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Sends queries in an open loop and checks every answer.");
    absl::ParseCommandLine(argc, argv);
    try {
        const LoadReport report = runLoad(settingsFromFlags());
        if (absl::GetFlag(FLAGS_json)) {
            printLoadJson(std::cout, report);
        } else {
            printLoadTable(std::cout, report);
        }
        return report.crossed + report.malformed == 0 ? 0 : exitAnswerFault;
    } catch (const std::exception &error) {
        std::cerr << "hickoryshore-load: " << error.what() << '\n';
        return exitWrongArguments;
    }
}
