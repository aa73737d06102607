#include "hickoryshore/entry/store_sharing.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

/// A fleet in two data centres; the first two VMs of each have the most CPU.
MembershipView makeFleet(int vmsEach, const std::string &self)
{
    MembershipView view{.self = {self}, .members = {}};
    for (const std::string dataCentre : {"north", "south"}) {
        for (int number = 1; number <= vmsEach; ++number) {
            view.members.push_back({.vm = {dataCentre + "-" + std::to_string(number)},
                                    .dataCentre = {dataCentre},
                                    .address = "10.0.0.1",
                                    .capacity = number <= 2 ? 500 : 84,
                                    .configRevision = {7}});
        }
    }
    std::ranges::sort(view.members, {}, &Member::vm);
    return view;
}

std::set<std::string> sourcesOf(const MembershipView &view, int failures, int stale = 0)
{
    std::set<std::string> sources;
    for (std::uint64_t random = 0; random < 100; ++random) {
        const auto source = storeSource(view, {.failed = failures, .stale = stale}, random);
        sources.insert(source.has_value() ? source->vm.value : "store");
    }
    return sources;
}

using Names = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_CASE(two_vms_of_each_data_centre_call_the_store)
{
    for (const int vmsEach : {2, 3, 9, 69}) {
        int readers = 0;
        const MembershipView fleet = makeFleet(vmsEach, "north-1");
        for (const Member &member : fleet.members) {
            readers += sourcesOf(makeFleet(vmsEach, member.vm.value), 0).contains("store") ? 1 : 0;
        }
        BOOST_TEST(readers == 4);
    }
    BOOST_TEST((sourcesOf(makeFleet(69, "north-30"), 0) == Names{"north-1", "north-2"}));
    BOOST_TEST((sourcesOf(makeFleet(9, "north-9"), 0) == Names{"north-1", "north-2"}));
}

BOOST_AUTO_TEST_CASE(a_leaving_or_suspect_reader_is_replaced_by_the_next_vm)
{
    MembershipView view = makeFleet(9, "north-9");
    for (Member &member : view.members) {
        if (member.vm.value == "north-1") {
            member.state = MemberState::Leaving;
        } else if (member.vm.value == "north-2") {
            member.state = MemberState::Suspect;
        }
    }
    BOOST_TEST((sourcesOf(view, 0) == Names{"north-3", "north-4"}));
    view.self = {"north-3"};
    BOOST_TEST((sourcesOf(view, 0) == Names{"store"}));
}

BOOST_AUTO_TEST_CASE(a_vm_without_other_members_calls_the_store)
{
    // While all VMs start at once, a VM must not wait for another one that has no state either.
    MembershipView view = makeFleet(9, "north-9");
    std::erase_if(view.members, [](const Member &member) {
        return member.vm.value != "north-9";
    });
    BOOST_TEST((sourcesOf(view, 0) == Names{"store"}));
}

BOOST_AUTO_TEST_CASE(after_a_failure_other_sources_and_then_the_store_are_used)
{
    const MembershipView view = makeFleet(69, "north-30");
    BOOST_TEST((sourcesOf(view, 1) == Names{"north-1", "north-2", "south-1", "south-2"}));
    BOOST_TEST((sourcesOf(view, 2) == Names{"store"}));
}

BOOST_AUTO_TEST_CASE(a_reader_alternates_between_the_store_and_peers_while_calls_fail)
{
    const MembershipView view = makeFleet(9, "north-1");
    BOOST_TEST((sourcesOf(view, 0) == Names{"store"}));
    BOOST_TEST(!sourcesOf(view, 1).contains("store"));
    BOOST_TEST(!sourcesOf(view, 1).contains("north-1"));
    BOOST_TEST((sourcesOf(view, 2) == Names{"store"}));
}

