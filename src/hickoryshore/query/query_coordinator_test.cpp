#include "hickoryshore/query/query_coordinator.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr Instant startTime{};

std::vector<ShardId> makeShards(std::size_t count)
{
    std::vector<ShardId> shards;
    for (std::size_t number = 0; number < count; ++number) {
        shards.push_back({"a/" + std::to_string(number)});
    }
    return shards;
}

/// A query with its tracker, and the actions that it returned and the test has not taken yet.
struct Fixture
{
    SnapshotTracker tracker;
    std::uint64_t nextId = 1;
    QuerySettings settings;
    std::optional<QueryCoordinator> query;
    std::vector<QueryAction> actions;

    explicit Fixture(std::size_t shards, bool idempotent = true, double minimumCoverage = 0.0)
    {
        this->settings = {.softDeadline = startTime + 50ms,
                          .deadline = startTime + 100ms,
                          .minimumCoverage = minimumCoverage,
                          .idempotent = idempotent,
                          .shardsOfLayout = prefixLayouts(makeShards(shards)),
                          .reserveIds = [this](std::size_t count) {
                              const SubRequestId first{this->nextId};
                              this->nextId += count;
                              return first;
                          }};
    }

    std::vector<SendSubRequest> start(Instant now = startTime)
    {
        this->query.emplace(this->settings, this->tracker);
        this->query->start(now, this->actions);
        return this->takeSends();
    }

    std::vector<SendSubRequest> takeSends()
    {
        std::vector<SendSubRequest> sends;
        for (const QueryAction &action : this->actions) {
            if (const auto *send = std::get_if<SendSubRequest>(&action)) {
                sends.push_back(*send);
            }
        }
        std::erase_if(this->actions, [](const QueryAction &action) {
            return std::holds_alternative<SendSubRequest>(action);
        });
        return sends;
    }

    void reply(const SendSubRequest &send, SubReply reply, Instant now = startTime + 1ms)
    {
        reply.id = send.id;
        reply.shard = send.shard;
        this->query->onSubReply(now, reply, this->actions);
    }

    std::optional<QueryAnswer> answer() const
    {
        for (const QueryAction &action : this->actions) {
            if (const auto *finish = std::get_if<FinishQuery>(&action)) {
                return finish->answer;
            }
        }
        return std::nullopt;
    }
};

SubReply ok(std::uint64_t snapshot, std::uint64_t layout = 0)
{
    return {.code = ResultCode::Ok,
            .payload = std::to_string(snapshot),
            .snapshot = {snapshot},
            .snapshotsHeld = {{snapshot}},
            .layout = {layout}};
}

SubReply refusal(ResultCode code, Duration retryAfter = Duration(0), std::vector<SnapshotId> held = {})
{
    return {.code = code, .snapshotsHeld = std::move(held), .retryAfter = retryAfter};
}

} // namespace

BOOST_AUTO_TEST_CASE(tracker_prefers_the_newest_snapshot_that_every_shard_holds)
{
    SnapshotTracker tracker;
    const auto shards = makeShards(3);
    const LayoutShards layouts = prefixLayouts(shards);
    BOOST_TEST(tracker.pin(layouts).snapshot.value == 0);
    tracker.report(shards[0], std::vector<SnapshotId>{{4}, {5}});
    tracker.report(shards[1], std::vector<SnapshotId>{{4}, {5}});
    tracker.report(shards[2], std::vector<SnapshotId>{{4}});
    BOOST_TEST(tracker.pin(layouts).snapshot.value == 4);
    tracker.reportLayout({5}, {2});
    BOOST_TEST(tracker.pin(layouts).snapshot.value == 5);
    tracker.reportLayout({5}, {9});
    BOOST_TEST(tracker.pin(layouts).snapshot.value == 4);
    tracker.reportMissing(shards[0], {4});
    BOOST_TEST(tracker.pin(layouts).snapshot.value == 4);
}

BOOST_AUTO_TEST_CASE(parts_of_two_snapshots_are_never_merged_and_the_query_restarts_pinned)
{
    Fixture fixture(3);
    const auto first = fixture.start();
    BOOST_TEST(first[0].snapshot.value == 0);
    fixture.reply(first[0], {.payload = "5", .snapshot = {5}, .snapshotsHeld = {{4}, {5}}});
    fixture.reply(first[1], {.payload = "4", .snapshot = {4}, .snapshotsHeld = {{4}}});
    const auto second = fixture.takeSends();
    BOOST_TEST_REQUIRE(second.size() == 3);
    BOOST_TEST(second[2].snapshot.value == 4);
    fixture.reply(first[2], ok(5));
    for (const SendSubRequest &send : second) {
        fixture.reply(send, ok(4));
    }
    BOOST_TEST((fixture.answer()->resultCode == ResultCode::Ok));
    BOOST_TEST(fixture.answer()->snapshot.value == 4);
    BOOST_TEST(fixture.answer()->covered.size() == 3);
}

