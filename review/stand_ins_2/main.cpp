// Plays one case of the review: VMs as processes, stand-ins for the store, the replicas and the clients in this
// process. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
#include "callers.h"
#include "fleet.h"
#include "record.h"
#include "replica.h"
#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <sstream>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace review {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
constexpr std::size_t largestValue = 1048576; ///< `value_bytes` of the settings.
constexpr std::chrono::milliseconds configApplyTime = 3000ms;
constexpr std::chrono::seconds recoverTime = 12s;
constexpr int percentPerWhole = 100;
const std::string host = "board.example";

/// What a case is given.
struct Case
{
    std::vector<std::string> command;
    std::string folder; ///< Temporary.
    std::string subnet;
    bool trouble = true;
    Record &record;

    std::string address(int group, int number, int port) const
    {
        return this->subnet + "." + std::to_string(group) + "." + std::to_string(number) + ":" + std::to_string(port);
    }

    std::string storeAddress() const
    {
        return this->address(3, 1, 18300);
    }

    std::string replicaAddress(int number) const
    {
        return this->address(2, number, 18200);
    }
};

Json route(const std::string &name, const std::string &service, bool idempotent)
{
    return {{"name", "r-" + name},
            {"host", host},
            {"prefix", "/" + name + "/"},
            {"kind", idempotent ? "idempotent" : "non_idempotent"},
            {"timeout_ms", 1000},
            {"target_latency_ms", 300},
            {"priority", 2},
            {"attempts", 2},
            {"service", service}};
}

std::string configuration(std::uint64_t version, const Json &routes, const std::vector<std::string> &services)
{
    Json text = {{"version", version},
                 {"routes", routes},
                 {"services", Json::array()},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 262144},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}}};
    for (const std::string &service : services) {
        text["services"].push_back({{"name", service}, {"max_connections", 248}});
    }
    return text.dump();
}

/// Starts all VMs and waits until clients get answers.
bool startAll(Fleet &fleet, Record &record)
{
    for (int vm = 0; vm < fleet.size(); ++vm) {
        fleet.start(vm);
    }
    for (int tries = 0; tries < 100; ++tries) {
        std::this_thread::sleep_for(100ms);
        const std::vector<Call> calls = record.calls();
        if (calls.size() > 100 && std::ranges::all_of(calls.end() - 50, calls.end(), [](const Call &call) {
                return call.status == 200;
            })) {
            record.note("all VMs run and clients get answers");
            return true;
        }
    }
    return false;
}

/// Returns the share of these calls that were answered with success, in percent, and their number.
std::pair<int, int> servedPercent(const std::vector<Call> &calls, Instant from, Instant until)
{
    int sent = 0;
    int served = 0;
    for (const Call &call : calls) {
        if (call.sentAt >= from && call.sentAt < until) {
            ++sent;
            served += call.status == 200 ? 1 : 0;
        }
    }
    return {sent == 0 ? 0 : served * percentPerWhole / sent, sent};
}

/// Returns those calls that went to routes of this prefix.
std::vector<Call> callsTo(const std::string &prefix, const std::vector<Call> &calls)
{
    std::vector<Call> found;
    std::ranges::copy_if(calls, std::back_inserter(found), [&prefix](const Call &call) {
        return call.path == prefix;
    });
    return found;
}

/// Compares the shares that were served on the first route and on the one that was added later.
int judgeRoutes(Record &record, Instant from, Instant until)
{
    constexpr int leastRequests = 20;
    constexpr int leastShare = 4; ///< A quarter.
    const auto [first, sentToFirst] = servedPercent(callsTo("/stops/", record.calls()), from, until);
    const auto [later, sentToLater] = servedPercent(callsTo("/later/", record.calls()), from, until);
    record.note(std::to_string(first) + " % of " + std::to_string(sentToFirst)
                + " requests on the first route were served that were sent later than config_apply_ms after that");
    record.note(std::to_string(later) + " % of " + std::to_string(sentToLater)
                + " requests on the route that was added were served, sent in the same time");
    if (sentToLater < leastRequests || first == 0) {
        return exitNotRun;
    }
    return later * leastShare < first ? exitBroken : exitHeld;
}

