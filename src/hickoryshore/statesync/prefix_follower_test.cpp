#include "hickoryshore/statesync/prefix_follower.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 100s;

struct Fixture
{
    PrefixFollower follower{1};
    std::vector<FollowerAction> actions;

    /// Returns the actions of one kind in order and clears all actions.
    template<typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> found;
        for (const FollowerAction &action : this->actions) {
            if (const auto *wanted = std::get_if<Action>(&action)) {
                found.push_back(*wanted);
            }
        }
        this->actions.clear();
        return found;
    }

    void list(std::uint64_t asOf)
    {
        this->follower.start(start, this->actions);
        this->follower.onPage(start, {.items = {{"a", "1", 3}, {"b", "2", 4}}, .asOf = {0, asOf}}, this->actions);
        this->actions.clear();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(prefix_follower, Fixture)

BOOST_AUTO_TEST_CASE(a_paged_listing_is_applied_whole_and_watched_from_its_first_page)
{
    this->follower.start(start, this->actions);
    BOOST_TEST(this->take<ListKeys>().at(0).after.empty());
    this->follower.onPage(start, {.items = {{"a", "1", 3}}, .hasMore = true, .asOf = {0, 10}}, this->actions);
    BOOST_TEST(this->take<ListKeys>().at(0).after == "a");
    this->follower.onPage(start, {.items = {{"b", "2", 11}}, .asOf = {0, 12}}, this->actions);
    const auto actions = this->actions;
    BOOST_TEST(this->take<ApplyListing>().at(0).items.size() == 2);
    this->actions = actions;
    BOOST_TEST(this->take<WatchKeys>().at(0).after.number == 10);
}

// Guards against a listing that fills the memory, because the store sends the same page for ever.
BOOST_AUTO_TEST_CASE(a_listing_whose_pages_repeat_starts_again_after_a_delay)
{
    // Two for each attempt, with delays of 0.4 s or more after the first four.
    constexpr int maxCalls = 30;
    this->follower.start(start, this->actions);
    Instant now = start;
    int calls = 0;
    for (; now < start + 5s; now += 10ms) {
        for (std::size_t due = this->take<ListKeys>().size(); due > 0; due = this->take<ListKeys>().size()) {
            BOOST_REQUIRE(++calls <= maxCalls);
            this->follower.onPage(now, {.items = {{"a", "1", 3}}, .hasMore = true, .asOf = {0, 10}}, this->actions);
        }
        this->follower.onTimer(now, this->actions);
    }
    BOOST_TEST(this->follower.items().empty());
    // A store that sends the next page again is listed whole.
    while (this->take<ListKeys>().empty()) {
        now += 10ms;
        this->follower.onTimer(now, this->actions);
    }
    this->follower.onPage(now, {.items = {{"a", "1", 3}}, .hasMore = true, .asOf = {0, 10}}, this->actions);
    this->follower.onPage(now, {.items = {{"b", "2", 4}}, .asOf = {0, 10}}, this->actions);
    BOOST_TEST(this->follower.items().size() == 2U);
}

BOOST_AUTO_TEST_CASE(changes_are_applied_once)
{
    this->list(10);
    this->follower.onChanges(
        start, {.changes = {{"a", "old", 3}, {"b", std::nullopt, 11}}, .asOf = {0, 11}}, this->actions);
    const auto changes = this->take<ApplyChange>();
    BOOST_TEST(changes.size() == 1);
    BOOST_TEST(changes.at(0).change.key == "b");
    BOOST_TEST(!changes.at(0).recentStoreOutage);
    BOOST_TEST(this->follower.asOf().number == 11);
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_take_few_calls)
{
    this->list(10);
    int watches = 0;
    std::uint64_t revision = 10;
    // A hundred replicas register within a second.
    for (Duration passed = 10ms; passed <= 1s; passed += 10ms) {
        if (this->follower.nextTimer().has_value()) {
            this->follower.onTimer(start + passed, this->actions);
        } else {
            this->follower.onChanges(
                start + passed, {.changes = {{"c", "x", ++revision}}, .asOf = {0, revision}}, this->actions);
        }
        watches += static_cast<int>(this->take<WatchKeys>().size());
    }
    BOOST_TEST(watches <= 4);
}

// Guards against a watch that the store has lost: its wait bounds for how long it hides changes.
BOOST_AUTO_TEST_CASE(a_watch_waits_briefly_and_not_at_all_after_a_failure)
{
    this->follower.start(start, this->actions);
    this->follower.onPage(start, {.items = {}, .asOf = {0, 10}}, this->actions);
    BOOST_TEST((this->take<WatchKeys>().at(0).wait <= 2s));
    this->follower.onFailure(start + 3s, StoreFailure::Unavailable, this->actions);
    const Instant retry = this->follower.nextTimer().value();
    this->follower.onTimer(retry, this->actions);
    BOOST_TEST((this->take<WatchKeys>().at(0).wait == 0s));
    this->follower.onChanges(retry, {.changes = {}, .asOf = {0, 10}}, this->actions);
    const Instant next = this->follower.nextTimer().value();
    this->follower.onTimer(next, this->actions);
    BOOST_TEST((this->take<WatchKeys>().at(0).wait > 0s));
}

BOOST_AUTO_TEST_CASE(the_age_counts_from_the_last_confirmation_of_the_store)
{
    BOOST_TEST(!this->follower.age(start).has_value());
    this->list(10);
    // The pending watch confirms nothing.
    BOOST_TEST((this->follower.age(start + 3s) == 3s));
    this->follower.onChanges(start + 4s, {.changes = {}, .asOf = {0, 10}}, this->actions);
    BOOST_TEST((this->follower.age(start + 4s) == 0s));
    // A peer confirms what the store confirmed to it.
    this->follower.onChanges(start + 9s, {.changes = {}, .asOf = {0, 10}, .age = 2s}, this->actions);
    BOOST_TEST((this->follower.age(start + 9s) == 2s));
    this->follower.onPeerChanges(start + 9s, {.changes = {}, .asOf = {0, 10}, .age = 30s}, this->actions);
    BOOST_TEST((this->follower.age(start + 9s) == 2s));
    this->follower.onPeerState(start + 9s, {.items = {}, .asOf = {0, 8}, .age = 1s}, this->actions);
    BOOST_TEST((this->follower.age(start + 9s) == 1s));
    this->follower.onFailure(start + 10s, StoreFailure::Unavailable, this->actions);
    BOOST_TEST((this->follower.age(start + 10s) == 2s));
}

BOOST_AUTO_TEST_CASE(an_earlier_era_does_not_confirm_the_state_of_a_later_one)
{
    this->list(10);
    this->follower.onPeerState(start + 5s, {.items = {{"a", "1", 2}}, .asOf = {1, 3}, .age = 4s}, this->actions);
    BOOST_TEST((this->follower.age(start + 5s) == 4s));
    this->follower.onPeerState(start + 5s, {.items = {}, .asOf = {0, 20}}, this->actions);
    BOOST_TEST((this->follower.age(start + 5s) == 4s));
}

BOOST_AUTO_TEST_CASE(missing_history_leads_to_a_new_listing)
{
    this->list(10);
    this->follower.onFailure(start, StoreFailure::HistoryGone, this->actions);
    BOOST_TEST(this->take<ListKeys>().size() == 1);
}

// Guards against a watch that is sent again and again, although its answer is longer than any that is read.
BOOST_AUTO_TEST_CASE(an_unreadable_answer_leads_to_a_new_listing_and_is_no_outage)
{
    this->list(10);
    const Instant failed = start + PrefixFollower::minOutage + 1s;
    this->follower.onFailure(failed, StoreFailure::Unreadable, this->actions);
    BOOST_TEST(!this->follower.isCutOff());
    const Instant retry = this->follower.nextTimer().value();
    BOOST_TEST((retry > failed && retry <= failed + 100ms));
    this->actions.clear();
    this->follower.onTimer(retry, this->actions);
    BOOST_TEST(this->take<ListKeys>().size() == 1U);
    this->follower.onPage(retry, {.items = {{"b", "2", 4}}, .asOf = {0, 12}}, this->actions);
    BOOST_TEST(this->take<WatchKeys>().at(0).after.number == 12U);
    // A writer that goes on does not make listings more frequent than watches.
    const Instant again = retry + 10ms;
    this->follower.onFailure(again, StoreFailure::Unreadable, this->actions);
    const Instant secondRetry = this->follower.nextTimer().value();
    this->follower.onTimer(secondRetry, this->actions);
    this->actions.clear();
    this->follower.onPage(secondRetry, {.items = {{"b", "2", 4}}, .asOf = {0, 14}}, this->actions);
    BOOST_TEST(this->take<WatchKeys>().empty());
    BOOST_TEST((this->follower.nextTimer().value() >= retry + PrefixFollower::watchInterval));
}

BOOST_AUTO_TEST_CASE(removals_after_a_store_outage_are_marked)
{
    this->list(10);
    const Instant failed = start + PrefixFollower::minOutage;
    this->follower.onFailure(failed, StoreFailure::Unavailable, this->actions);
    BOOST_TEST(this->follower.isCutOff());
    BOOST_TEST(!this->take<StoreReachable>().at(0).reachable);
    const Instant retry = this->follower.nextTimer().value();
    BOOST_TEST((retry > failed && retry <= failed + 100ms));
    this->follower.onTimer(retry, this->actions);
    BOOST_TEST(this->take<WatchKeys>().at(0).after.number == 10);
    this->follower.onChanges(retry, {.changes = {{"a", std::nullopt, 12}}, .asOf = {0, 12}}, this->actions);
    BOOST_TEST(!this->follower.isCutOff());
    BOOST_TEST(this->take<ApplyChange>().at(0).recentStoreOutage);
    // Live writers have restored their keys by now.
    const Instant later = retry + PrefixFollower::recentOutagePeriod;
    this->follower.onChanges(later, {.changes = {{"b", std::nullopt, 13}}, .asOf = {0, 13}}, this->actions);
    BOOST_TEST(!this->take<ApplyChange>().at(0).recentStoreOutage);
}

// Guards against withdrawn replicas that stay in use, because the store turns away a VM while it serves the others.
BOOST_AUTO_TEST_CASE(a_failed_call_is_no_store_outage_while_others_are_served)
{
    this->list(10);
    for (Duration passed = 500ms; passed <= 6s; passed += 1s) {
        this->follower.onFailure(start + passed, StoreFailure::Unavailable, this->actions);
        this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
        this->follower.onChanges(start + passed + 500ms, {.changes = {}, .asOf = {0, 10}, .age = 200ms}, this->actions);
    }
    this->actions.clear();
    this->follower.onFailure(start + 6500ms, StoreFailure::Unavailable, this->actions);
    this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
    this->actions.clear();
    this->follower.onChanges(
        start + 7s, {.changes = {{"a", std::nullopt, 12}}, .asOf = {0, 12}, .age = 200ms}, this->actions);
    BOOST_TEST(!this->take<ApplyChange>().at(0).recentStoreOutage);
}

// Guards against withdrawn replicas that stay in use, because calls that were sent in an outage timed out long after
// it.
BOOST_AUTO_TEST_CASE(an_outage_is_over_once_the_store_has_confirmed_the_state_to_any_vm)
{
    this->list(10);
    // The store is away for 5 s. A peer hears of its return at once, while this VM's own call times out later.
    const Instant returned = start + 5s;
    this->follower.onPeerChanges(returned + 200ms, {.changes = {}, .asOf = {0, 10}, .age = 200ms}, this->actions);
    BOOST_TEST(this->follower.hadRecentOutage(returned + 200ms));
    const Instant timedOut = returned + 2500ms;
    this->follower.onFailure(timedOut, StoreFailure::Unavailable, this->actions);
    // The delay before the next call has passed while this one timed out.
    const Instant retry = this->follower.nextTimer().value();
    BOOST_TEST((retry > timedOut && retry <= timedOut + 100ms));
    this->follower.onTimer(retry, this->actions);
    this->actions.clear();
    this->follower.onChanges(retry, {.changes = {{"b", std::nullopt, 13}}, .asOf = {0, 13}}, this->actions);
    BOOST_TEST(!this->take<ApplyChange>().at(0).recentStoreOutage);
}

// Guards against withdrawn replicas that stay in use, because the VMs that this one follows fell silent while the store
// served all others.
BOOST_AUTO_TEST_CASE(the_silence_of_peers_is_no_store_outage)
{
    // The peer's state was confirmed 2 s before it was told.
    this->follower.start(start, this->actions);
    this->follower.onCallSentToPeer();
    this->follower.onPage(start, {.items = {{"a", "1", 3}, {"b", "2", 4}}, .asOf = {0, 10}, .age = 2s}, this->actions);
    this->follower.onCallSentToPeer();
    this->follower.onFailure(start + 1600ms, StoreFailure::PeerUnavailable, this->actions);
    this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
    this->follower.onCallSentToPeer();
    this->follower.onFailure(start + 2300ms, StoreFailure::PeerUnavailable, this->actions);
    // The store itself answers at once.
    this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
    this->actions.clear();
    this->follower.onChanges(start + 2500ms, {.changes = {{"a", std::nullopt, 12}}, .asOf = {0, 12}}, this->actions);
    BOOST_TEST(!this->follower.hadRecentOutage(start + 2500ms));
    const auto actions = this->actions;
    BOOST_TEST(!this->take<ApplyChange>().at(0).recentStoreOutage);
    this->actions = actions;
    BOOST_TEST(this->take<StoreOutageEnded>().empty());
}

// The same if another peer, rather than the store, tells what happened meanwhile.
BOOST_AUTO_TEST_CASE(changes_from_a_peer_after_the_silence_of_another_follow_no_store_outage)
{
    this->follower.start(start, this->actions);
    this->follower.onCallSentToPeer();
    this->follower.onPage(start, {.items = {{"a", "1", 3}}, .asOf = {0, 10}, .age = 2s}, this->actions);
    this->follower.onCallSentToPeer();
    this->actions.clear();
    this->follower.onPeerChanges(
        start + 2s, {.changes = {{"a", std::nullopt, 12}}, .asOf = {0, 12}, .age = 100ms}, this->actions);
    BOOST_TEST(!this->take<ApplyChange>().at(0).recentStoreOutage);
}

// Guards against living replicas that are dropped after an outage: a VM whose peers fell silent first has asked the
// store itself for long enough to know.
BOOST_AUTO_TEST_CASE(unanswered_calls_to_the_store_show_an_outage_whatever_peers_do)
{
    this->follower.start(start, this->actions);
    this->follower.onCallSentToPeer();
    this->follower.onPage(start, {.items = {{"a", "1", 3}}, .asOf = {0, 10}}, this->actions);
    this->follower.onCallSentToPeer();
    this->follower.onFailure(start + 1s, StoreFailure::PeerUnavailable, this->actions);
    const Instant asked = this->follower.nextTimer().value();
    this->follower.onTimer(asked, this->actions);
    this->follower.onFailure(asked + 1s, StoreFailure::Unavailable, this->actions);
    this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
    this->follower.onCallSentToPeer();
    this->follower.onFailure(asked + 2500ms, StoreFailure::PeerStale, this->actions);
    this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
    this->actions.clear();
    const Instant returned = asked + PrefixFollower::minOutage + 1ms;
    this->follower.onChanges(returned, {.changes = {{"a", std::nullopt, 12}}, .asOf = {0, 12}}, this->actions);
    const auto actions = this->actions;
    BOOST_TEST(this->take<ApplyChange>().at(0).recentStoreOutage);
    this->actions = actions;
    const auto ended = this->take<StoreOutageEnded>();
    BOOST_REQUIRE(ended.size() == 1);
    BOOST_TEST((ended.front().evidence == OutageEvidence::UnansweredCalls));
    BOOST_TEST((ended.front().silence == PrefixFollower::minOutage + 1ms));
}

// Guards against withdrawn replicas that stay in use, because a VM that was paused takes its own silence for an outage.
BOOST_AUTO_TEST_CASE(a_pause_of_this_vm_is_no_store_outage)
{
    this->list(10);
    this->follower.onPaused(start + 5s);
    this->follower.onChanges(start + 5s, {.changes = {{"a", std::nullopt, 12}}, .asOf = {0, 12}}, this->actions);
    BOOST_TEST(!this->take<ApplyChange>().at(0).recentStoreOutage);
    // The time after the pause counts.
    const Instant asked = start + 5s;
    this->follower.onPaused(asked + 1s);
    this->follower.onFailure(asked + 2s, StoreFailure::Unavailable, this->actions);
    this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
    this->actions.clear();
    const Instant returned = asked + 1s + PrefixFollower::minOutage + 1ms;
    this->follower.onChanges(returned, {.changes = {{"b", std::nullopt, 13}}, .asOf = {0, 13}}, this->actions);
    BOOST_TEST(this->take<ApplyChange>().at(0).recentStoreOutage);
}

// A VM that starts in an outage has no state yet, but the VMs that follow it have.
BOOST_AUTO_TEST_CASE(a_vm_that_starts_during_an_outage_reports_it_to_peers)
{
    this->follower.start(start, this->actions);
    this->follower.onFailure(start + 2s, StoreFailure::Unavailable, this->actions);
    this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
    this->follower.onPage(start + 4s, {.items = {{"a", "1", 3}}, .asOf = {0, 10}}, this->actions);
    BOOST_TEST((this->follower.timeSinceOutage(start + 5s) == 1s));
}

BOOST_AUTO_TEST_CASE(a_mass_expiry_does_not_prolong_an_outage)
{
    std::vector<StoreItem> items;
    std::vector<StoreChange> expired;
    for (std::uint64_t number = 1; number <= 8; ++number) {
        const std::string key = "k" + std::to_string(number);
        items.push_back({key, "1", number});
        if (number > 1) {
            expired.push_back({key, std::nullopt, 10 + number});
        }
    }
    this->follower.start(start, this->actions);
    this->follower.onPage(start, {.items = items, .asOf = {0, 10}}, this->actions);
    this->follower.onFailure(start + 3s, StoreFailure::Unavailable, this->actions);
    // The call ended 1 s after another VM found the store back.
    const Instant returned = start + 4s;
    this->follower.onPeerChanges(returned, {.changes = {}, .asOf = {0, 10}}, this->actions);
    const Instant heard = returned + 1s;
    this->follower.onTimer(heard, this->actions);
    this->follower.onChanges(heard, {.changes = expired, .asOf = {0, 20}}, this->actions);
    for (const ApplyChange &applied : this->take<ApplyChange>()) {
        BOOST_TEST(applied.recentStoreOutage);
    }
    BOOST_TEST(!this->follower.hadRecentOutage(returned + PrefixFollower::recentOutagePeriod));
}

BOOST_AUTO_TEST_CASE(a_peer_failure_is_not_a_store_outage)
{
    // An unreachable peer does not indicate a store outage, so the entry of a replica that leaves afterwards was
    // removed and did not expire.
    this->list(10);
    this->follower.onFailure(start, StoreFailure::PeerUnavailable, this->actions);
    BOOST_TEST(this->follower.isCutOff());
    const Instant retry = this->follower.nextTimer().value();
    this->follower.onTimer(retry, this->actions);
    this->actions.clear();
    this->follower.onChanges(retry, {.changes = {{"a", std::nullopt, 12}}, .asOf = {0, 12}}, this->actions);
    BOOST_TEST(!this->take<ApplyChange>().at(0).recentStoreOutage);
}

BOOST_AUTO_TEST_CASE(many_keys_removed_together_count_as_expired)
{
    // The leases of all writers expire during a store outage, which a pending watch does not report.
    std::vector<StoreItem> items;
    std::vector<StoreChange> lapsed;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        const std::string key = "k" + std::to_string(number);
        items.push_back({key, "1", number});
        if (number > 10) {
            lapsed.push_back({key, std::nullopt, 30 + number});
        }
    }
    this->follower.start(start, this->actions);
    this->follower.onPage(start, {.items = items, .asOf = {0, 25}}, this->actions);
    this->actions.clear();
    // The store confirmed the state shortly before, so only the number of removals indicates the outage.
    this->follower.onChanges(start + 59s, {.changes = {}, .asOf = {0, 25}}, this->actions);
    BOOST_TEST(!this->follower.hadRecentOutage(start + 62s));
    this->actions.clear();
    this->follower.onChanges(start + 62s, {.changes = lapsed, .asOf = {0, 60}}, this->actions);
    for (const ApplyChange &taken : this->take<ApplyChange>()) {
        BOOST_TEST(taken.recentStoreOutage);
    }
    // A removal soon afterwards belongs to the same outage.
    this->follower.onChanges(start + 63s, {.changes = {{"k1", std::nullopt, 61}}, .asOf = {0, 61}}, this->actions);
    BOOST_TEST(this->take<ApplyChange>().at(0).recentStoreOutage);
}

