#include "hickoryshore/membership/roster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr Duration suspicionTimeout = 5s;

MemberUpdate makeUpdate(int vm, std::uint64_t process, std::uint32_t incarnation, MemberState state)
{
    return {.vm = {"vm-" + std::to_string(vm)},
            .processId = process,
            .started = {static_cast<std::int64_t>(process) / 2},
            .incarnation = incarnation,
            .state = state,
            .description = MemberDescription{.address = "10.0.0.1", .membershipPort = 1}};
}

std::vector<MemberUpdate> anyHistory()
{
    std::vector<MemberUpdate> history;
    for (int count = *rc::gen::inRange(1, 30); count > 0; --count) {
        history.push_back(makeUpdate(*rc::gen::inRange(0, 4),
                                     *rc::gen::inRange<std::uint64_t>(1, 4),
                                     *rc::gen::inRange<std::uint32_t>(0, 3),
                                     static_cast<MemberState>(*rc::gen::inRange(0, 4))));
    }
    return history;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_order_of_updates_does_not_matter)
{
    const bool holds = rc::check("merge", [] {
        std::vector<MemberUpdate> history = anyHistory();
        MembershipRandom random(1);
        Roster first;
        for (const MemberUpdate &update : history) {
            first.merge(Instant(0s), update, suspicionTimeout, random);
        }
        MembershipRandom order(*rc::gen::arbitrary<std::uint64_t>());
        std::ranges::shuffle(history, order);
        Roster second;
        for (const MemberUpdate &update : history) {
            second.merge(Instant(0s), update, suspicionTimeout, random);
            second.merge(Instant(0s), update, suspicionTimeout, random); // A repeated update has no effect.
        }
        RC_ASSERT(first.members() == second.members());
        RC_ASSERT(first.peerCount() == second.peerCount());
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(each_peer_that_is_not_dead_comes_once_a_round)
{
    MembershipRandom random(2);
    Roster roster;
    for (int number = 0; number < 20; ++number) {
        const MemberState state = number < 5 ? MemberState::Dead : MemberState::Alive;
        roster.merge(Instant(0s), makeUpdate(number, 1, 0, state), suspicionTimeout, random);
    }
    for (int round = 0; round < 3; ++round) {
        std::set<VmId> seen;
        for (int count = 0; count < 15; ++count) {
            seen.insert(*roster.nextPeer(random));
        }
        BOOST_TEST(seen.size() == 15U);
        BOOST_TEST(!seen.contains({"vm-3"}));
    }
}

BOOST_AUTO_TEST_CASE(a_suspicion_times_out_later_by_a_pause_and_dead_members_are_forgotten)
{
    MembershipRandom random(3);
    Roster roster;
    roster.merge(Instant(0s), makeUpdate(1, 1, 0, MemberState::Suspect), suspicionTimeout, random);
    roster.postponeSuspicions(2s);
    BOOST_TEST(roster.overdueSuspects(Instant(6s)).empty());
    BOOST_TEST(roster.overdueSuspects(Instant(7s)).size() == 1U);
    roster.merge(Instant(7s), makeUpdate(1, 1, 0, MemberState::Dead), suspicionTimeout, random);
    roster.forgetDeadSince(Instant(7s));
    BOOST_TEST(roster.find({"vm-1"}) != nullptr);
    roster.forgetDeadSince(Instant(8s));
    BOOST_TEST(roster.find({"vm-1"}) == nullptr);
    BOOST_TEST(!roster.randomDead(random).has_value());
}

BOOST_AUTO_TEST_CASE(an_unknown_process_is_accepted_only_with_its_description)
{
    MembershipRandom random(4);
    Roster roster;
    MemberUpdate update = makeUpdate(1, 5, 0, MemberState::Alive);
    update.description.reset();
    BOOST_TEST(roster.merge(Instant(0s), update, suspicionTimeout, random).unknownProcess);
    BOOST_TEST(roster.find(update.vm) == nullptr);
    roster.merge(Instant(0s), makeUpdate(1, 5, 0, MemberState::Alive), suspicionTimeout, random);
    update.processId = 2; // The previous process, which has been replaced.
    update.started = {1};
    BOOST_TEST(!roster.merge(Instant(0s), update, suspicionTimeout, random).unknownProcess);
}
