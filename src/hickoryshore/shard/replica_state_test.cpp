#include "hickoryshore/shard/replica_state.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

} // namespace

BOOST_AUTO_TEST_CASE(each_drain_signal_is_sufficient)
{
    DrainState drain;
    BOOST_TEST(!drain.isDraining(start));
    drain.mark(start);
    BOOST_TEST(drain.isDraining(start + 10s));
    BOOST_TEST(!drain.isDraining(start + 60s));
    drain.signalled = true;
    BOOST_TEST(drain.isDraining(start + 60s));
}

BOOST_AUTO_TEST_CASE(failures_in_a_row_eject_until_a_success)
{
    ReplicaHealth health;
    BOOST_TEST(!health.countFailure(start));
    BOOST_TEST(!health.countFailure(start));
    BOOST_TEST(health.countFailure(start));
    BOOST_TEST(health.isEjected(start + 4s));
    health.countSuccess(start + 1s);
    BOOST_TEST(!health.isEjected(start + 1s));
}

BOOST_AUTO_TEST_CASE(the_backoff_after_sheds_grows_and_stays_short)
{
    ReplicaHealth health;
    health.countShed(start, 1.0);
    BOOST_TEST(!health.isBackingOff(start + 2ms));
    for (int shed = 0; shed < 20; ++shed) {
        health.countShed(start, 1.0);
    }
    BOOST_TEST(health.isBackingOff(start + 60ms));
    BOOST_TEST(!health.isBackingOff(start + 65ms));
}

BOOST_AUTO_TEST_CASE(an_old_report_does_not_rule_out_a_newer_snapshot)
{
    SnapshotHoldings holdings;
    BOOST_TEST(holdings.mayHold(start, SnapshotId{5}));
    holdings.report(start, std::vector{SnapshotId{5}, SnapshotId{4}});
    BOOST_TEST(holdings.mayHold(start, SnapshotId{4}));
    BOOST_TEST(!holdings.mayHold(start, SnapshotId{6}));
    BOOST_TEST(holdings.mayHold(start + 2s, SnapshotId{6}));
    BOOST_TEST(!holdings.mayHold(start + 2s, SnapshotId{3}));
    holdings.recordRefusal(start, SnapshotId{5});
    BOOST_TEST(!holdings.mayHold(start, SnapshotId{5}));
}

BOOST_AUTO_TEST_CASE(reported_load_alone_never_lowers_the_concurrency_limit)
{
    ReplicaState replica{.settings = {.slots = 4}};
    for (int report = 0; report < 100; ++report) {
        replica.recordReportedLoad(1000);
    }
    BOOST_TEST(replica.concurrencyLimit(start) == 4);
    replica.health.refusalRate = 0.5;
    BOOST_TEST(replica.concurrencyLimit(start) == 1);
}

BOOST_AUTO_TEST_CASE(attempts_in_transit_hold_no_slot_if_the_round_trip_is_known)
{
    ReplicaState replica{.settings = {.slots = 2}, .inFlight = 2};
    replica.recordServiceTime(10ms, 1);
    BOOST_TEST(!replica.acceptsAttempt(start));
    replica.settings.roundTrip = 5ms;
    BOOST_TEST(replica.inTransitAllowance(start) == 1);
    BOOST_TEST(replica.acceptsAttempt(start));
    BOOST_TEST(!replica.hasFreeSlot(start));
    replica.health.refusalRate = 0.2;
    BOOST_TEST(!replica.acceptsAttempt(start));
}