BOOST_AUTO_TEST_CASE(many_keys_missing_from_a_listing_count_as_expired)
{
    std::vector<StoreItem> items;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        items.push_back({"k" + std::to_string(number), "1", number});
    }
    this->follower.start(start, this->actions);
    this->follower.onPage(start, {.items = items, .asOf = {0, 25}}, this->actions);
    this->follower.onChanges(start + 59s, {.changes = {}, .asOf = {0, 25}}, this->actions);
    this->follower.onFailure(start + 62s, StoreFailure::HistoryGone, this->actions);
    this->actions.clear();
    items.resize(10);
    this->follower.onPage(start + 62s, {.items = items, .asOf = {0, 60}}, this->actions);
    BOOST_TEST(this->take<ApplyListing>().at(0).recentStoreOutage);
}

BOOST_AUTO_TEST_CASE(a_few_removed_keys_count_as_removed)
{
    this->list(10);
    this->follower.onChanges(
        start, {.changes = {{"a", std::nullopt, 11}, {"b", std::nullopt, 12}}, .asOf = {0, 12}}, this->actions);
    for (const ApplyChange &taken : this->take<ApplyChange>()) {
        BOOST_TEST(!taken.recentStoreOutage);
    }
}

BOOST_AUTO_TEST_CASE(an_older_listing_is_ignored)
{
    this->list(10);
    this->follower.onFailure(start, StoreFailure::HistoryGone, this->actions);
    this->actions.clear();
    this->follower.onPage(start, {.items = {}, .asOf = {0, 9}}, this->actions);
    BOOST_TEST(this->take<ApplyListing>().empty());
    BOOST_TEST(this->follower.items().size() == 2);
}

