#include "hickoryshore/ledger/partition_turn_queue.h"
#include "hickoryshore/ledger/ledger_partition.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr WallTime wallStart{1'000'000'000};

/// One VM over a service that answers only when told to.
struct Bench
{
    Instant now;
    std::uint64_t lastToken = 0;
    std::uint64_t lastSubmission = 0;
    std::string content;
    std::uint64_t index = 0;
    LedgerPartitionState partition;
    std::vector<LedgerAction> actions;

    explicit Bench(LedgerSettings settings = {}) : partition(this->complete(std::move(settings)))
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

    /// Serves the read or write that the partition asked for last; false where there is none.
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
    Bench bench;
    const SubmissionId first = bench.submit("a");
    bench.serve();
    const SubmissionId second = bench.submit("b");
    const SubmissionId third = bench.submit("c");
    bench.serveAll();
    BOOST_TEST(bench.partition.counters().writes == 2);
    for (const SubmissionId submission : {first, second, third}) {
        BOOST_TEST(bench.decision(submission).value().accepted);
    }
}

BOOST_AUTO_TEST_CASE(an_outcome_shares_the_write_of_a_later_intent_and_answers_repeats)
{
    Bench bench;
    bench.submit("a");
    bench.serveAll();
    bench.partition.complete(bench.now, {"a"}, ResultCode::Ok, "{\"total\":1}", bench.actions);
    const SubmissionId repeat = bench.submit("a", 1, true);
    const SubmissionId other = bench.submit("b");
    bench.serveAll();
    BOOST_TEST(bench.partition.counters().writes == 2);
    BOOST_TEST(bench.decision(repeat).value().recordedOutcome == "{\"total\":1}");
    BOOST_TEST(bench.decision(other).value().accepted);
    const SubmissionId reused = bench.submit("a", 2);
    const SubmissionId found = bench.lookUp("a");
    const SubmissionId missing = bench.lookUp("z");
    const SubmissionId open = bench.submit("b", 1, true);
    bench.serveAll();
    BOOST_TEST((bench.codeOf(reused) == ResultCode::RequestIdReused));
    BOOST_TEST((bench.codeOf(found) == ResultCode::RecordedOutcome));
    BOOST_TEST((bench.codeOf(missing) == ResultCode::UnknownRequest));
    BOOST_TEST((bench.codeOf(open) == ResultCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(a_lost_reply_is_resolved_by_reading_again)
{
    for (const bool tookEffect : {true, false}) {
        Bench bench;
        const SubmissionId submission = bench.submit("a");
        bench.serve();
        bench.serve(LedgerWriteResult::Unknown, tookEffect);
        BOOST_TEST(!bench.decision(submission).has_value());
        bench.serveAll();
        BOOST_TEST(bench.decision(submission).value().accepted);
        BOOST_TEST(bench.partition.counters().writes == (tookEffect ? 1U : 2U));
    }
}

BOOST_AUTO_TEST_CASE(a_refused_intent_that_took_effect_is_recorded_as_not_run_and_may_be_sent_again)
{
    Bench bench;
    const SubmissionId submission = bench.submit("a");
    bench.serve();
    bench.now += 200ms;
    bench.partition.onTimer(bench.now, bench.actions);
    BOOST_TEST((bench.codeOf(submission) == ResultCode::PlatformUnavailable));
    BOOST_TEST((bench.decision(submission)->execution == Execution::NotRun));
    bench.serveAll();
    bench.now += bench.decision(submission)->retryAfter;
    bench.partition.onTimer(bench.now, bench.actions);
    bench.serveAll();
    BOOST_TEST((parseLedgerRecord(bench.content).find({"a"})->state == LedgerState::NotRun));
    const SubmissionId again = bench.submit("a", 1, true);
    bench.serveAll();
    BOOST_TEST(bench.decision(again).value().accepted);
    BOOST_TEST(!bench.partition.idle());
    bench.partition.complete(bench.now, {"a"}, ResultCode::UpstreamShed, "", bench.actions);
    bench.serveAll();
    BOOST_TEST(bench.partition.idle());
}

BOOST_AUTO_TEST_CASE(an_outage_refuses_at_once_and_says_when_to_come_back)
{
    Bench bench;
    const SubmissionId first = bench.submit("a");
    bench.actions.clear();
    bench.partition.onReadFailed(bench.now, bench.actions);
    BOOST_TEST((bench.decision(first)->retryAfter == 250ms));
    bench.now += 100ms;
    const SubmissionId second = bench.submit("b");
    BOOST_TEST((bench.codeOf(second) == ResultCode::PlatformUnavailable));
    BOOST_TEST((bench.decision(second)->retryAfter == 150ms));
    const SubmissionId repeated = bench.submit("a", 1, true);
    BOOST_TEST((bench.decision(repeated)->execution == Execution::MayHaveRun));
    bench.now += 150ms;
    const SubmissionId later = bench.submit("b", 1, true);
    bench.serveAll();
    BOOST_TEST(bench.decision(later).value().accepted);
}

BOOST_AUTO_TEST_CASE(a_request_waits_no_longer_than_its_patience)
{
    Bench bench;
    bench.partition.submit(bench.now, bench.wall(), {{1}, {"a"}, {"caller"}, 1, wallStart, false, 30ms}, bench.actions);
    BOOST_TEST((bench.partition.nextTimer() == bench.now + 30ms));
    bench.now += 30ms;
    bench.partition.onTimer(bench.now, bench.actions);
    BOOST_TEST((bench.codeOf({1}) == ResultCode::PlatformUnavailable));
    bench.serveAll();
    BOOST_TEST(bench.partition.counters().writes == 0);
}

BOOST_AUTO_TEST_CASE(a_request_older_than_the_retention_or_from_the_future_is_refused)
{
    Bench bench;
    bench.now += 11min;
    const SubmissionId old = bench.submit("a", 1, true);
    const SubmissionId future = bench.submit("b", 1, false, {bench.wall().milliseconds + 61'000});
    bench.serveAll();
    BOOST_TEST((bench.codeOf(old) == ResultCode::RequestExpired));
    BOOST_TEST((bench.decision(old)->execution == Execution::MayHaveRun));
    BOOST_TEST((bench.codeOf(future) == ResultCode::MalformedRequest));
}

BOOST_AUTO_TEST_CASE(a_pruned_request_cannot_run_again_even_on_a_vm_whose_clock_is_behind)
{
    Bench bench;
    bench.submit("a");
    bench.serveAll();
    bench.now += 11min;
    bench.submit("b", 1, false, bench.wall());
    bench.serveAll();
    bench.submit("c", 1, false, bench.wall());
    bench.serveAll();
    BOOST_TEST((parseLedgerRecord(bench.content).find({"a"}) == nullptr));
    bench.now -= 10min;
    const SubmissionId repeat = bench.submit("a", 1, true);
    bench.serveAll();
    BOOST_TEST((bench.codeOf(repeat) == ResultCode::RequestExpired));
}

BOOST_AUTO_TEST_CASE(a_full_partition_refuses_new_intents_until_the_oldest_is_pruned)
{
    Bench bench({.maximumBytes = 400});
    const SubmissionId first = bench.submit("a");
    bench.submit("b");
    const SubmissionId third = bench.submit("c");
    bench.serveAll();
    BOOST_TEST(bench.decision(first).value().accepted);
    BOOST_TEST((bench.codeOf(third) == ResultCode::PlatformUnavailable));
    BOOST_TEST((bench.decision(third)->retryAfter == 10min));
    BOOST_TEST(bench.content.size() <= 400);
}

BOOST_AUTO_TEST_CASE(a_full_partition_takes_requests_again_after_the_retention_however_long_it_was_idle)
{
    for (const Duration idle : {Duration(11min), Duration(24h)}) {
        Bench bench({.maximumBytes = 400});
        bench.submit("a");
        bench.submit("b");
        bench.serveAll();
        const SubmissionId refused = bench.submit("c");
        bench.serveAll();
        BOOST_TEST(!bench.decision(refused).value().accepted);
        bench.now += idle;
        const SubmissionId later = bench.submit("d", 1, false, bench.wall());
        bench.serveAll();
        BOOST_TEST(bench.decision(later).value().accepted);
        BOOST_TEST((parseLedgerRecord(bench.content).find({"a"}) == nullptr));
    }
}

BOOST_AUTO_TEST_CASE(the_retention_bounds_what_is_stored)
{
    Bench bench({.retention = 10s});
    std::size_t mostEntries = 0;
    for (int second = 0; second < 1000; ++second) {
        const std::string id = "request-" + std::to_string(second);
        bench.submit(id, 1, false, bench.wall());
        bench.serveAll();
        bench.partition.complete(bench.now, {id}, ResultCode::Ok, "outcome", bench.actions);
        bench.now += 1s;
        bench.partition.onTimer(bench.now, bench.actions);
        bench.serveAll();
        mostEntries = std::max(mostEntries, parseLedgerRecord(bench.content).entries.size());
    }
    BOOST_TEST(bench.partition.counters().intents == 1000U);
    // Those of ten seconds, the one at their very start, and the one that was recorded since they were counted.
    BOOST_TEST(mostEntries <= 12U);
}

BOOST_AUTO_TEST_CASE(a_partition_that_cannot_be_read_is_never_overwritten)
{
    Bench bench;
    bench.content = "not a ledger";
    bench.index = 7;
    const SubmissionId submission = bench.submit("a");
    bench.serveAll();
    BOOST_TEST((bench.codeOf(submission) == ResultCode::PlatformUnavailable));
    BOOST_TEST(bench.content == "not a ledger");
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

BOOST_AUTO_TEST_CASE(partitions_take_turns_and_the_wait_follows_the_length_of_turns)
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