BOOST_AUTO_TEST_CASE(an_unavailable_snapshot_restarts_an_idempotent_query_on_a_newer_one)
{
    Fixture fixture(2);
    fixture.tracker.report({"a/0"}, std::vector<SnapshotId>{{4}, {5}});
    fixture.tracker.report({"a/1"}, std::vector<SnapshotId>{{4}});
    const auto first = fixture.start();
    fixture.reply(first[0], ok(4));
    fixture.tracker.report({"a/0"}, std::vector<SnapshotId>{{5}});
    fixture.reply(first[1], refusal(ResultCode::SnapshotUnavailable, 0ms, {{5}}));
    const auto second = fixture.takeSends();
    BOOST_TEST_REQUIRE(second.size() == 2);
    BOOST_TEST(second[0].snapshot.value == 5);
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_query_restarts_only_if_no_shard_ran_it)
{
    for (const bool ran : {false, true}) {
        Fixture fixture(2, false);
        fixture.tracker.report({"a/0"}, std::vector<SnapshotId>{{4}});
        fixture.tracker.report({"a/1"}, std::vector<SnapshotId>{{4}});
        const auto first = fixture.start();
        fixture.reply(first[0], ran ? ok(4) : refusal(ResultCode::SnapshotUnavailable, 0ms, {{5}}));
        fixture.reply(first[1], refusal(ResultCode::SnapshotUnavailable, 0ms, {{5}}));
        BOOST_TEST(fixture.takeSends().size() == (ran ? 0U : 2U));
        BOOST_TEST(fixture.answer().has_value() == ran);
    }
}

BOOST_AUTO_TEST_CASE(a_new_layout_restarts_the_query_with_its_list_of_shards)
{
    Fixture fixture(4);
    fixture.tracker.report({"a/0"}, std::vector<SnapshotId>{{7}});
    const auto first = fixture.start();
    BOOST_TEST_REQUIRE(first.size() == 4);
    fixture.reply(first[0], ok(7, 2));
    const auto second = fixture.takeSends();
    BOOST_TEST_REQUIRE(second.size() == 2);
    fixture.reply(second[0], ok(7, 2));
    fixture.reply(first[3], ok(7, 2));
    fixture.reply(second[1], ok(7, 2));
    BOOST_TEST((fixture.answer()->resultCode == ResultCode::Ok));
    BOOST_TEST(fixture.answer()->layout.value == 2);
}

