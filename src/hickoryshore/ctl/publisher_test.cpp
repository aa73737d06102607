#include "hickoryshore/ctl/publisher.h"

#include "faulty_store.h"
#include "test_deployment.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

using namespace hickoryshore;

namespace {

struct Attempt
{
    PublishId publishId;
    PublishOutcome outcome;
};

/// A VM that reads heads and chunks from the same store, as ConfigService does: it decides again after the chunks came,
/// since it may have applied another head meanwhile.
struct Vm
{
    ConfigHead head;
    ChunkTexts held;
    std::vector<Revision> applied;

    void refresh(const ConfigStore &store)
    {
        const std::optional<CurrentHead> seen = readCurrentHead(store);
        if (!seen.has_value()) {
            return;
        }
        for (const std::string &hash : decideHeadAction(this->head.revision, seen->head, this->held).missing) {
            // Chunks are written before the head that names them.
            this->held[hash] = parseStoredChunk(store.get(configChunkKey(hash)).value().value);
        }
        if (decideHeadAction(this->head.revision, seen->head, this->held).action != HeadDecision::Action::Apply) {
            return;
        }
        const Deployment deployment = assembleDeployment(seen->head, this->held);
        this->applied.push_back(deployment.revision);
        this->head = seen->head;
        pruneChunks(this->held, this->head);
    }
};

struct World
{
    FaultyStore store;
    std::vector<Attempt> attempts;
    Vm vm;
    int depth = 0;
    int remaining = 12;

    void publishOnce()
    {
        --this->remaining;
        const ConfigStore hooks = this->store.hooks();
        const PublishId publishId{"p" + std::to_string(this->remaining)};
        try {
            const std::optional<CurrentHead> base = readCurrentHead(hooks);
            const Deployment deployment = deploymentWithQueue(*rc::gen::inRange(1, 1000));
            const PublicationRequest request{.publishId = publishId, .author = "ana", .time = {}};
            this->attempts.push_back({publishId, publishDeployment(hooks, base, deployment, request)});
        } catch (const PlatformError &) {
            this->attempts.push_back({publishId, {PublishResult::Unavailable, {}}});
        }
    }

    /// Lets another publisher or the VM run in the middle of a call.
    void interleave()
    {
        if (this->depth >= 3 || this->remaining <= 0) {
            return;
        }
        ++this->depth;
        const int choice = *rc::gen::inRange(0, 6);
        try {
            if (choice == 0) {
                this->publishOnce();
            } else if (choice == 1) {
                this->vm.refresh(this->store.hooks());
            }
        } catch (const PlatformError &) {
            // The VM tries again some other time.
        }
        --this->depth;
    }
};

void checkOutcomes(const World &world)
{
    const std::vector<ConfigHead> heads = world.store.allHeads();
    for (std::size_t number = 0; number < heads.size(); ++number) {
        RC_ASSERT(heads[number].revision.value == number + 1);
    }
    RC_ASSERT(std::ranges::adjacent_find(world.vm.applied, std::ranges::greater_equal{}) == world.vm.applied.end());
    for (const Attempt &attempt : world.attempts) {
        const auto wins = std::ranges::count(heads, attempt.publishId, &ConfigHead::publishId);
        RC_ASSERT(wins <= 1);
        switch (attempt.outcome.result) {
        case PublishResult::Applied:
            RC_ASSERT(wins == 1);
            RC_ASSERT(heads.at(attempt.outcome.revision.value - 1).publishId == attempt.publishId);
            break;
        case PublishResult::Conflict:
        case PublishResult::Unavailable:
        case PublishResult::Unchanged:
            RC_ASSERT(wins == 0);
            break;
        case PublishResult::Unknown:
            break;
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(racing_publishers_lost_replies_and_stale_reads)
{
    const bool held = rc::check([] {
        World world;
        world.store.random = [](int end) {
            return *rc::gen::inRange(0, end);
        };
        world.store.beforeCall = [&world] {
            world.interleave();
        };
        while (world.remaining > 0) {
            world.publishOnce();
        }
        world.store.applyDelayed();
        checkOutcomes(world);
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(history_has_no_gaps_and_an_equal_deployment_is_not_published)
{
    std::map<std::string, StoredValue, std::less<>> values;
    bool loseNextHistory = false;
    const ConfigStore store{.get =
                                [&](std::string_view key) {
                                    const auto found = values.find(key);
                                    return found == values.end() ? std::nullopt : std::optional(found->second);
                                },
                            .compareAndSwap =
                                [&](std::string_view key, std::string_view value, std::uint64_t index) {
                                    if (loseNextHistory && key == configHistoryKey({1})) {
                                        return WriteResult::Unknown;
                                    }
                                    StoredValue &stored = values[std::string(key)];
                                    if (stored.modifyIndex != index) {
                                        return WriteResult::Conflict;
                                    }
                                    stored = {std::string(value), index + 1};
                                    return WriteResult::Applied;
                                },
                            .remove = {},
                            .listKeys = {},
                            .pause = [] {}};
    const auto publish = [&store](int maximumQueue, const std::string &publishId) {
        const PublicationRequest request{.publishId = {publishId}, .author = "ana", .time = {}};
        return publishDeployment(store, readCurrentHead(store), deploymentWithQueue(maximumQueue), request).result;
    };
    loseNextHistory = true;
    BOOST_TEST((publish(1, "p1") == PublishResult::Applied));
    loseNextHistory = false;
    BOOST_TEST((publish(1, "p2") == PublishResult::Unchanged));
    BOOST_TEST((publish(2, "p3") == PublishResult::Applied));
    BOOST_TEST(parseConfigHead(values.at(configHistoryKey({1})).value).publishId.value == "p1");
    BOOST_TEST(parseConfigHead(values.at(configHistoryKey({2})).value).publishId.value == "p3");
    const Deployment read = readDeployment(store, readCurrentHead(store)->head);
    BOOST_TEST(read.policies[0].maximumQueue == 2);
}
