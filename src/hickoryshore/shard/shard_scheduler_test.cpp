#include "hickoryshore/shard/shard_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

/// A scheduler with two replicas, the current time and the actions of the last event.
struct Fixture
{
    ShardSettings settings{.replicas = {{.id = ReplicaId{"a"}}, {.id = ReplicaId{"b"}}}};
    ShardScheduler scheduler{settings, 1};
    Instant now{1s};
    std::uint64_t lastId = 0;
    std::vector<ShardAction> actions;

    SubRequestId submit(bool idempotent = true, Duration deadline = 150ms, SnapshotId snapshot = {})
    {
        this->actions.clear();
        const SubRequestId id{++this->lastId};
        this->scheduler.submit(this->now,
                               {.id = id,
                                .caller = CallerId{"boards"},
                                .arrival = this->now,
                                .deadline = this->now + deadline,
                                .idempotent = idempotent,
                                .snapshot = snapshot},
                               this->actions);
        return id;
    }

    void reply(AttemptId attempt, const AttemptReply &reply)
    {
        this->actions.clear();
        this->scheduler.onReply(this->now, attempt, reply, this->actions);
    }

    void advance(Duration time)
    {
        this->actions.clear();
        this->now += time;
        this->scheduler.onTimer(this->now, this->actions);
    }

