#include "hickoryshore/config/canonical_form.h"

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

using Json = nlohmann::ordered_json;

constexpr double microsecondsPerMillisecond = 1000;

double millisecondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
}

/// Returns the shard's name without the index prefix, as in declarations.
std::string localName(const Shard &shard)
{
    return shard.name.value.substr(shard.name.value.find('/') + 1);
}

} // namespace

Json canonicalForm(const DataCentre &dataCentre)
{
    return {{"kind", "DataCentre"}, {"name", dataCentre.name.value}, {"region", dataCentre.region.value}};
}

Json canonicalForm(const Policy &policy)
{
    return {{"kind", "Policy"},
            {"name", policy.name.value},
            {"defaultDeadlineMs", millisecondsOf(policy.defaultDeadline)},
            {"answerByMs", millisecondsOf(policy.softDeadline)},
            {"minimumCoverage", policy.minimumCoverage},
            {"hedgePercentile", policy.hedgePercentile},
            {"hedgeBudget", policy.hedgeBudget},
            {"retryBudget", policy.retryBudget},
            {"maximumQueue", policy.maximumQueue}};
}

Json canonicalForm(const Caller &caller)
{
    return {{"kind", "Caller"}, {"name", caller.name.value}, {"weight", caller.weight}};
}

Json canonicalForm(const Shard &shard)
{
    Json replicas = Json::array();
    for (const Replica &replica : shard.replicas) {
        Json object{{"address", replica.address.value}, {"dataCentre", replica.dataCentre.value}};
        if (replica.draining) {
            object["draining"] = true;
        }
        replicas.push_back(std::move(object));
    }
    return {{"name", localName(shard)}, {"replicas", std::move(replicas)}};
}

Json canonicalForm(const Index &index)
{
    Json shards = Json::array();
    for (const Shard &shard : index.shards) {
        shards.push_back(canonicalForm(shard));
    }
    return {{"kind", "Index"},
            {"name", index.name.value},
            {"policy", index.policy.value},
            {"routing", index.routing == Routing::Direct ? "direct" : "owner"},
            {"slotsPerReplica", index.slotsPerReplica},
            {"connectionsPerReplica", index.connectionsPerReplica},
            {"connectionCostMs", millisecondsOf(index.connectionCost)},
            {"shards", std::move(shards)}};
}

std::vector<Json> canonicalObjects(const Deployment &deployment)
{
    std::vector<Json> objects;
    const auto append = [&objects](const auto &declared) {
        for (const auto &object : declared) {
            objects.push_back(canonicalForm(object));
        }
    };
    append(deployment.callers);
    append(deployment.dataCentres);
    append(deployment.indexes);
    append(deployment.policies);
    return objects;
}

} // namespace hickoryshore
