#include "hickoryshore/dispatch/request_run.h"

#include "hickoryshore/shard/retry_policy.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 100s;

/// Several services with two replicas each: endpoints 1 and 2 for the first, 3 and 4 for the second, and so on.
struct Fleet
{
    EndpointTable table{1};
    RouteLatency latency{100ms};
    std::uint64_t lastAttempt = 0;
    std::vector<RunAction> actions;

    void serve(int services, int replicasEach = 2)
    {
        std::vector<DirectReplica> replicas;
        for (int number = 0; number < services; ++number) {
            for (int each = 0; each < replicasEach; ++each) {
                replicas.push_back({.endpoint = {static_cast<std::uint64_t>(replicas.size()) + 1},
                                    .service = {std::to_string(number)},
                                    .slots = 2});
            }
        }
        this->table.setExtraAttemptBudget({.ratio = 0.2, .slack = 100}, 0.25);
        this->table.setReplicas(start, replicas);
    }

    RequestRun run(int services, RunSettings settings)
    {
        for (int number = 0; number < services; ++number) {
            settings.services.push_back({std::to_string(number)});
        }
        settings.softDeadline = start + 75ms;
        settings.deadline = start + 1s;
        settings.maximumAttempts = 2;
        return {settings, this->table, this->latency, this->lastAttempt};
    }

    template<typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> found;
        for (const RunAction &action : std::exchange(this->actions, {})) {
            if (const auto *wanted = std::get_if<Action>(&action)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }
};

const RunSettings mergedRun = {.merged = true, .idempotent = true, .minimumCoverage = 0.7};
const RunSettings chargeRun = {.idempotent = false};
const RunSettings lookupRun = {.idempotent = true};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_run, Fleet)

BOOST_AUTO_TEST_CASE(all_parts_form_a_complete_answer)
{
    this->serve(4);
    RequestRun run = this->run(4, mergedRun);
    run.start(start, this->actions);
    const auto sent = this->take<SendAttempt>();
    BOOST_REQUIRE(sent.size() == 4);
    for (const SendAttempt &attempt : sent) {
        run.onAttemptEnd(start + 8ms, attempt.attempt, {}, true, this->actions);
    }
    const auto finished = this->take<FinishRun>();
    BOOST_REQUIRE(finished.size() == 1);
    BOOST_TEST((finished.front().code == ResultCode::Ok));
    BOOST_TEST(finished.front().answered.size() == 4);
    BOOST_TEST(!run.nextTimer().has_value());
}

BOOST_AUTO_TEST_CASE(a_part_delayed_by_a_paused_replica_is_hedged)
{
    this->serve(1);
    RequestRun run = this->run(1, mergedRun);
    run.start(start, this->actions);
    const auto first = this->take<SendAttempt>();
    run.onTimer(run.nextTimer().value(), this->actions);
    const auto hedge = this->take<SendAttempt>();
    BOOST_REQUIRE(hedge.size() == 1);
    BOOST_TEST((hedge.front().reason == DirectAttempt::Hedge));
    BOOST_TEST((hedge.front().endpoint != first.front().endpoint));
    run.onAttemptEnd(start + 40ms, hedge.front().attempt, {}, true, this->actions);
    const auto actions = this->actions;
    BOOST_TEST(this->take<FinishRun>().size() == 1);
    this->actions = actions;
    const auto dropped = this->take<DropAttempt>();
    BOOST_REQUIRE(dropped.size() == 1);
    BOOST_TEST((dropped.front().attempt == first.front().attempt && !dropped.front().callerLeft));
}

BOOST_AUTO_TEST_CASE(a_hedge_is_sent_early_enough_for_the_soft_deadline)
{
    // Replies from the other region usually take 24 ms and often more than twice as long. A hedge after the usual delay
    // would be sent after the soft deadline of 75 ms.
    this->serve(1);
    for (int sample = 0; sample < 200; ++sample) {
        this->latency.add(Distance::SameRegion, 8ms);
        this->latency.add(Distance::OtherRegion, sample % 5 == 0 ? 60ms : 24ms);
    }
    const std::vector<DirectReplica> far
        = {{.endpoint = {1}, .service = {"0"}, .distance = Distance::OtherRegion, .slots = 2},
           {.endpoint = {2}, .service = {"0"}, .distance = Distance::OtherRegion, .slots = 2}};
    this->table.setReplicas(start, far);
    BOOST_TEST((this->latency.hedgeDelay(Distance::OtherRegion) >= 55ms));
    RequestRun run = this->run(1, mergedRun);
    run.start(start, this->actions);
    const Instant hedge = run.nextTimer().value();
    BOOST_TEST((hedge <= start + 75ms - 24ms));
    BOOST_TEST((hedge >= start + 24ms));
}

