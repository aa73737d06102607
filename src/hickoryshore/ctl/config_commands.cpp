#include "hickoryshore/clock/clock.h"
#include "hickoryshore/config/canonical_form.h"
#include "hickoryshore/ctl/declaration_folder.h"
#include "hickoryshore/ctl/publisher.h"
#include "hickoryshore/ctl/sweeper.h"
#include "hickoryshore/http/http_client.h"

#include "command_output.h"
#include "wait_in_force.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace hickoryshore {

namespace {

using Json = nlohmann::ordered_json;

/// So seldom does an apply sweep, and so little at once, that nobody waits for it.
constexpr std::uint64_t revisionsBetweenSweeps = 64;
constexpr std::size_t removedAfterApply = 256;

PlatformSettings platformSettingsOf(const CommandOptions &options)
{
    const HostPort target = parseHostPort(options.platform);
    return {.address = target.host, .port = target.port, .timeout = options.timeout};
}

std::string randomPublishId()
{
    std::random_device source;
    std::string id;
    for (int word = 0; word < 4; ++word) {
        const std::uint32_t bits = source();
        id += chunkHash(std::to_string(bits)).substr(0, 8);
    }
    return id;
}

/// What is in force, as far as a difference needs it.
struct InForce
{
    std::optional<CurrentHead> head;
    Deployment deployment;
};

InForce readInForce(const ConfigStore &store)
{
    InForce current;
    current.head = readCurrentHead(store);
    if (current.head.has_value()) {
        current.deployment = readDeployment(store, current.head->head);
    }
    return current;
}

Json countsOf(const Deployment &deployment)
{
    std::size_t shards = 0;
    std::size_t replicas = 0;
    for (const Index &index : deployment.indexes) {
        shards += index.shards.size();
        for (const Shard &shard : index.shards) {
            replicas += shard.replicas.size();
        }
    }
    return {{"dataCentres", deployment.dataCentres.size()},
            {"policies", deployment.policies.size()},
            {"callers", deployment.callers.size()},
            {"indexes", deployment.indexes.size()},
            {"shards", shards},
            {"replicas", replicas}};
}

std::string_view publishResultName(PublishResult result)
{
    switch (result) {
    case PublishResult::Applied:
        return "applied";
    case PublishResult::Unchanged:
        return "unchanged";
    case PublishResult::Conflict:
        return "conflict";
    case PublishResult::Unavailable:
        return "unavailable";
    case PublishResult::Unknown:
        return "unknown";
    }
    return "";
}

std::string publishSentence(const PublishOutcome &outcome, const std::string &publishId)
{
    const std::string revision = std::to_string(outcome.revision.value);
    switch (outcome.result) {
    case PublishResult::Applied:
        return "published as revision " + revision;
    case PublishResult::Unchanged:
        return "nothing to do: revision " + revision + " is the same";
    case PublishResult::Conflict:
        return "conflict: another change took revision " + revision
            + " first; nothing was changed. Look at the diff and apply again";
    case PublishResult::Unavailable:
        return "the platform's service gave no answer; nothing was changed";
    case PublishResult::Unknown:
        return "the reply was lost: the change may take effect as revision " + revision + ". Look for publish id "
            + publishId + " in the history";
    }
    return {};
}

ExitCode exitCodeOf(PublishResult result)
{
    switch (result) {
    case PublishResult::Applied:
    case PublishResult::Unchanged:
        return ExitCode::Ok;
    case PublishResult::Conflict:
        return ExitCode::Conflict;
    case PublishResult::Unavailable:
    case PublishResult::Unknown:
        break;
    }
    return ExitCode::Unavailable;
}

ExitCode finishApply(const PublishOutcome &outcome, const std::string &publishId, const CommandCall &call)
{
    ExitCode code = exitCodeOf(outcome.result);
    if (!call.options.json) {
        (code == ExitCode::Ok ? call.out : call.err) << publishSentence(outcome, publishId) << '\n';
    }
    const bool waited = code == ExitCode::Ok && call.options.wait;
    if (waited && !waitInForce(outcome.revision, call)) {
        code = ExitCode::NotInForce;
    }
    if (call.options.json) {
        Json report{{"result", publishResultName(outcome.result)},
                    {"revision", outcome.revision.value},
                    {"publishId", publishId}};
        if (waited) {
            report["inForceEverywhere"] = code == ExitCode::Ok;
        }
        printJson(report, call.out);
    }
    return code;
}

std::string_view sweepResultName(SweepResult result)
{
    switch (result) {
    case SweepResult::Done:
        return "done";
    case SweepResult::NothingToDo:
        return "nothingToDo";
    case SweepResult::Busy:
        return "busy";
    case SweepResult::Unavailable:
        return "unavailable";
    }
    return "";
}

std::string sweepSentence(const SweepOutcome &outcome)
{
    std::string counts = "deleted " + std::to_string(outcome.chunksRemoved) + " chunks and "
        + std::to_string(outcome.historyRemoved) + " history entries";
    switch (outcome.result) {
    case SweepResult::Done:
    case SweepResult::NothingToDo:
        return counts;
    case SweepResult::Busy:
        return "other changes kept coming first; nothing was deleted. Sweep again later";
    case SweepResult::Unavailable:
        return "the platform's service gave no answer; " + counts + " for certain. Sweep again later";
    }
    return {};
}

ExitCode exitCodeOf(SweepResult result)
{
    switch (result) {
    case SweepResult::Done:
    case SweepResult::NothingToDo:
        return ExitCode::Ok;
    case SweepResult::Busy:
        return ExitCode::Conflict;
    case SweepResult::Unavailable:
        break;
    }
    return ExitCode::Unavailable;
}

/// Sweeps now and then. How it ends is not told, since the next one makes up for it.
void sweepAfterApply(const ConfigStore &store, const PublishOutcome &outcome)
{
    const bool due = outcome.revision.value % revisionsBetweenSweeps == 0;
    if (outcome.result == PublishResult::Applied && due) {
        sweepConfiguration(store, {.maxRemovedKeys = removedAfterApply});
    }
}

bool matches(const Json &object, std::span<const std::string> arguments)
{
    return (arguments.empty() || object.at("kind") == arguments[0])
        && (arguments.size() < 2 || object.at("name") == arguments[1]);
}

/// Returns the heads from the newest on, as far as the service still has them.
std::vector<ConfigHead> readHistory(const ConfigStore &store, int limit)
{
    std::vector<ConfigHead> heads;
    const std::optional<CurrentHead> current = readCurrentHead(store);
    if (!current.has_value()) {
        return heads;
    }
    heads.push_back(current->head);
    std::uint64_t revision = current->head.revision.value;
    while (--revision > 0 && std::ssize(heads) < limit) {
        const std::optional<StoredValue> stored = store.get(configHistoryKey({revision}));
        if (!stored.has_value()) {
            break;
        }
        heads.push_back(parseConfigHead(stored->value));
    }
    return heads;
}

} // namespace