BOOST_AUTO_TEST_CASE(only_newer_peer_states_are_applied)
{
    this->follower.start(start, this->actions);
    this->follower.onFailure(start, StoreFailure::Unavailable, this->actions);
    this->actions.clear();
    this->follower.onPeerState(start, {.items = {{"a", "1", 3}}, .asOf = {0, 7}}, this->actions);
    BOOST_TEST(this->take<ApplyListing>().size() == 1);
    this->follower.onPeerState(start, {.items = {}, .asOf = {0, 7}}, this->actions);
    BOOST_TEST(this->take<ApplyListing>().empty());
    this->follower.onTimer(start + 1s, this->actions);
    BOOST_TEST(this->take<WatchKeys>().at(0).after.number == 7);
}

BOOST_AUTO_TEST_CASE(changes_older_than_a_peer_state_are_ignored)
{
    // A watch is pending at a source that lags behind. Meanwhile a peer sends a newer state without a key that the
    // source still adds.
    this->list(10);
    this->follower.onPeerState(start, {.items = {{"a", "1", 3}}, .asOf = {0, 20}}, this->actions);
    this->actions.clear();
    this->follower.onChanges(start, {.changes = {{"c", "left", 12}, {"b", "old", 13}}, .asOf = {0, 14}}, this->actions);
    BOOST_TEST(this->take<ApplyChange>().empty());
    BOOST_TEST(this->follower.items().size() == 1);
    BOOST_TEST(this->follower.asOf().number == 20);
}