    template<typename Action>
    std::vector<Action> actionsOf() const
    {
        std::vector<Action> found;
        for (const ShardAction &action : this->actions) {
            if (const Action *match = std::get_if<Action>(&action)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    DispatchAction dispatched() const
    {
        const auto found = this->actionsOf<DispatchAction>();
        BOOST_REQUIRE(found.size() == 1U);
        return found.front();
    }

    AnswerAction answered() const
    {
        const auto found = this->actionsOf<AnswerAction>();
        BOOST_REQUIRE(found.size() == 1U);
        return found.front();
    }

    /// Gives the scheduler latency samples of 8 ms.
    void addLatencySamples()
    {
        for (int sample = 0; sample < 100; ++sample) {
            this->submit();
            const AttemptId attempt = this->dispatched().attempt;
            this->now += 8ms;
            this->reply(attempt, {});
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_slow_attempt_is_hedged_on_the_other_replica_and_the_loser_is_cancelled, Fixture)
{
    this->addLatencySamples();
    this->submit();
    const DispatchAction first = this->dispatched();
    this->advance(12ms);
    const DispatchAction hedge = this->dispatched();
    BOOST_TEST((hedge.reason == AttemptReason::Hedge));
    BOOST_TEST((hedge.replica != first.replica));
    this->reply(hedge.attempt, {});
    BOOST_TEST((this->answered().attempt == hedge.attempt));
    BOOST_TEST(this->answered().attempts == 2);
    const auto cancelled = this->actionsOf<CancelAction>();
    BOOST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST((cancelled.front().attempt == first.attempt));
    BOOST_TEST(this->scheduler.inFlight() == 1U); // The cancelled attempt keeps its slot for a while.
    this->advance(20ms);
    BOOST_TEST(this->scheduler.inFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(three_silent_connections_in_a_row_are_each_hedged, Fixture)
{
    this->addLatencySamples();
    this->submit();
    for (int hedge = 0; hedge < 3; ++hedge) {
        this->advance(20ms);
        BOOST_TEST((this->dispatched().reason == AttemptReason::Hedge));
    }
    this->advance(20ms);
    BOOST_TEST(this->actions.empty());
}

BOOST_FIXTURE_TEST_CASE(the_hedge_reserve_covers_a_burst_of_silent_connections, Fixture)
{
    this->addLatencySamples();
    for (int silent = 0; silent < 15; ++silent) {
        this->submit();
        this->advance(20ms);
        const DispatchAction hedge = this->dispatched();
        BOOST_TEST((hedge.reason == AttemptReason::Hedge));
        this->reply(hedge.attempt, {});
        this->advance(20ms);
    }
}

BOOST_FIXTURE_TEST_CASE(hedges_are_sent_before_any_latency_is_measured, Fixture)
{
    this->submit();
    this->advance(50ms);
    BOOST_TEST((this->dispatched().reason == AttemptReason::Hedge));
}

BOOST_FIXTURE_TEST_CASE(a_non_idempotent_sub_request_is_sent_once_over_a_proven_connection, Fixture)
{
    this->addLatencySamples();
    this->submit(false);
    BOOST_TEST(this->dispatched().provenConnection);
    const AttemptId attempt = this->dispatched().attempt;
    this->advance(100ms);
    BOOST_TEST(this->actions.empty());
    this->reply(attempt, {.code = ResultCode::ConnectionSilent});
    BOOST_TEST((this->answered().code == ResultCode::ConnectionSilent));
}

BOOST_FIXTURE_TEST_CASE(an_attempt_that_certainly_did_not_run_is_retried_on_the_other_replica, Fixture)
{
    this->submit(false);
    const DispatchAction first = this->dispatched();
    this->reply(first.attempt, {.code = ResultCode::UpstreamShed});
    const DispatchAction retry = this->dispatched();
    BOOST_TEST((retry.reason == AttemptReason::RetryNotRun));
    BOOST_TEST((retry.retryCause == ResultCode::UpstreamShed));
    BOOST_TEST((retry.replica != first.replica));
}

BOOST_FIXTURE_TEST_CASE(a_silent_connection_is_retried_at_once_over_a_proven_one, Fixture)
{
    this->submit();
    this->reply(this->dispatched().attempt, {.code = ResultCode::ConnectionSilent});
    BOOST_TEST((this->dispatched().reason == AttemptReason::RetryIdempotent));
    BOOST_TEST(this->dispatched().provenConnection);
}

BOOST_FIXTURE_TEST_CASE(a_drain_mark_stops_new_work_at_once, Fixture)
{
    this->submit();
    const DispatchAction first = this->dispatched();
    this->reply(first.attempt, {.draining = true});
    for (int count = 0; count < 2; ++count) {
        this->submit();
        BOOST_TEST((this->dispatched().replica != first.replica));
    }
    this->submit();
    BOOST_TEST(this->actions.empty());
    this->scheduler.markDraining(this->scheduler.replicas()[0].id, true);
    this->scheduler.markDraining(this->scheduler.replicas()[1].id, true);
    BOOST_REQUIRE(this->scheduler.nextTimer().value() <= this->now);
    this->advance(0ms);
    BOOST_TEST((this->answered().code == ResultCode::NoReplica));
}

BOOST_FIXTURE_TEST_CASE(the_answer_at_the_deadline_shows_whether_an_attempt_may_have_run, Fixture)
{
    for (int count = 0; count < 5; ++count) {
        this->submit(false);
    }
    BOOST_TEST((this->scheduler.nextTimer() == this->now + 150ms));
    this->advance(150ms);
    const auto answers = this->actionsOf<AnswerAction>();
    BOOST_REQUIRE(answers.size() == 5U);
    BOOST_TEST((answers[0].code == ResultCode::DeadlineExceeded));
    BOOST_TEST((answers[4].code == ResultCode::DeadlineBeforeDispatch));
    BOOST_TEST(this->actionsOf<CancelAction>().size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(a_sub_request_that_would_miss_its_deadline_is_refused_with_a_retry_time, Fixture)
{
    this->addLatencySamples();
    do {
        this->submit();
    } while (this->actionsOf<AnswerAction>().empty() && this->lastId < 1000);
    const AnswerAction refused = this->answered();
    BOOST_TEST((refused.code == ResultCode::WouldMissDeadline));
    BOOST_TEST((refused.retryAfter > Duration(0)));
    BOOST_TEST(this->scheduler.queued() > 20U);
}

BOOST_FIXTURE_TEST_CASE(a_snapshot_that_no_replica_holds_is_refused_as_not_run, Fixture)
{
    this->submit(true, 150ms, SnapshotId{9});
    this->reply(this->dispatched().attempt, {.code = ResultCode::SnapshotUnavailable});
    this->reply(this->dispatched().attempt,
                {.code = ResultCode::SnapshotUnavailable, .snapshotsHeld = {SnapshotId{8}}});
    BOOST_TEST((this->answered().code == ResultCode::SnapshotUnavailable));
    BOOST_TEST((this->scheduler.snapshotsHeld() == std::vector{SnapshotId{8}}));
    this->submit(true, 150ms, SnapshotId{9});
    BOOST_TEST((this->answered().code == ResultCode::SnapshotUnavailable));
    BOOST_TEST((this->answered().retryAfter > Duration(0)));
}

BOOST_FIXTURE_TEST_CASE(a_resubmitted_sub_request_is_not_run_again, Fixture)
{
    this->submit(false);
    --this->lastId;
    this->submit(false);
    BOOST_TEST(this->actions.empty());
}

BOOST_FIXTURE_TEST_CASE(an_update_keeps_the_work_in_flight, Fixture)
{
    this->submit();
    const DispatchAction first = this->dispatched();
    this->settings.replicas = {{.id = ReplicaId{"c"}}};
    this->scheduler.update(this->now, this->settings, this->actions);
    this->reply(first.attempt, {});
    BOOST_TEST((this->answered().code == ResultCode::Ok));
    this->submit();
    BOOST_TEST((this->dispatched().replica == ReplicaId{"c"}));
}