ExitCode runCheck(const CommandCall &call)
{
    const ParsedDeclarations parsed = readDeclarationFolder(call.arguments[0]);
    const Json counts = countsOf(parsed.deployment);
    if (!parsed.faults.empty()) {
        return printFaults(parsed.faults, call);
    }
    if (call.options.json) {
        printJson({{"faults", Json::array()}, {"objects", counts}}, call.out);
    } else {
        call.out << "no fault: " << counts["indexes"] << " indexes, " << counts["shards"] << " shards, "
                 << counts["replicas"] << " replicas\n";
    }
    return ExitCode::Ok;
}

ExitCode runDiff(const CommandCall &call)
{
    const ParsedDeclarations parsed = readDeclarationFolder(call.arguments[0]);
    if (!parsed.faults.empty()) {
        return printFaults(parsed.faults, call);
    }
    KeyValueClient client(platformSettingsOf(call.options));
    const InForce current = readInForce(configStoreOf(client));
    const std::vector<DeploymentChange> changes = diffDeployments(current.deployment, parsed.deployment);
    if (call.options.json) {
        printJson({{"revision", current.deployment.revision.value}, {"changes", changesAsJson(changes)}}, call.out);
    } else {
        printChanges(changes, call.out);
        call.out << changes.size() << " changes to revision " << current.deployment.revision.value << '\n';
    }
    return ExitCode::Ok;
}