BOOST_AUTO_TEST_CASE(an_unconfigured_layout_is_never_answered_as_complete)
{
    Fixture fixture(2);
    for (const SendSubRequest &send : fixture.start()) {
        fixture.reply(send, ok(7, 3));
    }
    BOOST_TEST(fixture.answer()->covered.empty());
    BOOST_TEST((fixture.answer()->execution == Execution::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(the_soft_deadline_gives_a_partial_answer_only_with_enough_coverage)
{
    Fixture fixture(4, true, 0.5);
    const auto sends = fixture.start();
    fixture.reply(sends[0], ok(1));
    fixture.query->onTimer(startTime + 50ms, fixture.actions);
    BOOST_TEST(!fixture.answer().has_value());
    fixture.reply(sends[1], ok(1), startTime + 60ms);
    BOOST_TEST((fixture.answer()->resultCode == ResultCode::PartialAnswer));
    BOOST_TEST(fixture.answer()->missed.size() == 2);
    BOOST_TEST(!fixture.query->nextTimer().has_value());
}

BOOST_AUTO_TEST_CASE(the_deadline_and_unreachable_coverage_end_the_query_at_once)
{
    Fixture late(2, true, 1.0);
    late.reply(late.start()[0], ok(1));
    BOOST_TEST((late.query->nextTimer() == late.settings.deadline));
    late.query->onTimer(startTime + 100ms, late.actions);
    BOOST_TEST((late.answer()->resultCode == ResultCode::CoverageTooLow));

    Fixture unreachable(3, true, 1.0);
    unreachable.reply(unreachable.start()[0], refusal(ResultCode::QueueFull, 20ms));
    BOOST_TEST((unreachable.answer()->resultCode == ResultCode::CoverageTooLow));
    BOOST_TEST((unreachable.answer()->execution == Execution::MayHaveRun));
    BOOST_TEST((unreachable.answer()->retryAfter == 20ms));
}

BOOST_AUTO_TEST_CASE(a_query_that_all_shards_refused_reports_the_longest_refusal)
{
    Fixture fixture(2, false);
    const auto sends = fixture.start();
    fixture.reply(sends[0], refusal(ResultCode::UpstreamShed, 5ms));
    fixture.reply(sends[1], refusal(ResultCode::QueueFull, 30ms));
    BOOST_TEST((fixture.answer()->resultCode == ResultCode::QueueFull));
    BOOST_TEST((fixture.answer()->execution == Execution::NotRun));
    BOOST_TEST((fixture.answer()->retryAfter == 30ms));
}

BOOST_AUTO_TEST_CASE(a_lost_owner_is_replaced_once_and_never_for_a_non_idempotent_request)
{
    Fixture fixture(1);
    const auto first = fixture.start();
    fixture.query->onOwnerLost(startTime + 1ms, first[0].id, fixture.actions);
    const auto second = fixture.takeSends();
    BOOST_TEST_REQUIRE(second.size() == 1);
    BOOST_TEST(second[0].resend);
    fixture.reply(first[0], refusal(ResultCode::QueueFull));
    BOOST_TEST(!fixture.answer().has_value());
    fixture.reply(second[0], refusal(ResultCode::QueueFull));
    BOOST_TEST((fixture.answer()->resultCode == ResultCode::OwnerLost));

    Fixture once(1, false);
    const auto only = once.start();
    once.query->onOwnerLost(startTime + 1ms, only[0].id, once.actions);
    BOOST_TEST(once.takeSends().empty());
    BOOST_TEST((once.answer()->execution == Execution::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(a_start_after_the_deadline_did_not_run_and_an_abandoned_query_gives_no_answer)
{
    Fixture late(2);
    BOOST_TEST(late.start(startTime + 100ms).empty());
    BOOST_TEST((late.answer()->resultCode == ResultCode::DeadlineBeforeDispatch));

    Fixture abandoned(2);
    abandoned.start();
    abandoned.query->abandon(startTime + 1ms, abandoned.actions);
    BOOST_TEST(!abandoned.answer().has_value());
    BOOST_TEST(std::get<CancelSubRequests>(abandoned.actions.at(0)).ids.size() == 2);
}

namespace {

/// Sends a random reply to a sub-request. Returns whether the shard may have run it.
bool answerAtRandom(Fixture &fixture, const SendSubRequest &send, Instant now)
{
    const int kind = *rc::gen::inRange(0, 8);
    const std::uint64_t other = *rc::gen::inRange<std::uint64_t>(1, 4);
    if (kind == 0) {
        fixture.query->onOwnerLost(now, send.id, fixture.actions);
        return true;
    }
    if (kind == 1) {
        fixture.reply(send, refusal(ResultCode::SnapshotUnavailable, 1ms, {{other}}), now);
        return false;
    }
    if (kind == 2) {
        fixture.reply(send, refusal(ResultCode::UpstreamShed, 2ms), now);
        return false;
    }
    if (kind == 3) {
        fixture.reply(send, refusal(ResultCode::ConnectionLost), now);
        return true;
    }
    // Kind 4 may answer from a snapshot other than the requested one.
    const bool asked = send.snapshot.value != 0 && kind != 4;
    fixture.reply(send, ok(asked ? send.snapshot.value : other, *rc::gen::inRange<std::uint64_t>(0, 2) * 4), now);
    return true;
}

void checkAnswerInvariants(const Fixture &fixture, const std::set<ShardId> &ran)
{
    const QueryAnswer answer = fixture.answer().value();
    std::multiset<ShardId> named(answer.covered.begin(), answer.covered.end());
    for (const MissedShard &missed : answer.missed) {
        named.insert(missed.shard);
    }
    const auto layout = fixture.settings.shardsOfLayout(answer.layout);
    RC_ASSERT((named == std::multiset<ShardId>(layout.begin(), layout.end())));
    RC_ASSERT(answer.results.size() == answer.covered.size());
    for (const ShardResult &result : answer.results) {
        RC_ASSERT(result.payload == std::to_string(answer.snapshot.value));
    }
    RC_ASSERT(answer.execution != Execution::NotRun || ran.empty());
    for (const MissedShard &missed : answer.missed) {
        const bool reportedNotRun = resultCodeInfo(missed.code).execution == Execution::NotRun;
        RC_ASSERT(!reportedNotRun || fixture.settings.idempotent || !ran.contains(missed.shard));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(every_order_of_events_gives_one_consistent_answer)
{
    const bool passed = rc::check([] {
        Fixture fixture(4, *rc::gen::arbitrary<bool>(), *rc::gen::element(0.0, 0.5, 1.0));
        std::vector<SendSubRequest> outstanding = fixture.start();
        std::set<ShardId> ran;
        for (Duration elapsed = 1ms; !fixture.query->finished(); elapsed += 3ms) {
            const Instant now = startTime + elapsed;
            if (!outstanding.empty() && *rc::gen::inRange(0, 4) > 0) {
                const auto position = *rc::gen::inRange<std::size_t>(0, outstanding.size());
                const SendSubRequest send = outstanding[position];
                outstanding.erase(outstanding.begin() + static_cast<std::ptrdiff_t>(position));
                if (answerAtRandom(fixture, send, now)) {
                    ran.insert(send.shard);
                }
            } else {
                fixture.query->onTimer(now, fixture.actions);
            }
            for (const SendSubRequest &send : fixture.takeSends()) {
                RC_ASSERT(fixture.settings.idempotent || !ran.contains(send.shard));
                outstanding.push_back(send);
            }
            RC_ASSERT(elapsed <= 103ms);
        }
        checkAnswerInvariants(fixture, ran);
        const auto finishes = std::ranges::count_if(fixture.actions, [](const QueryAction &action) {
            return std::holds_alternative<FinishQuery>(action);
        });
        RC_ASSERT(finishes == 1);
    });
    BOOST_TEST(passed);
}