BOOST_AUTO_TEST_CASE(peer_changes_are_applied_during_a_watch)
{
    this->list(10);
    this->follower.onPeerChanges(start, {.changes = {{"b", std::nullopt, 12}}, .asOf = {0, 12}}, this->actions);
    const auto changes = this->take<ApplyChange>();
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST(changes.front().change.key == "b");
    // The pending watch returns the same change again.
    this->follower.onChanges(
        start, {.changes = {{"b", std::nullopt, 12}, {"c", "3", 13}}, .asOf = {0, 13}}, this->actions);
    BOOST_TEST(this->take<ApplyChange>().size() == 1);
    // Changes from a peer of another era, or from one that lags behind, are ignored.
    this->follower.onPeerChanges(start, {.changes = {{"a", "9", 20}}, .asOf = {1, 20}}, this->actions);
    this->follower.onPeerChanges(start, {.changes = {{"a", "9", 12}}, .asOf = {0, 12}}, this->actions);
    BOOST_TEST(this->actions.empty());
}

// Guards against a VM that keeps every version of a large value, and against answers to peers that hold them all.
BOOST_AUTO_TEST_CASE(a_key_that_changes_often_is_one_change_for_peers)
{
    constexpr std::size_t valueBytes = 250'000;
    constexpr std::uint64_t versions = 400;
    this->list(10);
    for (std::uint64_t version = 1; version <= versions; ++version) {
        const std::string value(valueBytes, version % 2 == 0 ? 'e' : 'o');
        const std::uint64_t revision = 10 + version;
        this->follower.onPeerChanges(
            start, {.changes = {{"a", value, revision}}, .asOf = {0, revision}}, this->actions);
        this->actions.clear();
    }
    this->follower.onPeerChanges(start, {.changes = {{"b", std::nullopt, 600}}, .asOf = {0, 600}}, this->actions);
    const auto changes = this->follower.changesAfter({0, 10});
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->size() == 2U);
    BOOST_TEST((changes->front().value == std::string(valueBytes, 'e')));
    BOOST_TEST(changes->front().revision == 10 + versions);
    BOOST_TEST(!changes->back().value.has_value());
}

