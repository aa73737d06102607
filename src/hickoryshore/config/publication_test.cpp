#include "hickoryshore/config/deployment_diff.h"
#include "hickoryshore/config/publication.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

Deployment deploymentOf(int shards, int replicasPerShard)
{
    Deployment deployment;
    deployment.dataCentres.push_back({{"lima-callao"}, {"lima"}});
    deployment.policies.push_back({.name = {"boards"}});
    deployment.callers.push_back({.name = {"dispatch"}});
    Index index{.name = {"tablero-vivo"}, .policy = {"boards"}};
    int number = 0;
    for (int shard = 0; shard < shards; ++shard) {
        Shard &added = index.shards.emplace_back();
        added.name.value = "tablero-vivo/" + std::to_string(shard);
        for (int replica = 0; replica < replicasPerShard; ++replica, ++number) {
            const std::string address
                = "127.100." + std::to_string(number / 250) + '.' + std::to_string(number % 250) + ":19100";
            added.replicas.push_back({{address}, {"lima-callao"}});
        }
    }
    deployment.indexes.push_back(std::move(index));
    return deployment;
}

PublicationRequest requestOf(const std::string &publishId)
{
    return {.publishId = {publishId}, .author = "ana", .time = {1}};
}

ChunkTexts textsOf(const std::vector<ConfigChunk> &chunks)
{
    ChunkTexts texts;
    for (const ConfigChunk &chunk : chunks) {
        texts[chunk.hash] = chunk.text;
    }
    return texts;
}

} // namespace

BOOST_AUTO_TEST_CASE(chunks_reassemble_into_the_same_deployment)
{
    Deployment deployment = deploymentOf(3, 2);
    deployment.policies[0].softDeadline = 120500us;
    deployment.indexes[0].shards[1].replicas[0].draining = true;
    deployment.indexes[0].routing = Routing::Direct;
    const PublicationPlan plan = planPublication(std::nullopt, deployment, requestOf("p1"));
    const ConfigHead head = parseConfigHead(formatConfigHead(plan.head));
    const Deployment reassembled = assembleDeployment(head, textsOf(plan.chunks));
    BOOST_TEST(reassembled.revision.value == 1U);
    BOOST_TEST(diffDeployments(deployment, reassembled).empty());
    BOOST_TEST((splitIntoChunks(reassembled).size() == plan.chunks.size()));
}

BOOST_AUTO_TEST_CASE(chunks_of_nine_thousand_replicas_are_within_the_size_limit)
{
    const Deployment deployment = deploymentOf(4650, 2);
    const PublicationPlan plan = planPublication(std::nullopt, deployment, requestOf("p1"));
    for (const ConfigChunk &chunk : plan.chunks) {
        BOOST_TEST(chunk.text.size() <= 1024U * 1024U);
    }
    BOOST_TEST(plan.chunks.size() == 3U + 19U);
    BOOST_TEST(assembleDeployment(plan.head, textsOf(plan.chunks)).indexes[0].shards.size() == 4650U);
}

BOOST_AUTO_TEST_CASE(a_change_of_one_shard_writes_one_chunk)
{
    Deployment deployment = deploymentOf(4650, 2);
    const PublicationPlan first = planPublication(std::nullopt, deployment, requestOf("p1"));
    deployment.indexes[0].shards[1000].replicas[1].draining = true;
    const PublicationPlan second = planPublication(first.head, deployment, requestOf("p2"));
    BOOST_TEST(second.chunks.size() == 1U);
    ChunkTexts texts = textsOf(first.chunks);
    texts.merge(textsOf(second.chunks));
    BOOST_TEST(assembleDeployment(second.head, texts).indexes[0].shards[1000].replicas[1].draining);
}