BOOST_AUTO_TEST_CASE(a_dead_shard_leads_to_a_partial_answer_at_the_soft_deadline)
{
    this->serve(4);
    RequestRun run = this->run(4, mergedRun);
    run.start(start, this->actions);
    const auto sent = this->take<SendAttempt>();
    for (std::size_t part = 0; part < 3; ++part) {
        run.onAttemptEnd(start + 8ms, sent[part].attempt, {}, true, this->actions);
    }
    Instant now = start;
    while (run.nextTimer().has_value()) {
        now = std::max(now, *run.nextTimer());
        run.onTimer(now, this->actions);
    }
    BOOST_TEST((now == start + 75ms));
    const auto finished = this->take<FinishRun>();
    BOOST_TEST((finished.at(0).code == ResultCode::PartialAnswer));
    BOOST_REQUIRE(finished.at(0).missed.size() == 1);
    BOOST_TEST(finished.at(0).missed.front().service.value == "3");
    BOOST_TEST((finished.at(0).missed.front().code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(too_low_coverage_fails_at_once)
{
    this->serve(2);
    RequestRun run = this->run(4, mergedRun);
    run.start(start, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_TEST((finished.at(0).code == ResultCode::CoverageTooLow));
}

BOOST_AUTO_TEST_CASE(a_request_without_replicas_is_refused_as_not_run)
{
    this->serve(0);
    RequestRun run = this->run(1, lookupRun);
    run.start(start, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_TEST((finished.at(0).code == ResultCode::NoReplica));
    BOOST_TEST(!finished.at(0).sent);
    BOOST_TEST((finished.at(0).retryAfter > Duration(0)));
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_not_retried_if_it_may_have_run)
{
    this->serve(1);
    RequestRun run = this->run(1, chargeRun);
    run.start(start, this->actions);
    const auto sent = this->take<SendAttempt>();
    BOOST_TEST(sent.front().provenConnection);
    run.onTimer(start + 500ms, this->actions);
    BOOST_TEST(this->take<SendAttempt>().empty());
    run.onAttemptEnd(start + 510ms, sent.front().attempt, {.code = ResultCode::ConnectionLost}, false, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_TEST((finished.at(0).code == ResultCode::ConnectionLost));
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_retried_if_it_did_not_run)
{
    this->serve(1);
    RequestRun run = this->run(1, chargeRun);
    run.start(start, this->actions);
    const auto sent = this->take<SendAttempt>();
    run.onAttemptEnd(
        start, sent.front().attempt, {.code = ResultCode::ConnectFailed, .sent = false}, false, this->actions);
    const auto again = this->take<SendAttempt>();
    BOOST_REQUIRE(again.size() == 1);
    BOOST_TEST((again.front().reason == DirectAttempt::RetryNotRun));
    BOOST_TEST((again.front().endpoint != sent.front().endpoint));
    run.onAttemptEnd(start, again.front().attempt, {.code = ResultCode::UpstreamError}, true, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_TEST((finished.at(0).code == ResultCode::UpstreamError));
    BOOST_TEST((finished.at(0).failureReply == again.front().attempt));
}

// Guards against a caller that is told "not run" about a request that has run: the rejection of the first attempt says
// nothing about the second one, which may have run.
BOOST_AUTO_TEST_CASE(the_reply_to_an_attempt_that_did_not_run_does_not_describe_the_failure)
{
    for (const ResultCode rejection : {ResultCode::UpstreamDraining, ResultCode::UpstreamShed}) {
        for (const ResultCode last : {ResultCode::ConnectionLost, ResultCode::UpstreamGarbage}) {
            this->serve(1);
            RequestRun run = this->run(1, chargeRun);
            run.start(start, this->actions);
            const auto first = this->take<SendAttempt>();
            run.onAttemptEnd(start, first.at(0).attempt, {.code = rejection}, true, this->actions);
            const auto second = this->take<SendAttempt>();
            BOOST_REQUIRE(second.size() == 1);
            const bool isReply = last == ResultCode::UpstreamGarbage;
            run.onAttemptEnd(start + 60ms, second.at(0).attempt, {.code = last}, isReply, this->actions);
            const auto finished = this->take<FinishRun>();
            BOOST_REQUIRE(finished.size() == 1);
            BOOST_TEST((finished.front().code == last));
            BOOST_TEST(!finished.front().failureReply.has_value());
        }
    }
}

// The same if the second attempt is still in flight when the deadline passes.
BOOST_AUTO_TEST_CASE(the_reply_to_a_rejected_attempt_does_not_describe_a_passed_deadline)
{
    this->serve(1);
    RequestRun run = this->run(1, chargeRun);
    run.start(start, this->actions);
    const auto first = this->take<SendAttempt>();
    run.onAttemptEnd(start, first.at(0).attempt, {.code = ResultCode::UpstreamDraining}, true, this->actions);
    BOOST_REQUIRE(this->take<SendAttempt>().size() == 1);
    run.onTimer(start + 1s, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_REQUIRE(finished.size() == 1);
    BOOST_TEST((finished.front().code == ResultCode::DeadlineExceeded));
    BOOST_TEST(!finished.front().failureReply.has_value());
}

BOOST_AUTO_TEST_CASE(a_part_refused_by_all_replicas_is_retried_later)
{
    this->serve(1);
    RequestRun run = this->run(1, lookupRun);
    run.start(start, this->actions);
    for (int refusals = 0; refusals < 2; ++refusals) {
        const auto sent = this->take<SendAttempt>();
        BOOST_REQUIRE(sent.size() == 1);
        run.onAttemptEnd(start, sent.front().attempt, {.code = ResultCode::UpstreamShed}, true, this->actions);
    }
    BOOST_TEST(this->actions.empty());
    const Instant again = run.nextTimer().value();
    BOOST_TEST((again > start && again < start + 100ms));
    run.onTimer(again, this->actions);
    BOOST_TEST(this->take<SendAttempt>().size() == 1);
}

BOOST_AUTO_TEST_CASE(a_part_whose_replicas_all_ask_for_a_pause_fails_at_once)
{
    this->serve(1);
    RequestRun run = this->run(1, lookupRun);
    run.start(start, this->actions);
    for (const Duration pause : {3s, 2s}) {
        const auto sent = this->take<SendAttempt>();
        BOOST_REQUIRE(sent.size() == 1);
        const AttemptEnd refusal{.code = ResultCode::UpstreamShed, .refusesFor = pause};
        this->table.countEnd(start + 5ms, sent.front().endpoint, this->latency, refusal);
        run.onAttemptEnd(start + 5ms, sent.front().attempt, refusal, true, this->actions);
    }
    const auto finished = this->take<FinishRun>();
    BOOST_REQUIRE(finished.size() == 1);
    BOOST_TEST((finished.front().code == ResultCode::UpstreamShed));
    BOOST_TEST((finished.front().retryAfter >= 2s && finished.front().retryAfter < 3s));
}

BOOST_AUTO_TEST_CASE(a_request_during_a_pause_of_all_replicas_is_not_sent)
{
    this->serve(1);
    for (const std::uint64_t id : {1, 2}) {
        this->table.countSent(start, {id});
        this->table.countEnd(
            start, {id}, this->latency, {.code = ResultCode::UpstreamShed, .refusesFor = Duration(2s)});
    }
    RequestRun run = this->run(1, lookupRun);
    run.start(start + 500ms, this->actions);
    BOOST_TEST(this->actions.size() == 1);
    const auto finished = this->take<FinishRun>();
    BOOST_REQUIRE(finished.size() == 1);
    BOOST_TEST((finished.front().code == ResultCode::UpstreamShed));
    BOOST_TEST(!finished.front().sent);
    BOOST_TEST((finished.front().retryAfter >= 1500ms && finished.front().retryAfter <= 2s));
}

BOOST_AUTO_TEST_CASE(retry_after_covers_only_the_needed_shards)
{
    // Three of four shards are needed. Their replicas ask for pauses of one to eight seconds.
    this->serve(4, 1);
    int number = 0;
    for (const Duration pause : {1s, 2s, 4s, 8s}) {
        const EndpointId id{static_cast<std::uint64_t>(++number)};
        this->table.countSent(start, id);
        this->table.countEnd(start, id, this->latency, {.code = ResultCode::UpstreamShed, .refusesFor = pause});
    }
    RequestRun run = this->run(4, mergedRun);
    run.start(start, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_REQUIRE(finished.size() == 1);
    BOOST_TEST((finished.front().code == ResultCode::UpstreamShed));
    BOOST_TEST((finished.front().retryAfter >= 4s && finished.front().retryAfter <= 5s));
}

BOOST_AUTO_TEST_CASE(no_part_runs_on_more_replicas_than_allowed)
{
    this->serve(1, 6);
    RequestRun run = this->run(1, lookupRun);
    run.start(start, this->actions);
    while (run.nextTimer().has_value() && *run.nextTimer() < start + 1s) {
        run.onTimer(*run.nextTimer(), this->actions);
    }
    BOOST_TEST(this->take<SendAttempt>().size() == 2);
}

BOOST_AUTO_TEST_CASE(abandoning_drops_all_attempts)
{
    this->serve(3);
    RequestRun run = this->run(3, mergedRun);
    run.start(start, this->actions);
    this->actions.clear();
    run.abandon(this->actions);
    const auto dropped = this->take<DropAttempt>();
    BOOST_TEST(dropped.size() == 3);
    BOOST_TEST(dropped.front().callerLeft);
    BOOST_TEST(!run.nextTimer().has_value());
}

BOOST_AUTO_TEST_CASE(a_vm_resuming_after_the_deadline_sends_nothing)
{
    this->serve(4);
    RequestRun run = this->run(4, mergedRun);
    run.start(start, this->actions);
    this->actions.clear();
    run.onTimer(start + 5s, this->actions);
    const auto actions = this->actions;
    BOOST_TEST(this->take<SendAttempt>().empty());
    this->actions = actions;
    BOOST_TEST((this->take<FinishRun>().at(0).code == ResultCode::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(the_deadline_ends_the_wait)
{
    this->serve(1);
    RequestRun run = this->run(1, lookupRun);
    run.start(start, this->actions);
    run.onTimer(start + 1s, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_TEST((finished.at(0).code == ResultCode::DeadlineExceeded));
    BOOST_TEST(finished.at(0).sent);
}

/// A run of four parts in which parts 1 to 3 are sent to an aggregator.
struct GroupedFleet : Fleet
{
    std::vector<SendAttempt> direct;
    SendGroup group;

    RequestRun begin()
    {
        this->serve(4);
        RunSettings settings = mergedRun;
        settings.groups = {{.dataCentreIndex = 1, .parts = {1, 2, 3}}};
        settings.groupRoundTripTimes = {16ms};
        RequestRun run = this->run(4, settings);
        run.start(start, this->actions);
        const auto all = this->actions;
        this->direct = this->take<SendAttempt>();
        this->actions = all;
        this->group = this->take<SendGroup>().at(0);
        return run;
    }

    std::vector<GroupedEnd> allOk() const
    {
        std::vector<GroupedEnd> ends;
        for (const AttemptId attempt : this->group.attempts) {
            ends.push_back({.attempt = attempt, .end = {}});
        }
        return ends;
    }
};

BOOST_FIXTURE_TEST_CASE(parts_of_a_group_are_sent_once_and_answered_together, GroupedFleet)
{
    RequestRun run = this->begin();
    BOOST_TEST(this->direct.size() == 1U);
    BOOST_TEST(this->group.attempts.size() == 3U);
    // One of the four parts may be missing, so at least two parts of the group are needed.
    BOOST_TEST(this->group.needed == 2U);
    BOOST_TEST((this->group.answerWithin == 75ms - 16ms - groupMargin));
    run.onAttemptEnd(start + 8ms, this->direct[0].attempt, {}, true, this->actions);
    run.onGroupEnd(start + 30ms, this->allOk(), this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_REQUIRE(finished.size() == 1);
    BOOST_TEST((finished.front().code == ResultCode::Ok));
    BOOST_TEST(finished.front().answered.size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(direct_calls_replace_a_group_that_did_not_run_without_using_the_budget, GroupedFleet)
{
    RequestRun run = this->begin();
    this->table.setExtraAttemptBudget({.ratio = 0.0, .slack = 0.0}, 1.0);
    std::vector<GroupedEnd> ends = this->allOk();
    for (GroupedEnd &end : ends) {
        end.end = {.code = ResultCode::ConnectFailed, .sent = false};
    }
    run.onGroupEnd(start + 1ms, ends, this->actions);
    BOOST_TEST(this->take<SendAttempt>().size() == 3U);
}

// Guards against requests that no VM counts for the budget: their parts would get no second attempt.
BOOST_FIXTURE_TEST_CASE(parts_of_a_refused_group_count_for_the_budget, GroupedFleet)
{
    RequestRun run = this->begin();
    // Spends the budget, so that the next extra attempt needs a request that is counted.
    this->table.setExtraAttemptBudget({.ratio = 4.0, .slack = 100.0}, 1.0);
    for (const char *service : {"1", "2", "3"}) {
        while (this->table.takeExtraAttempt(start, {service}, false)) { }
    }
    std::vector<GroupedEnd> ends = this->allOk();
    for (GroupedEnd &end : ends) {
        end.end = {.code = ResultCode::ConnectFailed, .sent = false};
        end.taken = false;
    }
    run.onGroupEnd(start + 1ms, ends, this->actions);
    const auto sent = this->take<SendAttempt>();
    BOOST_REQUIRE(sent.size() == 3U);
    run.onAttemptEnd(start + 5ms, sent.front().attempt, {.code = ResultCode::ConnectionLost}, false, this->actions);
    BOOST_TEST(this->take<SendAttempt>().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(parts_of_a_group_do_not_run_on_more_replicas_than_allowed, GroupedFleet)
{
    RequestRun run = this->begin();
    std::vector<GroupedEnd> ends = this->allOk();
    ends[0].end.code = ResultCode::OwnerLost;
    ends[0].runs = 2; // Two are allowed.
    ends[1].end.code = ResultCode::UpstreamGarbage;
    ends[1].runs = 1;
    run.onGroupEnd(start + 20ms, ends, this->actions);
    const auto sent = this->take<SendAttempt>();
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST((sent.front().reason == DirectAttempt::RetryMayHaveRun));
    run.onAttemptEnd(start + 30ms, sent.front().attempt, {}, true, this->actions);
    run.onAttemptEnd(start + 30ms, this->direct[0].attempt, {}, true, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_REQUIRE(finished.size() == 1);
    BOOST_TEST((finished.front().code == ResultCode::PartialAnswer));
    BOOST_TEST(finished.front().missed.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_part_still_running_at_the_aggregator_is_hedged_directly, GroupedFleet)
{
    RequestRun run = this->begin();
    std::vector<GroupedEnd> ends = this->allOk();
    ends[2].stillRunning = true;
    ends[2].runs = 1;
    run.onGroupEnd(start + 50ms, ends, this->actions);
    const auto sent = this->take<SendAttempt>();
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST((sent.front().reason == DirectAttempt::Hedge));
}

BOOST_FIXTURE_TEST_CASE(losing_a_needed_group_ends_the_request, GroupedFleet)
{
    RequestRun run = this->begin();
    std::vector<GroupedEnd> ends = this->allOk();
    for (GroupedEnd &end : ends) {
        end.end.code = ResultCode::OwnerLost;
        end.runs = 2;
    }
    run.onGroupEnd(start + 20ms, ends, this->actions);
    const auto finished = this->take<FinishRun>();
    BOOST_REQUIRE(finished.size() == 1);
    BOOST_TEST(!certainlyNotRun(finished.front().code));
}

BOOST_AUTO_TEST_SUITE_END()
