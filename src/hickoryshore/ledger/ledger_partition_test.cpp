#include "hickoryshore/ledger/ledger_partition.h"
#include "hickoryshore/ledger/partition_turn_queue.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr WallTime wallStart{1'000'000'000};

/// One VM with a key-value service that answers only when the test calls serve().
struct Fixture
{
    Instant now;
    std::uint64_t lastToken = 0;
    std::uint64_t lastSubmission = 0;
    std::string content;
    std::uint64_t index = 0;
    LedgerPartitionState partition;
    std::vector<LedgerAction> actions;

    explicit Fixture(LedgerSettings settings = {}) : partition(this->complete(std::move(settings)))
    { }

    LedgerSettings complete(LedgerSettings settings)
    {
        settings.writer = "vm";
        settings.nextToken = [this] {
            return ++this->lastToken;
        };
        return settings;
    }

    WallTime wall() const
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
        return {wallStart.milliseconds + elapsed.count()};
    }

    SubmissionId submit(std::string_view id, std::uint64_t body = 1, bool repeated = false, WallTime issued = wallStart)
    {
        const SubmissionId submission{++this->lastSubmission};
        const LedgerRequest request{submission, {std::string(id)}, {"caller"}, body, issued, repeated};
        this->partition.submit(this->now, this->wall(), request, this->actions);
        return submission;
    }

    SubmissionId lookUp(std::string_view id)
    {
        const SubmissionId submission{++this->lastSubmission};
        this->partition.lookUp(this->now, {submission, {std::string(id)}, wallStart}, this->actions);
        return submission;
    }

    /// Serves the outstanding read or write of the partition. Returns false if there is none.
    bool serve(LedgerWriteResult result = LedgerWriteResult::Applied, bool takesEffect = true)
    {
        for (auto action = this->actions.begin(); action != this->actions.end(); ++action) {
            if (std::holds_alternative<DecideSubmission>(*action)) {
                continue;
            }
            const LedgerAction served = *action;
            this->actions.erase(action);
            if (const auto *write = std::get_if<WritePartition>(&served)) {
                if (takesEffect) {
                    this->content = write->content;
                    ++this->index;
                }
                this->partition.onWriteResult(this->now, result, this->actions);
            } else {
                this->partition.onRead(this->now, this->wall(), this->content, this->index, this->actions);
            }
            return true;
        }
        return false;
    }

    void serveAll()
    {
        while (this->serve()) { }
    }

    std::optional<LedgerDecision> decision(SubmissionId submission) const
    {
        for (const LedgerAction &action : this->actions) {
            const auto *decide = std::get_if<DecideSubmission>(&action);
            if (decide != nullptr && decide->submission == submission) {
                return decide->decision;
            }
        }
        return std::nullopt;
    }

    ResultCode codeOf(SubmissionId submission) const
    {
        return this->decision(submission).value().code;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(intents_that_arrive_during_a_write_share_the_next_one)
{
    Fixture fixture;
    const SubmissionId first = fixture.submit("a");
    fixture.serve();
    const SubmissionId second = fixture.submit("b");
    const SubmissionId third = fixture.submit("c");
    fixture.serveAll();
    BOOST_TEST(fixture.partition.counters().writes == 2);
    for (const SubmissionId submission : {first, second, third}) {
        BOOST_TEST(fixture.decision(submission).value().accepted);
    }
}

BOOST_AUTO_TEST_CASE(an_outcome_shares_the_write_of_a_later_intent_and_answers_repeats)
{
    Fixture fixture;
    fixture.submit("a");
    fixture.serveAll();
    fixture.partition.complete(fixture.now, {"a"}, ResultCode::Ok, "{\"total\":1}", fixture.actions);
    const SubmissionId repeat = fixture.submit("a", 1, true);
    const SubmissionId other = fixture.submit("b");
    fixture.serveAll();
    BOOST_TEST(fixture.partition.counters().writes == 2);
    BOOST_TEST(fixture.decision(repeat).value().recordedOutcome == "{\"total\":1}");
    BOOST_TEST(fixture.decision(other).value().accepted);
    const SubmissionId reused = fixture.submit("a", 2);
    const SubmissionId found = fixture.lookUp("a");
    const SubmissionId missing = fixture.lookUp("z");
    const SubmissionId unfinished = fixture.submit("b", 1, true);
    fixture.serveAll();
    BOOST_TEST((fixture.codeOf(reused) == ResultCode::RequestIdReused));
    BOOST_TEST((fixture.codeOf(found) == ResultCode::RecordedOutcome));
    BOOST_TEST((fixture.codeOf(missing) == ResultCode::UnknownRequest));
    BOOST_TEST((fixture.codeOf(unfinished) == ResultCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(a_lost_reply_is_resolved_by_reading_again)
{
    for (const bool tookEffect : {true, false}) {
        Fixture fixture;
        const SubmissionId submission = fixture.submit("a");
        fixture.serve();
        fixture.serve(LedgerWriteResult::Unknown, tookEffect);
        BOOST_TEST(!fixture.decision(submission).has_value());
        fixture.serveAll();
        BOOST_TEST(fixture.decision(submission).value().accepted);
        BOOST_TEST(fixture.partition.counters().writes == (tookEffect ? 1U : 2U));
    }
}

BOOST_AUTO_TEST_CASE(a_refused_intent_that_took_effect_is_recorded_as_not_run_and_may_be_sent_again)
{
    Fixture fixture;
    const SubmissionId submission = fixture.submit("a");
    fixture.serve();
    fixture.now += 200ms;
    fixture.partition.onTimer(fixture.now, fixture.actions);
    BOOST_TEST((fixture.codeOf(submission) == ResultCode::PlatformUnavailable));
    BOOST_TEST((fixture.decision(submission)->execution == Execution::NotRun));
    fixture.serveAll();
    fixture.now += fixture.decision(submission)->retryAfter;
    fixture.partition.onTimer(fixture.now, fixture.actions);
    fixture.serveAll();
    BOOST_TEST((parseLedgerRecord(fixture.content).find({"a"})->state == LedgerState::NotRun));
    const SubmissionId again = fixture.submit("a", 1, true);
    fixture.serveAll();
    BOOST_TEST(fixture.decision(again).value().accepted);
    BOOST_TEST(!fixture.partition.idle());
    fixture.partition.complete(fixture.now, {"a"}, ResultCode::UpstreamShed, "", fixture.actions);
    fixture.serveAll();
    BOOST_TEST(fixture.partition.idle());
}

BOOST_AUTO_TEST_CASE(an_outage_refuses_at_once_with_the_time_to_retry)
{
    Fixture fixture;
    const SubmissionId first = fixture.submit("a");
    fixture.actions.clear();
    fixture.partition.onReadFailed(fixture.now, fixture.actions);
    BOOST_TEST((fixture.decision(first)->retryAfter == 250ms));
    fixture.now += 100ms;
    const SubmissionId second = fixture.submit("b");
    BOOST_TEST((fixture.codeOf(second) == ResultCode::PlatformUnavailable));
    BOOST_TEST((fixture.decision(second)->retryAfter == 150ms));
    const SubmissionId repeated = fixture.submit("a", 1, true);
    BOOST_TEST((fixture.decision(repeated)->execution == Execution::MayHaveRun));
    fixture.now += 150ms;
    const SubmissionId later = fixture.submit("b", 1, true);
    fixture.serveAll();
    BOOST_TEST(fixture.decision(later).value().accepted);
}

BOOST_AUTO_TEST_CASE(a_request_waits_no_longer_than_its_wait_limit)
{
    Fixture fixture;
    fixture.partition.submit(
        fixture.now, fixture.wall(), {{1}, {"a"}, {"caller"}, 1, wallStart, false, 30ms}, fixture.actions);
    BOOST_TEST((fixture.partition.nextTimer() == fixture.now + 30ms));
    fixture.now += 30ms;
    fixture.partition.onTimer(fixture.now, fixture.actions);
    BOOST_TEST((fixture.codeOf({1}) == ResultCode::PlatformUnavailable));
    fixture.serveAll();
    BOOST_TEST(fixture.partition.counters().writes == 0);
}

BOOST_AUTO_TEST_CASE(a_request_older_than_the_retention_or_from_the_future_is_refused)
{
    Fixture fixture;
    fixture.now += 11min;
    const SubmissionId old = fixture.submit("a", 1, true);
    const SubmissionId future = fixture.submit("b", 1, false, {fixture.wall().milliseconds + 61'000});
    fixture.serveAll();
    BOOST_TEST((fixture.codeOf(old) == ResultCode::RequestExpired));
    BOOST_TEST((fixture.decision(old)->execution == Execution::MayHaveRun));
    BOOST_TEST((fixture.codeOf(future) == ResultCode::MalformedRequest));
}

BOOST_AUTO_TEST_CASE(a_pruned_request_cannot_run_again_even_on_a_vm_whose_clock_is_behind)
{
    Fixture fixture;
    fixture.submit("a");
    fixture.serveAll();
    fixture.now += 11min;
    fixture.submit("b", 1, false, fixture.wall());
    fixture.serveAll();
    fixture.submit("c", 1, false, fixture.wall());
    fixture.serveAll();
    BOOST_TEST((parseLedgerRecord(fixture.content).find({"a"}) == nullptr));
    fixture.now -= 10min;
    const SubmissionId repeat = fixture.submit("a", 1, true);
    fixture.serveAll();
    BOOST_TEST((fixture.codeOf(repeat) == ResultCode::RequestExpired));
}

BOOST_AUTO_TEST_CASE(a_full_partition_refuses_new_intents_until_the_oldest_is_pruned)
{
    Fixture fixture({.maximumPartitionBytes = 400});
    const SubmissionId first = fixture.submit("a");
    fixture.submit("b");
    const SubmissionId third = fixture.submit("c");
    fixture.serveAll();
    BOOST_TEST(fixture.decision(first).value().accepted);
    BOOST_TEST((fixture.codeOf(third) == ResultCode::PlatformUnavailable));
    BOOST_TEST((fixture.decision(third)->retryAfter == 10min));
    BOOST_TEST(fixture.content.size() <= 400);
}

BOOST_AUTO_TEST_CASE(a_full_partition_takes_requests_again_after_the_retention_however_long_it_was_idle)
{
    for (const Duration idle : {Duration(11min), Duration(24h)}) {
        Fixture fixture({.maximumPartitionBytes = 400});
        fixture.submit("a");
        fixture.submit("b");
        fixture.serveAll();
        const SubmissionId refused = fixture.submit("c");
        fixture.serveAll();
        BOOST_TEST(!fixture.decision(refused).value().accepted);
        fixture.now += idle;
        const SubmissionId later = fixture.submit("d", 1, false, fixture.wall());
        fixture.serveAll();
        BOOST_TEST(fixture.decision(later).value().accepted);
        BOOST_TEST((parseLedgerRecord(fixture.content).find({"a"}) == nullptr));
    }
}

BOOST_AUTO_TEST_CASE(the_retention_bounds_what_is_stored)
{
    Fixture fixture({.retention = 10s});
    std::size_t maximumEntries = 0;
    for (int second = 0; second < 1000; ++second) {
        const std::string id = "request-" + std::to_string(second);
        fixture.submit(id, 1, false, fixture.wall());
        fixture.serveAll();
        fixture.partition.complete(fixture.now, {id}, ResultCode::Ok, "outcome", fixture.actions);
        fixture.now += 1s;
        fixture.partition.onTimer(fixture.now, fixture.actions);
        fixture.serveAll();
        maximumEntries = std::max(maximumEntries, parseLedgerRecord(fixture.content).entries.size());
    }
    BOOST_TEST(fixture.partition.counters().intents == 1000U);
    // Ten entries for 10 s, one issued exactly 10 s ago, and one recorded after the pruning.
    BOOST_TEST(maximumEntries <= 12U);
}

BOOST_AUTO_TEST_CASE(a_partition_that_cannot_be_read_is_never_overwritten)
{
    Fixture fixture;
    fixture.content = "not a ledger";
    fixture.index = 7;
    const SubmissionId submission = fixture.submit("a");
    fixture.serveAll();
    BOOST_TEST((fixture.codeOf(submission) == ResultCode::PlatformUnavailable));
    BOOST_TEST(fixture.content == "not a ledger");
}

BOOST_AUTO_TEST_CASE(the_stored_form_keeps_every_field_and_stays_under_its_bound)
{
    LedgerRecord record;
    record.prunedBefore = {5};
    const LedgerEntry entry{
        {"a"}, {"caller"}, ~0ULL, wallStart, "vm", ~0ULL, LedgerState::Done, ResultCode::PartialAnswer, "{}"};
    record.entries.emplace(entry.id, entry);
    const std::string stored = serializeLedgerRecord(record);
    BOOST_TEST(stored.size() <= storedSizeBound(record));
    const LedgerRecord read = parseLedgerRecord(stored);
    BOOST_TEST(serializeLedgerRecord(read) == stored);
    BOOST_TEST((read.find({"a"})->state == LedgerState::Done));
    BOOST_TEST(read.find({"a"})->bodyHash == ~0ULL);
    BOOST_TEST(ledgerPartitionOf({"a"}, 64) < 64);
}

BOOST_AUTO_TEST_CASE(partitions_take_turns_and_the_estimated_wait_follows_their_duration)
{
    PartitionTurnQueue queue(1);
    BOOST_TEST(queue.request({}, 1));
    BOOST_TEST(!queue.request({}, 2));
    BOOST_TEST(!queue.request({}, 3));
    BOOST_TEST((queue.release(Instant(80ms), 1) == std::optional<std::size_t>(2)));
    BOOST_TEST((queue.estimatedWait() == 10ms));
    BOOST_TEST(!queue.release(Instant(80ms), 1).has_value());
    BOOST_TEST((queue.release(Instant(80ms), 2) == std::optional<std::size_t>(3)));
    BOOST_TEST((queue.estimatedWait() == 0ms));
}