/// Another writer writes entries that can't be read; then a service starts, and a route to it is added.
int playUnreadableEntries(Case &given)
{
    constexpr int entryCount = 7;
    Record &record = given.record;
    Store store(given.storeAddress(), {});
    Replica first(given.replicaAddress(1), "stops", "i-1", record);
    Replica second(given.replicaAddress(2), "stops", "i-2", record);
    Json routes = Json::array({route("stops", "stops", true)});
    store.write({{"op/config", configuration(7, routes, {"stops", "later"})},
                 {"servers/i-1", first.entry("ready")},
                 {"servers/i-2", second.entry("ready")}});
    Fleet fleet({.command = given.command,
                 .folder = given.folder,
                 .storeAddress = given.storeAddress(),
                 .subnet = given.subnet,
                 .vms = 4,
                 .zones = 2});
    std::optional<Callers> callers(std::in_place, fleet, CallerSettings{.paths = {"/stops/"}, .host = host}, record);
    if (!startAll(fleet, record)) {
        return exitNotRun;
    }
    std::this_thread::sleep_for(6s);
    if (given.trouble) {
        std::map<std::string, std::optional<std::string>> entries;
        for (int number = 1; number <= entryCount; ++number) {
            entries["servers/other-" + std::to_string(number)] = std::string(largestValue, '\xff');
        }
        store.write(entries);
        record.note("another writer wrote 7 entries that can't be read, of value_bytes each");
    }
    std::this_thread::sleep_for(1s);
    Replica third(given.replicaAddress(3), "later", "i-3", record);
    Replica fourth(given.replicaAddress(4), "later", "i-4", record);
    store.write({{"servers/i-3", third.entry("ready")}, {"servers/i-4", fourth.entry("ready")}});
    std::this_thread::sleep_for(2s);
    routes.push_back(route("later", "later", true));
    const Instant acknowledged = store.write({{"op/config", configuration(11, routes, {"stops", "later"})}});
    record.note("i-3 and i-4 have been ready for 2 s; the store accepted a version that adds a route to their service");
    callers.emplace(fleet, CallerSettings{.paths = {"/stops/", "/later/"}, .host = host, .idPrefix = "d"}, record);
    std::this_thread::sleep_for(configApplyTime + 10s);
    const Instant end = Clock::now();
    callers->stop();
    return judgeRoutes(record, acknowledged + configApplyTime, end);
}

/// Kills processes that use more memory than the settings allow and starts them again, as the platform does.
class MemoryLimit
{
public:
    MemoryLimit(Fleet &fleet, int megabytes, Record &record)
        : fleet(fleet), megabytes(megabytes), record(record), ends(static_cast<std::size_t>(fleet.size()), 0)
    { }

    /// Looks at all processes for some time.
    void watchFor(std::chrono::milliseconds time)
    {
        const Instant until = Clock::now() + time;
        while (Clock::now() < until) {
            for (int vm = 0; vm < this->fleet.size(); ++vm) {
                this->check(vm);
            }
            std::this_thread::sleep_for(std::min<Clock::duration>(20ms, until - Clock::now()));
        }
    }

    /// Returns on how many VMs the process has ended at least so often.
    int vmsThatEnded(int times) const
    {
        return static_cast<int>(std::ranges::count_if(this->ends, [times](int each) {
            return each >= times;
        }));
    }

    double largest() const
    {
        return this->largestMegabytes;
    }

private:
    void check(int vm)
    {
        const double used = this->fleet.memoryMegabytes(vm);
        this->largestMegabytes = std::max(this->largestMegabytes, used);
        if (used <= this->megabytes && this->fleet.isRunning(vm)) {
            return;
        }
        ++this->ends[static_cast<std::size_t>(vm)];
        this->record.note("VM " + std::to_string(vm + 1) + " ended: it used " + std::to_string(used) + " MB of "
                          + std::to_string(this->megabytes));
        this->fleet.kill(vm);
        this->fleet.start(vm);
    }

    Fleet &fleet;
    int megabytes;
    Record &record;
    std::vector<int> ends;
    double largestMegabytes = 0;
};

/// So often a process has to end by itself, on two VMs at least.
constexpr int endsThatCount = 3;

int judgeEnds(Record &record, const MemoryLimit &limit)
{
    const int vms = limit.vmsThatEnded(endsThatCount);
    record.note(std::to_string(limit.vmsThatEnded(1)) + " VMs ended by themselves, " + std::to_string(vms)
                + " of them three times or more");
    return vms >= 2 ? exitBroken : exitHeld;
}

/// The configuration grows by many routes and then changes often.
int playConfigurations(Case &given)
{
    constexpr int memoryMegabytes = 112;
    constexpr int moreRoutes = 1400;
    constexpr int changesPerStorm = 25;
    constexpr int mostStorms = 58;
    Record &record = given.record;
    Store store(given.storeAddress(), {});
    Replica first(given.replicaAddress(1), "model-card", "i-1", record);
    Replica second(given.replicaAddress(2), "model-card", "i-2", record);
    Json routes = Json::array({route("model-fetch", "model-card", true)});
    std::uint64_t version = 7;
    store.write({{"op/config", configuration(version, routes, {"model-card"})},
                 {"servers/i-1", first.entry("ready")},
                 {"servers/i-2", second.entry("ready")}});
    Fleet fleet({.command = given.command,
                 .folder = given.folder,
                 .storeAddress = given.storeAddress(),
                 .subnet = given.subnet,
                 .memoryMegabytes = memoryMegabytes});
    Callers callers(fleet, {.paths = {"/model-fetch/"}, .host = host}, record);
    if (!startAll(fleet, record)) {
        return exitNotRun;
    }
    const Instant changedFrom = Clock::now();
    MemoryLimit limit(fleet, memoryMegabytes, record);
    if (given.trouble) {
        for (int number = 0; number < moreRoutes; ++number) {
            routes.push_back(route("more-" + std::to_string(number), "model-card", true));
        }
    }
    std::string text;
    for (int storm = 0; storm < mostStorms && limit.vmsThatEnded(endsThatCount) < 2; ++storm) {
        for (int change = 0; change < changesPerStorm; ++change) {
            if (given.trouble) {
                routes[0]["timeout_ms"] = 1000 + change;
                text = configuration(version += 3, routes, {"model-card"});
                store.write({{"op/config", text}});
            }
            limit.watchFor(60ms);
        }
        limit.watchFor(200ms);
    }
    const Instant end = Clock::now();
    callers.stop();
    record.note("version " + std::to_string(version) + " was the last one, with " + std::to_string(text.size())
                + " bytes; most memory used: " + std::to_string(limit.largest()) + " MB");
    const auto [served, sent] = servedPercent(record.calls(), changedFrom, end);
    record.note(std::to_string(served) + " % of " + std::to_string(sent) + " requests were served");
    return judgeEnds(record, limit);
}

