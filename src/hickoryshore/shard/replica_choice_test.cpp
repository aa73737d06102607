#include "hickoryshore/shard/replica_choice.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

std::vector<ReplicaState> twoReplicas(Duration first, Duration second)
{
    std::vector<ReplicaState> replicas(2);
    for (ReplicaState &replica : replicas) {
        replica.number = static_cast<ReplicaNumber>(&replica - replicas.data()) + 1;
    }
    replicas[0].latency.add(first, 1.0);
    replicas[1].latency.add(second, 1.0);
    for (ReplicaState &replica : replicas) {
        replica.serviceTime = replica.latency;
        replica.stalledSince = start;
    }
    return replicas;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_less_loaded_replica_is_chosen)
{
    auto replicas = twoReplicas(8ms, 8ms);
    replicas[0].inFlight = 1;
    BOOST_TEST((chooseReplica(replicas, start, {}) == 2U));
}

BOOST_AUTO_TEST_CASE(a_busy_fast_replica_is_waited_for_rather_than_using_a_slow_one)
{
    auto replicas = twoReplicas(80ms, 8ms);
    replicas[1].inFlight = 2;
    BOOST_TEST(!chooseReplica(replicas, start, {}).has_value());
    BOOST_TEST((chooseReplica(replicas, start, {.queuedAhead = 20.0}) == 1U));
}

BOOST_AUTO_TEST_CASE(a_free_replica_that_is_not_poor_is_always_chosen)
{
    auto replicas = twoReplicas(22ms, 8ms);
    replicas[1].health.refusalRate = 0.17;
    BOOST_TEST((chooseReplica(replicas, start, {}) == 2U));
}

BOOST_AUTO_TEST_CASE(a_stalled_replica_is_avoided)
{
    auto replicas = twoReplicas(8ms, 8ms);
    replicas[0].inFlight = 1;
    replicas[1].inFlight = 1;
    replicas[0].stalledSince = start - 100ms;
    BOOST_TEST((chooseReplica(replicas, start, {}) == 2U));
    replicas[1].inFlight = 2;
    BOOST_TEST(!chooseReplica(replicas, start, {}).has_value());
}

BOOST_AUTO_TEST_CASE(the_only_usable_replica_is_used_although_it_is_ejected)
{
    auto replicas = twoReplicas(8ms, 8ms);
    replicas[0].health.ejectedUntil = start + 1s;
    replicas[1].inFlight = 2;
    BOOST_TEST(!chooseReplica(replicas, start, {}).has_value());
    replicas[1].drain.signalled = true;
    BOOST_TEST((chooseReplica(replicas, start, {}) == 1U));
    replicas[0].drain.signalled = true;
    BOOST_TEST(!chooseReplica(replicas, start, {}).has_value());
    BOOST_TEST((availability(replicas, SnapshotId{}, start) == Availability::NoReplica));
}

BOOST_AUTO_TEST_CASE(a_retry_goes_to_another_good_replica)
{
    auto replicas = twoReplicas(8ms, 8ms);
    replicas[1].inFlight = 1;
    const std::vector<ReplicaNumber> tried{1};
    BOOST_TEST((chooseReplica(replicas, start, {.tried = tried}) == 2U));
    replicas[1].health.ejectedUntil = start + 1s;
    BOOST_TEST((chooseReplica(replicas, start, {.tried = tried}) == 1U));
}

BOOST_AUTO_TEST_CASE(only_replicas_that_may_hold_the_snapshot_are_used)
{
    auto replicas = twoReplicas(8ms, 8ms);
    replicas[0].snapshots.report(start, std::vector{SnapshotId{7}});
    replicas[1].snapshots.report(start, std::vector{SnapshotId{8}});
    BOOST_TEST((chooseReplica(replicas, start, {.snapshot = SnapshotId{8}}) == 2U));
    BOOST_TEST((availability(replicas, SnapshotId{6}, start) == Availability::SnapshotUnavailable));
}

BOOST_AUTO_TEST_CASE(false_load_reports_do_not_send_work_to_a_busy_replica)
{
    auto replicas = twoReplicas(8ms, 8ms);
    replicas[0].inFlight = 1;
    replicas[1].otherOwnersLoad = replicas[1].settings.slots;
    BOOST_TEST((chooseReplica(replicas, start, {}) == 2U));
}

BOOST_AUTO_TEST_CASE(an_idle_slow_replica_is_probed_at_intervals)
{
    auto replicas = twoReplicas(80ms, 8ms);
    BOOST_TEST((replicaToProbe(replicas, SnapshotId{}, start) == 1U));
    replicas[0].lastProbeAt = start;
    BOOST_TEST(!replicaToProbe(replicas, SnapshotId{}, start + 1ms).has_value());
    BOOST_TEST((replicaToProbe(replicas, SnapshotId{}, start + 5s) == 1U));
}
