#include "hickoryshore/shutdown/entry_points.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>

using namespace hickoryshore;

namespace {

Member makeMember(int number, const std::string &dataCentre, const std::string &region)
{
    return {.vm = {"vm-" + std::to_string(number)},
            .dataCentre = {dataCentre},
            .region = {region},
            .address = "10.0.0." + std::to_string(number),
            .httpPort = 8080};
}

/// Two data centres of one region and one of another, six VMs each.
MembershipView makeView()
{
    MembershipView view;
    for (int number = 0; number < 6; ++number) {
        view.members.push_back(makeMember(10 + number, "lima", "coast"));
        view.members.push_back(makeMember(20 + number, "arequipa", "coast"));
        view.members.push_back(makeMember(30 + number, "cusco", "highland"));
    }
    return view;
}

MembershipView anyView()
{
    MembershipView view = makeView();
    for (Member &member : view.members) {
        member.state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
        member.listedLeaving = *rc::gen::arbitrary<bool>();
    }
    return view;
}

} // namespace

BOOST_AUTO_TEST_CASE(answers_name_only_usable_vms_each_once_and_as_many_as_asked_for)
{
    const bool holds = rc::check("usable", [] {
        const MembershipView view = anyView();
        const EntryPointSettings settings{.count = *rc::gen::inRange<std::size_t>(0, 25)};
        const CallerLocation location{{*rc::gen::element<std::string>("", "lima", "cusco", "nowhere")}, {}};
        const auto answer = chooseEntryPoints(view, location, settings, *rc::gen::arbitrary<std::uint64_t>());
        std::vector<VmId> named;
        for (const EntryPoint &entry : answer.entries) {
            const auto member = std::ranges::find(view.members, entry.vm, &Member::vm);
            RC_ASSERT(member->state == MemberState::Alive);
            RC_ASSERT(member->address == entry.address);
            RC_ASSERT(std::ranges::find(named, entry.vm) == named.end());
            named.push_back(entry.vm);
        }
        const auto usable = static_cast<std::size_t>(std::ranges::count_if(view.members, isUsable));
        RC_ASSERT(named.size() == std::min(settings.count, usable));
        RC_ASSERT(answer.timeToLive == settings.timeToLive);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(near_vms_come_first_and_the_last_one_is_in_another_data_centre)
{
    const MembershipView view = makeView();
    const auto answer = chooseEntryPoints(view, {{"lima"}, {}}, {.count = 4}, 12345);
    for (std::size_t position = 0; position < 3; ++position) {
        BOOST_TEST(answer.entries[position].dataCentre.value == "lima");
    }
    BOOST_TEST(answer.entries[3].dataCentre.value == "arequipa");
    const auto byRegion = chooseEntryPoints(view, {{}, {"highland"}}, {.count = 4}, 12345);
    BOOST_TEST(byRegion.entries[0].dataCentre.value == "cusco");
}

BOOST_AUTO_TEST_CASE(every_vm_of_a_group_comes_first_equally_often)
{
    const MembershipView view = makeView();
    for (const std::string &dataCentre : {std::string("lima"), std::string()}) {
        std::map<VmId, int> first;
        constexpr std::uint64_t rounds = 1800;
        for (std::uint64_t random = 0; random < rounds; ++random) {
            ++first[chooseEntryPoints(view, {{dataCentre}, {}}, {}, random).entries[0].vm];
        }
        const std::size_t group = dataCentre.empty() ? 18 : 6;
        BOOST_TEST(first.size() == group);
        for (const auto &[vm, count] : first) {
            BOOST_TEST(static_cast<std::size_t>(count) == rounds / group);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_vm_listed_as_leaving_comes_last)
{
    MembershipView view = makeView();
    for (Member &member : view.members) {
        member.listedLeaving = member.dataCentre.value == "lima";
    }
    const auto answer = chooseEntryPoints(view, {{"lima"}, {}}, {.count = 13}, 7);
    BOOST_TEST(answer.entries.front().dataCentre.value == "arequipa");
    BOOST_TEST(answer.entries.back().dataCentre.value == "lima");
}

BOOST_AUTO_TEST_CASE(callers_of_a_region_without_replicas_are_sent_to_regions_that_have_them)
{
    const MembershipView preferred
        = preferMembers(makeView(), {{"cusco"}, {"highland"}}, {{{"coast"}, 20}, {{"highland"}, 1}});
    BOOST_TEST(preferred.members.size() == 12);
    for (const Member &member : preferred.members) {
        BOOST_TEST(member.region.value == "coast");
    }
    const MembershipView own
        = preferMembers(makeView(), {{"cusco"}, {"highland"}}, {{{"coast"}, 20}, {{"highland"}, 20}});
    BOOST_TEST(own.members.size() == 6);
    BOOST_TEST(preferMembers(makeView(), {{"x"}, {"y"}}, {}).members.size() == 18);
}

BOOST_AUTO_TEST_CASE(queries_with_a_large_fan_out_go_to_the_vms_with_the_most_processor)
{
    MembershipView view = makeView();
    for (Member &member : view.members) {
        member.capacity = member.vm.value.ends_with("0") || member.vm.value.ends_with("1") ? 500 : 84;
    }
    const ReplicasByRegion everywhere = {{{"coast"}, 20}, {{"highland"}, 20}};
    BOOST_TEST(preferMembers(view, {{"lima"}, {"coast"}}, everywhere).members.size() == 4);
    // A single remaining large VM does not receive all queries.
    std::erase_if(view.members, [](const Member &member) {
        return member.vm.value == "vm-30";
    });
    BOOST_TEST(preferMembers(view, {{"cusco"}, {"highland"}}, everywhere).members.size() == 5);
}

BOOST_AUTO_TEST_CASE(shares_of_a_fleet_make_up_the_whole)
{
    MembershipView view = makeView();
    double whole = 0.0;
    for (const Member &member : view.members) {
        whole += fleetShare(view.members, member.vm);
    }
    BOOST_TEST(std::abs(whole - 1.0) < 1e-9);
    for (Member &member : view.members) {
        member.capacity = member.vm.value.ends_with("0") ? 500 : 84;
    }
    whole = 0.0;
    for (const Member &member : view.members) {
        whole += fleetShare(view.members, member.vm);
    }
    BOOST_TEST(std::abs(whole - 1.0) < 1e-9);
    BOOST_TEST(fleetShare(view.members, {"vm-10"}) == 0.25);
}