// Guards against a change that followers never hear of: an entry that was written between two pages of a listing is in
// the state of the VM that listed, but not in that of the VMs that follow it from the first page's revision.
BOOST_AUTO_TEST_CASE(changes_between_two_pages_of_a_listing_reach_peers)
{
    this->follower.start(start, this->actions);
    this->follower.onPage(start, {.items = {{"a", "1", 3}}, .hasMore = true, .asOf = {0, 10}}, this->actions);
    // Meanwhile b is written at 11, c at 12 and again at 13, and d is removed at 14.
    this->follower.onPage(start, {.items = {{"b", "new", 11}, {"c", "newer", 13}}, .asOf = {0, 14}}, this->actions);
    BOOST_TEST(this->follower.asOf().number == 10U);
    this->actions.clear();
    this->follower.onChanges(
        start,
        {.changes = {{"b", "new", 11}, {"c", "new", 12}, {"c", "newer", 13}, {"d", std::nullopt, 14}}, .asOf = {0, 14}},
        this->actions);
    // Only the removal is new here.
    BOOST_TEST(this->take<ApplyChange>().size() == 1U);
    PrefixFollower peer{2};
    peer.start(start, this->actions);
    peer.onPage(start, {.items = {{"a", "1", 3}, {"d", "4", 4}}, .asOf = {0, 10}}, this->actions);
    const auto changes = this->follower.changesAfter({0, 10});
    BOOST_REQUIRE(changes.has_value());
    peer.onChanges(start, {.changes = *changes, .asOf = this->follower.asOf()}, this->actions);
    const auto expected = this->follower.items();
    const auto followed = peer.items();
    BOOST_REQUIRE(followed.size() == expected.size());
    for (std::size_t item = 0; item < expected.size(); ++item) {
        BOOST_TEST(followed[item].key == expected[item].key);
        BOOST_TEST(followed[item].value == expected[item].value);
        BOOST_TEST(followed[item].revision == expected[item].revision);
    }
}

