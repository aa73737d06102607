#include "hickoryshore/dispatch/aggregator_table.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 100s;

AggregatorTable threeVms()
{
    AggregatorTable table;
    table.setCandidates(start - AggregatorTable::warmUp,
                        {{.vm = {"a"}, .processId = 1, .server = "1:1", .dataCentreIndex = 1},
                         {.vm = {"b"}, .processId = 1, .server = "2:1", .dataCentreIndex = 1},
                         {.vm = {"c"}, .processId = 1, .server = "3:1", .dataCentreIndex = 1},
                         {.vm = {"n"}, .processId = 1, .server = "4:1", .dataCentreIndex = 2, .near = true}});
    return table;
}

} // namespace

BOOST_AUTO_TEST_CASE(calls_are_balanced_over_the_first_vms)
{
    AggregatorTable table = threeVms();
    BOOST_TEST(table.choose(start, 1)->vm.value == "a");
    table.countSent({"a"}, start + 50ms);
    BOOST_TEST(table.choose(start, 1)->vm.value == "b");
    table.countSent({"b"}, start + 50ms);
    BOOST_TEST(table.choose(start, 1)->vm.value == "a");
    BOOST_TEST(!table.choose(start, 3).has_value());
    BOOST_TEST((table.dataCentres(start) == (dataCentreBit(1) | dataCentreBit(2))));
    BOOST_TEST((table.nearDataCentres() == dataCentreBit(2)));
}

BOOST_AUTO_TEST_CASE(a_vm_without_an_answer_is_avoided_for_a_while)
{
    AggregatorTable table = threeVms();
    for (const char *vm : {"a", "b"}) {
        table.countSent({vm}, start + 50ms);
        table.countEnd(start, {vm}, start + 50ms, {.answered = false});
    }
    BOOST_TEST(table.choose(start, 1)->vm.value == "c");
    table.countSent({"c"}, start + 50ms);
    table.countEnd(start, {"c"}, start + 50ms, {.answered = false});
    BOOST_TEST(!table.choose(start, 1).has_value());
    BOOST_TEST((table.dataCentres(start) == dataCentreBit(2)));
    BOOST_TEST(table.choose(start + AggregatorTable::failurePause, 1)->vm.value == "a");
}

BOOST_AUTO_TEST_CASE(the_round_trip_time_is_a_moving_average)
{
    AggregatorTable table = threeVms();
    BOOST_TEST((table.roundTripTime(1) > table.roundTripTime(2)));
    const auto completeCall = [&table](Duration roundTripTime) {
        table.countSent({"a"}, start + 50ms);
        table.countEnd(start, {"a"}, start + 50ms, {.answered = true, .roundTripTime = roundTripTime});
    };
    completeCall(16ms);
    BOOST_TEST((table.roundTripTime(1) == 16ms));
    completeCall(32ms);
    BOOST_TEST((table.roundTripTime(1) == 18ms));
    completeCall(2ms);
    BOOST_TEST((table.roundTripTime(1) == 16ms));
}

BOOST_AUTO_TEST_CASE(a_vm_with_an_overdue_call_is_avoided)
{
    AggregatorTable table = threeVms();
    table.countSent({"a"}, start + 50ms);
    const Instant overdue = start + 50ms + AggregatorTable::lateAnswerThreshold + 1ms;
    BOOST_TEST(table.choose(overdue, 1)->vm.value == "b");
    table.countSent({"b"}, overdue + 50ms);
    BOOST_TEST(table.choose(overdue, 1)->vm.value == "c");
    // A late answer still leads to the VM being avoided for a while.
    table.countEnd(overdue, {"a"}, start + 50ms, {.answered = true, .roundTripTime = 16ms});
    BOOST_TEST(table.choose(overdue, 1)->vm.value == "c");
    // A call dropped because the caller left does not count against the VM.
    table.countDropped({"b"}, overdue + 50ms);
    BOOST_TEST(table.choose(overdue + 1s, 1)->vm.value == "b");
}

BOOST_AUTO_TEST_CASE(a_vm_that_refused_a_route_serves_others_and_the_route_again_after_a_while)
{
    AggregatorTable table = threeVms();
    const auto refuse = [&table](const char *vm) {
        table.countSent({vm}, start + 50ms);
        table.countEnd(
            start, {vm}, start + 50ms, {.answered = true, .roundTripTime = 16ms, .refusedRoute = RouteId{"r"}});
    };
    refuse("a");
    BOOST_TEST(table.choose(start, 1, {"r"})->vm.value == "b");
    BOOST_TEST(table.choose(start, 1, {"other"})->vm.value == "a");
    refuse("b");
    // No third VM is asked, or each request would ask another one in vain.
    BOOST_TEST(!table.choose(start, 1, {"r"}).has_value());
    BOOST_TEST((table.dataCentres(start, {"r"}) == dataCentreBit(2)));
    BOOST_TEST((table.dataCentres(start, {"other"}) == (dataCentreBit(1) | dataCentreBit(2))));
    BOOST_TEST(table.choose(start + AggregatorTable::refusalPause, 1, {"r"})->vm.value == "a");
}

BOOST_AUTO_TEST_CASE(a_restarted_vm_is_avoided_until_it_is_warm)
{
    AggregatorTable table = threeVms();
    table.setCandidates(start, {{.vm = {"a"}, .processId = 2, .server = "1:1", .dataCentreIndex = 1}});
    BOOST_TEST((table.dataCentres(start) == 0));
    BOOST_TEST(!table.choose(start + 1s, 1).has_value());
    // Updates about other members do not restart the warm-up.
    table.setCandidates(start + 2s, {{.vm = {"a"}, .processId = 2, .server = "1:1", .dataCentreIndex = 1}});
    BOOST_TEST(table.choose(start + AggregatorTable::warmUp, 1)->vm.value == "a");
}