// Guards against VMs that follow a reader which has lost the store although they could reach it.
BOOST_AUTO_TEST_CASE(after_a_stale_answer_other_sources_and_then_the_store_are_used)
{
    const MembershipView view = makeFleet(9, "north-9");
    BOOST_TEST((sourcesOf(view, 0, 1) == Names{"north-1", "north-2", "south-1", "south-2"}));
    BOOST_TEST((sourcesOf(view, 0, 2) == Names{"store"}));
    BOOST_TEST((sourcesOf(view, 1, 2) == Names{"north-1", "north-2", "south-1", "south-2"}));
    BOOST_TEST((sourcesOf(makeFleet(9, "north-1"), 0, 1) == Names{"north-2", "south-1", "south-2"}));
    BOOST_TEST((sourcesOf(makeFleet(9, "north-1"), 1, 1) == Names{"store"}));
}

BOOST_AUTO_TEST_CASE(in_a_large_fleet_fewer_stale_answers_lead_to_calls_of_the_store)
{
    int storeCalls = 0;
    for (int stale = 1; stale <= 120; ++stale) {
        storeCalls += sourcesOf(makeFleet(120, "north-100"), 0, stale).contains("store") ? 1 : 0;
    }
    BOOST_TEST(storeCalls == 4);
}

BOOST_AUTO_TEST_CASE(peers_that_reported_a_configuration_are_preferred)
{
    MembershipView view = makeFleet(69, "north-30");
    for (Member &member : view.members) {
        member.configRevision = {member.vm.value == "north-2" ? 7U : 0U};
    }
    BOOST_TEST((sourcesOf(view, 0) == Names{"north-2"}));
    for (Member &member : view.members) {
        member.configRevision = {};
    }
    BOOST_TEST((sourcesOf(view, 0) == Names{"north-1", "north-2"}));
}

BOOST_AUTO_TEST_CASE(a_peer_target_survives_formatting_and_parsing)
{
    const auto list = parsePeerTarget(peerTarget({.prefix = "a/"}));
    BOOST_REQUIRE(list.has_value());
    BOOST_TEST(list->prefix == "a/");
    BOOST_TEST(!list->changesAfter.has_value());
    const auto watch = parsePeerTarget(peerTarget({.prefix = "a/", .changesAfter = 17, .wait = 900ms}));
    BOOST_REQUIRE(watch.has_value());
    BOOST_TEST(watch->changesAfter.value() == 17);
    BOOST_TEST((watch->wait == 900ms));
    // Long waits are shortened, so that a stopped peer is detected soon.
    BOOST_TEST((parsePeerTarget(peerTarget({.prefix = "a/", .changesAfter = 17, .wait = 30s}))->wait <= 1s));
    BOOST_TEST(!parsePeerTarget("/metrics").has_value());
}

BOOST_AUTO_TEST_CASE(vms_with_and_without_eras_parse_each_others_requests)
{
    const std::string target = peerTarget({.prefix = "a/", .changesAfter = 17, .era = 3, .wait = 900ms});
    const auto watch = parsePeerTarget(target);
    BOOST_TEST(watch->era.value() == 3U);
    BOOST_TEST(watch->changesAfter.value() == 17U);
    BOOST_TEST((watch->wait == 900ms));
    // A VM without eras omits the era, and parses the target only up to the wait.
    BOOST_TEST(!parsePeerTarget("/v1/store/watch?prefix=a/&after=17&waitMs=900")->era.has_value());
    BOOST_TEST(target.starts_with("/v1/store/watch?prefix=a/&after=17&waitMs=900&"));
}

BOOST_AUTO_TEST_CASE(departed_replicas_survive_encoding_and_decoding)
{
    const std::vector<DepartedInstance> instances
        = {{.name = "a", .address = "1:1", .started = {5}, .removed = true}, {.name = "b", .address = "2:1"}};
    const auto read = decodeDeparted(encodeDeparted(instances));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->size() == 2U);
    BOOST_TEST(read->at(0).removed);
    BOOST_TEST((read->at(0).started == WallTime{5}));
    BOOST_TEST(read->at(1).address == "2:1");
    BOOST_TEST(!decodeDeparted("\x0f").has_value());
}