BOOST_AUTO_TEST_CASE(a_store_restored_from_an_older_copy_is_listed_and_watched)
{
    this->list(100);
    this->follower.onFailure(start, StoreFailure::HistoryGone, this->actions);
    BOOST_TEST(this->take<ListKeys>().size() == 1);
    this->follower.onPage(start, {.items = {{"a", "old", 2}}, .asOf = {1, 61}}, this->actions);
    const auto actions = this->actions;
    const ApplyListing listing = this->take<ApplyListing>().at(0);
    BOOST_TEST(listing.fromOlderCopy);
    BOOST_TEST(listing.recentStoreOutage);
    this->actions = actions;
    BOOST_TEST((this->take<WatchKeys>().at(0).after == StoreRevision{1, 61}));
    // A number that the earlier era also used denotes a new change.
    this->follower.onChanges(start, {.changes = {{"b", "new", 62}}, .asOf = {1, 62}}, this->actions);
    BOOST_TEST(this->take<ApplyChange>().at(0).change.value.value() == "new");
}

BOOST_AUTO_TEST_CASE(a_watch_that_spans_a_restore_leads_to_a_listing)
{
    // The store is restored during the watch, so the returned changes follow a number of the earlier era.
    this->list(100);
    this->follower.onChanges(start, {.changes = {{"b", "new", 101}}, .asOf = {1, 101}}, this->actions);
    BOOST_TEST(this->actions.empty());
    const Instant listing = this->follower.nextTimer().value();
    BOOST_TEST((listing <= start + PrefixFollower::maxListingDelay));
    this->follower.onTimer(listing, this->actions);
    BOOST_TEST(this->take<ListKeys>().size() == 1);
}