ExitCode runApply(const CommandCall &call)
{
    const ParsedDeclarations parsed = readDeclarationFolder(call.arguments[0]);
    if (!parsed.faults.empty()) {
        return printFaults(parsed.faults, call);
    }
    KeyValueClient client(platformSettingsOf(call.options));
    const ConfigStore store = configStoreOf(client);
    const InForce current = readInForce(store);
    if (!call.options.json) {
        printChanges(diffDeployments(current.deployment, parsed.deployment), call.out);
    }
    const std::string publishId = randomPublishId();
    const PublicationRequest request{.publishId = {publishId}, .author = call.options.author, .time = wallNow()};
    const PublishOutcome outcome = publishDeployment(store, current.head, parsed.deployment, request);
    const ExitCode code = finishApply(outcome, publishId, call);
    sweepAfterApply(store, outcome);
    return code;
}

ExitCode runGet(const CommandCall &call)
{
    KeyValueClient client(platformSettingsOf(call.options));
    const InForce current = readInForce(configStoreOf(client));
    Json found = Json::array();
    for (const Json &object : canonicalObjects(current.deployment)) {
        if (matches(object, call.arguments)) {
            found.push_back(object);
        }
    }
    if (found.empty() && !call.arguments.empty()) {
        call.err << "revision " << current.deployment.revision.value << " has no such object\n";
        return ExitCode::Refused;
    }
    if (call.options.json) {
        printJson({{"revision", current.deployment.revision.value}, {"objects", std::move(found)}}, call.out);
    } else {
        call.out << "// Revision " << current.deployment.revision.value << '\n';
        printJson(found, call.out);
    }
    return ExitCode::Ok;
}

ExitCode runHistory(const CommandCall &call)
{
    KeyValueClient client(platformSettingsOf(call.options));
    const std::vector<ConfigHead> heads = readHistory(configStoreOf(client), call.options.limit);
    Json list = Json::array();
    for (const ConfigHead &head : heads) {
        if (!call.options.json) {
            call.out << head.revision.value << "  " << timeText(head.time) << "  " << head.author << "  "
                     << head.publishId.value << '\n';
        }
        list.push_back({{"revision", head.revision.value},
                        {"time", timeText(head.time)},
                        {"author", head.author},
                        {"publishId", head.publishId.value}});
    }
    if (call.options.json) {
        printJson({{"history", std::move(list)}}, call.out);
    }
    return ExitCode::Ok;
}

ExitCode runSweep(const CommandCall &call)
{
    if (call.options.keep < 1) {
        call.err << "--keep takes a number of at least 1\n";
        return ExitCode::Usage;
    }
    KeyValueClient client(platformSettingsOf(call.options));
    const SweepSettings settings{.keepRevisions = static_cast<std::uint64_t>(call.options.keep)};
    const SweepOutcome outcome = sweepConfiguration(configStoreOf(client), settings);
    const ExitCode code = exitCodeOf(outcome.result);
    if (call.options.json) {
        printJson({{"result", sweepResultName(outcome.result)},
                   {"chunksRemoved", outcome.chunksRemoved},
                   {"historyRemoved", outcome.historyRemoved}},
                  call.out);
    } else {
        (code == ExitCode::Ok ? call.out : call.err) << sweepSentence(outcome) << '\n';
    }
    return code;
}

} // namespace hickoryshore
