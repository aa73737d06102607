#include "declaration_reader.h"

#include <array>
#include <charconv>
#include <optional>

namespace hickoryshore {

namespace {

constexpr Range milliseconds{0, 600'000};
constexpr Range deadlineMilliseconds{1, 600'000};
constexpr Range share{0, 1};
constexpr Range percentile{0.5, 0.9999};
constexpr Range budget{0, 1};
constexpr Range queueLength{1, 100'000};
constexpr Range weight{0.01, 1000};
constexpr Range slots{1, 1024};
constexpr Range connections{1, 65'535};
constexpr int maxOctet = 255;
constexpr int maxPort = 65'535;
constexpr std::string_view addressRule = "an IP number and a port, as in 127.0.0.1:9000";
constexpr std::array<std::string_view, 2> routings{"owner", "direct"};

/// Removes a decimal number from the front of the text and returns it. Returns std::nullopt if there is no number, or
/// if it has a leading zero or exceeds `maximum`.
std::optional<int> consumeNumber(std::string_view &text, int maximum)
{
    int value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool leadingZero = text.size() > 1 && text.front() == '0' && end != text.data() + 1;
    if (failure != std::errc{} || value < 0 || value > maximum || leadingZero) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

bool consumeCharacter(std::string_view &text, char character)
{
    if (!text.starts_with(character)) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

bool isAddress(std::string_view text)
{
    for (const char separator : {'.', '.', '.', ':'}) {
        if (!consumeNumber(text, maxOctet).has_value() || !consumeCharacter(text, separator)) {
            return false;
        }
    }
    return consumeNumber(text, maxPort).value_or(0) > 0 && text.empty();
}

std::string elementPath(const std::string &path, std::size_t number)
{
    return path + '[' + std::to_string(number) + ']';
}

/// Calls `read` with each object in the array and its location; reports a fault for elements of another type.
template<typename Read>
void readElements(const JsonNode &array, const SourceLocation &arrayLocation, DeclarationSet &set, const Read &read)
{
    for (std::size_t number = 0; number < array.elements.size(); ++number) {
        const JsonNode &element = array.elements[number];
        SourceLocation location = arrayLocation;
        location.line = element.line;
        location.path = elementPath(arrayLocation.path, number);
        if (element.kind != JsonKind::Object) {
            set.faults.push_back(faultAt(location, "has the wrong type", std::string(jsonKindName(JsonKind::Object))));
            continue;
        }
        read(element, location);
    }
}

Replica readReplica(const JsonNode &node, const SourceLocation &location, const std::string &shard, DeclarationSet &set)
{
    ObjectReader reader(node, location, set.faults);
    Replica replica;
    replica.address.value = reader.text("address");
    replica.dataCentre.value = reader.name("dataCentre");
    replica.draining = reader.boolean("draining", false);
    reader.finish();
    if (!replica.address.value.empty() && !isAddress(replica.address.value)) {
        reader.report("address", '"' + replica.address.value + "\" is not an address", std::string(addressRule));
    }
    set.replicas.push_back({replica.address.value, shard, reader.locationOf("address")});
    set.references.push_back({ObjectKind::DataCentre, replica.dataCentre.value, reader.locationOf("dataCentre")});
    return replica;
}

/// `namesSoFar` holds the names of the index's shards read so far, to find duplicates.
Shard readShard(const JsonNode &node,
                const SourceLocation &location,
                const std::string &index,
                std::set<std::string> &namesSoFar,
                DeclarationSet &set)
{
    ObjectReader reader(node, location, set.faults);
    Shard shard;
    shard.name.value = index + '/' + reader.name("name");
    if (!namesSoFar.insert(shard.name.value).second) {
        reader.report("name", "the shard " + shard.name.value + " is declared twice");
    }
    if (const JsonNode *replicas = reader.requiredArray("replicas")) {
        readElements(
            *replicas, reader.locationOf("replicas"), set, [&](const JsonNode &element, const SourceLocation &at) {
                shard.replicas.push_back(readReplica(element, at, shard.name.value, set));
            });
    }
    reader.finish();
    return shard;
}

void readIndex(ObjectReader &reader, const std::string &name, DeclarationSet &set)
{
    Index index;
    index.name.value = name;
    index.policy.value = reader.name("policy");
    index.routing = reader.choice("routing", routings) == "direct" ? Routing::Direct : Routing::Owner;
    index.slotsPerReplica = reader.integer("slotsPerReplica", index.slotsPerReplica, slots);
    index.connectionsPerReplica = reader.integer("connectionsPerReplica", index.connectionsPerReplica, connections);
    index.connectionCost = reader.milliseconds("connectionCostMs", index.connectionCost, milliseconds);
    if (index.connectionsPerReplica < index.slotsPerReplica) {
        reader.report("connectionsPerReplica",
                      "is below slotsPerReplica, so that some slots could never be used",
                      "at least " + std::to_string(index.slotsPerReplica));
    }
    set.references.push_back({ObjectKind::Policy, index.policy.value, reader.locationOf("policy")});
    if (const JsonNode *shards = reader.requiredArray("shards")) {
        std::set<std::string> namesSoFar;
        readElements(*shards, reader.locationOf("shards"), set, [&](const JsonNode &element, const SourceLocation &at) {
            index.shards.push_back(readShard(element, at, name, namesSoFar, set));
        });
    }
    set.deployment.indexes.push_back(std::move(index));
}

void readPolicy(ObjectReader &reader, const std::string &name, DeclarationSet &set)
{
    Policy policy;
    policy.name.value = name;
    policy.defaultDeadline = reader.milliseconds("defaultDeadlineMs", policy.defaultDeadline, deadlineMilliseconds);
    policy.softDeadline = reader.milliseconds("answerByMs", policy.softDeadline, milliseconds);
    policy.minimumCoverage = reader.number("minimumCoverage", policy.minimumCoverage, share);
    policy.hedgePercentile = reader.number("hedgePercentile", policy.hedgePercentile, percentile);
    policy.hedgeBudget = reader.number("hedgeBudget", policy.hedgeBudget, budget);
    policy.retryBudget = reader.number("retryBudget", policy.retryBudget, budget);
    policy.maximumQueue = reader.integer("maximumQueue", policy.maximumQueue, queueLength);
    if (policy.softDeadline > policy.defaultDeadline) {
        reader.report("answerByMs",
                      "is after the default deadline, so that it would never be reached",
                      "0 to " + std::to_string(ceilMilliseconds(policy.defaultDeadline)));
    }
    set.deployment.policies.push_back(std::move(policy));
}

void readCaller(ObjectReader &reader, const std::string &name, DeclarationSet &set)
{
    const double callerWeight = reader.number("weight", Caller{}.weight, weight);
    set.deployment.callers.push_back({CallerId{name}, callerWeight});
}

void readDataCentre(ObjectReader &reader, const std::string &name, DeclarationSet &set)
{
    set.deployment.dataCentres.push_back({DataCentreId{name}, RegionId{reader.name("region")}});
}

struct KindReader
{
    ObjectKind kind;
    std::string_view name;
    void (*read)(ObjectReader &, const std::string &, DeclarationSet &);
};

constexpr std::array<KindReader, 4> kindReaders{{
    {ObjectKind::DataCentre, "DataCentre", readDataCentre},
    {ObjectKind::Policy, "Policy", readPolicy},
    {ObjectKind::Caller, "Caller", readCaller},
    {ObjectKind::Index, "Index", readIndex},
}};

const KindReader *findKindReader(std::string_view name)
{
    for (const KindReader &candidate : kindReaders) {
        if (candidate.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

std::string textMember(const JsonNode &object, std::string_view key)
{
    for (const JsonMember &member : object.members) {
        if (member.key == key) {
            return member.value.text;
        }
    }
    return {};
}

void readObject(const JsonNode &node, SourceLocation location, DeclarationSet &set)
{
    const std::string kindName = textMember(node, "kind");
    const KindReader *kindReader = findKindReader(kindName);
    if (kindReader == nullptr) {
        ObjectReader reader(node, location, set.faults);
        reader.report("kind",
                      kindName.empty() ? "is missing" : '"' + kindName + "\" is unknown",
                      "DataCentre, Policy, Caller, Index");
        return;
    }
    location.object = kindName + ' ' + textMember(node, "name");
    location.path.clear();
    ObjectReader reader(node, location, set.faults);
    reader.text("kind");
    const std::string name = reader.name("name");
    set.declared.push_back({kindReader->kind, name, reader.locationOf("name")});
    kindReader->read(reader, name, set);
    reader.finish();
}

} // namespace

std::string_view objectKindName(ObjectKind kind)
{
    return kindReaders.at(static_cast<std::size_t>(kind)).name;
}

void readDeclarationFile(const DeclarationFile &file, DeclarationSet &set)
{
    SourceLocation location{std::string(file.fileName), 0, {}, {}};
    try {
        const JsonNode root = parseJsonDocument(file.text);
        location.line = root.line;
        if (root.kind == JsonKind::Array) {
            readElements(root, location, set, [&set](const JsonNode &element, const SourceLocation &at) {
                readObject(element, at, set);
            });
        } else if (root.kind == JsonKind::Object) {
            readObject(root, location, set);
        } else {
            set.faults.push_back(faultAt(location, "has the wrong type", "an object or an array of objects"));
        }
    } catch (const JsonSyntaxError &error) {
        location.line = error.line;
        set.faults.push_back(faultAt(location, error.what()));
    }
}

} // namespace hickoryshore