BOOST_AUTO_TEST_CASE(a_listing_with_pages_of_two_eras_restarts)
{
    this->follower.start(start, this->actions);
    this->follower.onPage(start, {.items = {{"a", "1", 3}}, .hasMore = true, .asOf = {0, 100}}, this->actions);
    this->actions.clear();
    this->follower.onPage(start, {.items = {{"c", "1", 4}}, .asOf = {1, 60}}, this->actions);
    BOOST_TEST(this->actions.empty());
    this->follower.onTimer(this->follower.nextTimer().value(), this->actions);
    BOOST_TEST(this->take<ListKeys>().at(0).after.empty());
}

BOOST_AUTO_TEST_CASE(a_peer_state_of_an_earlier_era_is_ignored)
{
    this->list(100);
    this->follower.onFailure(start, StoreFailure::HistoryGone, this->actions);
    this->follower.onPage(start, {.items = {{"a", "1", 3}}, .asOf = {1, 61}}, this->actions);
    this->actions.clear();
    this->follower.onPeerState(start, {.items = {}, .asOf = {0, 100}}, this->actions);
    BOOST_TEST(this->take<ApplyListing>().empty());
    BOOST_TEST((this->follower.asOf() == StoreRevision{1, 61}));
    // It also returns no changes for a revision of an earlier era.
    BOOST_TEST(!this->follower.changesAfter({0, 100}).has_value());
    BOOST_TEST(this->follower.changesAfter({1, 61}).value().empty());
    BOOST_TEST(this->follower.changesAfter({2, 5}).value().empty());
}

