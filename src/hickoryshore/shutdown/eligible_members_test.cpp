#include "hickoryshore/shutdown/eligible_members.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{std::chrono::hours(1)};

Member makeMember(int number, std::uint64_t revision)
{
    return {.vm = {"vm-" + std::to_string(number)},
            .processId = static_cast<std::uint64_t>(number),
            .configRevision = {revision}};
}

bool contains(const MembershipView &view, const std::string &vm)
{
    return std::ranges::find(view.members, VmId{vm}, &Member::vm) != view.members.end();
}

} // namespace

BOOST_AUTO_TEST_CASE(members_without_a_reported_revision_become_eligible_after_a_while)
{
    // 138 VMs that started together: most have not exchanged a message with this one since they received a
    // configuration.
    MembershipView view{.self = {"vm-1"}, .members = {}};
    for (int number = 1; number <= 138; ++number) {
        view.members.push_back(makeMember(number, number <= 10 ? 5 : 0));
    }
    EligibleMembers eligible;
    eligible.setView(start, std::make_shared<MembershipView>(view));
    BOOST_TEST(eligible.at(start, true).members.size() == 10U);
    eligible.setView(start + 1s, std::make_shared<MembershipView>(view));
    BOOST_TEST(eligible.at(start + 2s, true).members.size() == 10U);
    BOOST_TEST(eligible.at(start + 3s, true).members.size() == 138U);
}

BOOST_AUTO_TEST_CASE(a_restarted_vm_waits_again_and_a_dead_one_is_not_eligible)
{
    MembershipView view{.self = {"vm-1"}, .members = {makeMember(1, 5), makeMember(2, 5), makeMember(3, 5)}};
    EligibleMembers eligible;
    eligible.setView(start, std::make_shared<MembershipView>(view));
    view.members[1] = makeMember(2, 0);
    view.members[1].processId = 77;
    view.members[2].state = MemberState::Dead;
    eligible.setView(start + 10s, std::make_shared<MembershipView>(view));
    BOOST_TEST(!contains(eligible.at(start + 11s, true), "vm-2"));
    BOOST_TEST(contains(eligible.at(start + 13s, true), "vm-2"));
    BOOST_TEST(!contains(eligible.at(start + 13s, true), "vm-3"));
}

BOOST_AUTO_TEST_CASE(a_vm_is_eligible_itself_only_while_it_is_complete)
{
    EligibleMembers eligible;
    eligible.setView(start,
                     std::make_shared<MembershipView>(
                         MembershipView{.self = {"vm-1"}, .members = {makeMember(1, 5), makeMember(2, 5)}}));
    BOOST_TEST(!contains(eligible.at(start + 10s, false), "vm-1"));
    BOOST_TEST(contains(eligible.at(start + 10s, true), "vm-1"));
}