BOOST_AUTO_TEST_CASE(chunks_of_a_very_large_shard_are_within_the_size_limit)
{
    const Deployment deployment = deploymentOf(1, 20'000);
    const PublicationPlan plan = planPublication(std::nullopt, deployment, requestOf("p1"));
    for (const ConfigChunk &chunk : plan.chunks) {
        BOOST_TEST(chunk.text.size() <= 512U * 1024U);
    }
    BOOST_TEST(assembleDeployment(plan.head, textsOf(plan.chunks)).indexes[0].shards[0].replicas.size() == 20'000U);
}

BOOST_AUTO_TEST_CASE(only_changed_chunks_are_written)
{
    Deployment deployment = deploymentOf(3, 2);
    const PublicationPlan first = planPublication(std::nullopt, deployment, requestOf("p1"));
    BOOST_TEST(planPublication(first.head, deployment, requestOf("p2")).unchanged);
    deployment.policies[0].maximumQueue = 7;
    const PublicationPlan second = planPublication(first.head, deployment, requestOf("p2"));
    BOOST_TEST(!second.unchanged);
    BOOST_TEST(second.head.revision.value == 2U);
    BOOST_TEST(second.chunks.size() == 1U);
    BOOST_TEST(second.chunks[0].name == "Policy");
}

BOOST_AUTO_TEST_CASE(inconsistent_deployments_are_neither_published_nor_applied)
{
    Deployment deployment = deploymentOf(3, 2);
    const PublicationPlan plan = planPublication(std::nullopt, deployment, requestOf("p1"));
    deployment.indexes[0].policy.value = "none";
    BOOST_CHECK_THROW(planPublication(std::nullopt, deployment, requestOf("p2")), InconsistentDeployment);
    ChunkTexts texts = textsOf(plan.chunks);
    texts.begin()->second += ' ';
    BOOST_CHECK_THROW(assembleDeployment(plan.head, texts), InconsistentDeployment);
    texts.erase(texts.begin());
    BOOST_CHECK_THROW(assembleDeployment(plan.head, texts), InconsistentDeployment);
    ConfigHead withoutPolicies = plan.head;
    std::erase_if(withoutPolicies.chunks, [](const ChunkReference &chunk) {
        return chunk.name == "Policy";
    });
    BOOST_CHECK_THROW(assembleDeployment(withoutPolicies, textsOf(plan.chunks)), InconsistentDeployment);
    for (const char *wrong : {"", "{}", "[]", "{\"revision\":-1}", "{\"revision\":\"x\"}"}) {
        BOOST_CHECK_THROW(parseConfigHead(wrong), std::invalid_argument);
    }
}

BOOST_AUTO_TEST_CASE(a_vm_applies_only_higher_revisions_and_fetches_only_missing_chunks)
{
    const Deployment deployment = deploymentOf(3, 2);
    const PublicationPlan plan = planPublication(std::nullopt, deployment, requestOf("p1"));
    ChunkTexts localChunks = textsOf(plan.chunks);
    BOOST_TEST((decideHeadAction({1}, plan.head, localChunks).action == HeadDecision::Action::Ignore));
    BOOST_TEST((decideHeadAction({2}, plan.head, localChunks).action == HeadDecision::Action::Ignore));
    BOOST_TEST((decideHeadAction({0}, plan.head, localChunks).action == HeadDecision::Action::Apply));
    const std::string removed = localChunks.begin()->first;
    localChunks.erase(localChunks.begin());
    const HeadDecision decision = decideHeadAction({0}, plan.head, localChunks);
    BOOST_TEST((decision.action == HeadDecision::Action::Fetch));
    BOOST_TEST(decision.missing == std::vector<std::string>{removed}, boost::test_tools::per_element());
    localChunks["other"] = "x";
    pruneChunks(localChunks, plan.head);
    BOOST_TEST(!localChunks.contains("other"));
    BOOST_TEST(localChunks.size() == plan.chunks.size() - 1);
}

BOOST_AUTO_TEST_CASE(a_lost_reply_is_resolved_by_the_publish_id)
{
    Deployment deployment = deploymentOf(1, 1);
    const ConfigHead mine = planPublication(std::nullopt, deployment, requestOf("mine")).head;
    const ConfigHead others = planPublication(std::nullopt, deployment, requestOf("others")).head;
    BOOST_TEST((resolvePublication(mine, mine) == PublicationOutcome::Applied));
    BOOST_TEST((resolvePublication(others, mine) == PublicationOutcome::NotApplied));
    BOOST_TEST((resolvePublication({}, mine) == PublicationOutcome::Pending));
    ConfigHead later = mine;
    ConfigHead laterWithoutMine = others;
    for (int number = 0; number < 127; ++number) {
        deployment.policies[0].maximumQueue = 1 + number;
        later = planPublication(later, deployment, requestOf("p" + std::to_string(number))).head;
        laterWithoutMine = planPublication(laterWithoutMine, deployment, requestOf("p" + std::to_string(number))).head;
    }
    BOOST_TEST((resolvePublication(later, mine) == PublicationOutcome::Applied));
    BOOST_TEST((resolvePublication(laterWithoutMine, mine) == PublicationOutcome::NotApplied));
    later = planPublication(later, deployment, requestOf("last")).head;
    BOOST_TEST((resolvePublication(later, mine) == PublicationOutcome::NoLongerRecorded));
}

BOOST_AUTO_TEST_CASE(differences_by_object_and_field)
{
    const Deployment before = deploymentOf(2, 2);
    Deployment after = before;
    after.policies[0].maximumQueue = 7;
    after.callers.clear();
    after.policies.push_back({.name = {"ledgers"}});
    std::swap(after.indexes[0].shards[0], after.indexes[0].shards[1]);
    after.indexes[0].shards[0].replicas[0].draining = true;
    after.indexes[0].shards[1].replicas.pop_back();
    const std::vector<DeploymentChange> changes = diffDeployments(before, after);
    BOOST_TEST_REQUIRE(changes.size() == 5U);
    BOOST_TEST(changes[0].object == "Caller dispatch");
    BOOST_TEST((changes[0].kind == ChangeKind::Removed));
    BOOST_TEST(changes[1].path == "shards/0/replicas/127.100.0.1:19100");
    BOOST_TEST((changes[1].kind == ChangeKind::Removed));
    BOOST_TEST(changes[2].path == "shards/1/replicas/127.100.0.2:19100/draining");
    BOOST_TEST(changes[2].after == "true");
    BOOST_TEST(changes[3].object == "Policy boards");
    BOOST_TEST(changes[3].before == "256");
    BOOST_TEST(changes[3].after == "7");
    BOOST_TEST((changes[4].kind == ChangeKind::Added));
}