BOOST_AUTO_TEST_CASE(a_watch_of_an_earlier_era_is_ignored_after_a_peer_state)
{
    this->list(100);
    this->follower.onPeerState(start, {.items = {{"a", "1", 3}}, .asOf = {1, 61}}, this->actions);
    this->actions.clear();
    this->follower.onChanges(start + 1s, {.changes = {{"a", "0", 101}}, .asOf = {0, 101}}, this->actions);
    BOOST_TEST(this->take<ApplyChange>().empty());
    this->follower.onTimer(start + 2s, this->actions);
    BOOST_TEST((this->follower.asOf() == StoreRevision{1, 61}));
}

BOOST_AUTO_TEST_CASE(calls_to_a_store_without_history_are_limited)
{
    // Every watch fails with HistoryGone, and every listing is older than the current state or equal to it.
    this->list(100);
    int calls = 0;
    std::uint64_t listed = 61;
    enum class Waiting { Nothing, Listing, Watch };
    Waiting waiting = Waiting::Watch;
    for (Duration passed = 0ms; passed <= 2s; passed += 1ms) {
        const Instant now = start + passed;
        if (waiting == Waiting::Listing) {
            ++calls;
            this->follower.onPage(now, {.items = {{"a", "1", 3}}, .asOf = {0, listed}}, this->actions);
            listed = listed == 61 ? 100 : 61;
        } else if (waiting == Waiting::Watch) {
            ++calls;
            this->follower.onFailure(now, StoreFailure::HistoryGone, this->actions);
        }
        waiting = Waiting::Nothing;
        this->follower.onTimer(now, this->actions);
        const auto actions = this->actions;
        if (!this->take<ListKeys>().empty()) {
            waiting = Waiting::Listing;
        }
        this->actions = actions;
        if (!this->take<WatchKeys>().empty()) {
            waiting = Waiting::Watch;
        }
    }
    BOOST_TEST(calls <= 30);
}

BOOST_AUTO_TEST_CASE(peers_do_not_prolong_an_outage_for_each_other)
{
    // Two VMs request changes from each other long after one of them saw a store outage.
    PrefixFollower other{2};
    this->list(10);
    other.start(start, this->actions);
    other.onPage(start, {.items = {{"a", "1", 3}}, .asOf = {0, 10}}, this->actions);
    // Only this one followed the store in the 4 s before, in which it was away.
    const Instant returned = start + 4s;
    other.onChanges(returned - 1s, {.changes = {}, .asOf = {0, 10}}, this->actions);
    this->follower.onChanges(returned, {.changes = {}, .asOf = {0, 10}}, this->actions);
    std::uint64_t number = 10;
    for (Duration passed = 500ms; passed <= 8s; passed += 500ms) {
        const Instant now = returned + passed;
        const StoreChange change{.key = "b", .value = "2", .revision = ++number};
        other.onPeerChanges(
            now,
            {.changes = {change}, .asOf = {0, number}, .timeSinceStoreOutage = this->follower.timeSinceOutage(now)},
            this->actions);
        this->follower.onPeerChanges(
            now,
            {.changes = {change}, .asOf = {0, number}, .timeSinceStoreOutage = other.timeSinceOutage(now)},
            this->actions);
        BOOST_TEST(other.hadRecentOutage(now) == (passed < PrefixFollower::recentOutagePeriod));
        BOOST_TEST(this->follower.hadRecentOutage(now) == (passed < PrefixFollower::recentOutagePeriod));
    }
}

BOOST_AUTO_TEST_SUITE_END()