/// Compares the shares that were served in two spans: before the final fault, and from recover_s after it on.
int judgeRecovery(Record &record, std::pair<Instant, Instant> before, std::pair<Instant, Instant> after)
{
    constexpr int quarter = 25; ///< Percent.
    const auto [servedBefore, sentBefore] = servedPercent(record.calls(), before.first, before.second);
    const auto [served, sent] = servedPercent(record.calls(), after.first, after.second);
    record.note(std::to_string(servedBefore) + " % of " + std::to_string(sentBefore) + " requests were served before");
    record.note(std::to_string(served) + " % of " + std::to_string(sent)
                + " requests were served that were sent later than recover_s after all were back");
    if (servedBefore < quarter || sent == 0) {
        return exitNotRun;
    }
    return served < quarter ? exitBroken : exitHeld;
}

/// Another writer writes an entry that can't be read, then all processes are killed at the end of the day.
int playFinalFault(Case &given)
{
    constexpr int memoryMegabytes = 182;
    Record &record = given.record;
    Store store(given.storeAddress(), {});
    Replica first(given.replicaAddress(1), "stops", "i-1", record);
    Replica second(given.replicaAddress(2), "stops", "i-2", record);
    store.write({{"op/config", configuration(7, Json::array({route("stops", "stops", true)}), {"stops"})},
                 {"servers/i-1", first.entry("ready")},
                 {"servers/i-2", second.entry("ready")}});
    Fleet fleet({.command = given.command,
                 .folder = given.folder,
                 .storeAddress = given.storeAddress(),
                 .subnet = given.subnet,
                 .vms = 4,
                 .zones = 2,
                 .memoryMegabytes = memoryMegabytes});
    Callers callers(fleet, {.paths = {"/stops/"}, .host = host}, record);
    if (!startAll(fleet, record)) {
        return exitNotRun;
    }
    if (given.trouble) {
        store.write({{"servers/callao&ate-1", std::string(largestValue, '\xff')}});
        record.note("another writer wrote an entry that can't be read, of value_bytes");
    }
    const Instant before = Clock::now();
    std::this_thread::sleep_for(6s);
    const Instant killed = Clock::now();
    for (int vm = 0; vm < fleet.size(); ++vm) {
        fleet.kill(vm);
    }
    std::this_thread::sleep_for(700ms);
    for (int vm = 0; vm < fleet.size(); ++vm) {
        fleet.start(vm);
    }
    const Instant back = Clock::now();
    record.note("all processes were killed and have been started again");
    MemoryLimit limit(fleet, memoryMegabytes, record);
    limit.watchFor(recoverTime + 15s);
    const Instant end = Clock::now();
    callers.stop();
    record.note(std::to_string(limit.vmsThatEnded(1))
                + " VMs ended by themselves; most memory used: " + std::to_string(limit.largest()) + " MB");
    return judgeRecovery(record, {before, killed}, {back + recoverTime, end});
}

} // namespace

int play(const std::string &name, Case &given)
{
    if (name == "6") {
        return playFinalFault(given);
    }
    if (name == "7") {
        return playConfigurations(given);
    }
    if (name == "8") {
        return playUnreadableEntries(given);
    }
    return exitNotRun;
}

} // namespace review

/// Arguments: the case, its folder, a temporary folder, and the command of the deploy file.
int main(int count, char **arguments)
{
    using namespace review;
    if (count < 5) {
        return exitNotRun;
    }
    const std::vector<std::string> words(arguments + 1, arguments + count);
    Record record(words[1] + "/record.txt");
    const char *trouble = std::getenv("TROUBLE");
    // Loopback addresses of its own, so that two runs don't meet.
    const std::string subnet = "127." + std::to_string(100 + getpid() % 100);
    Case given{.command = {words.begin() + 3, words.end()},
               .folder = words[2],
               .subnet = subnet,
               .trouble = trouble == nullptr || std::string(trouble) != "0",
               .record = record};
    int result = exitNotRun;
    try {
        result = play(words[0], given);
    } catch (const std::exception &error) {
        record.note(std::string("the case couldn't run: ") + error.what());
    }
    record.note(result == exitBroken ? "the rule was broken" : (result == exitHeld ? "the rule held" : "not run"));
    record.writeAll();
    return result;
}
