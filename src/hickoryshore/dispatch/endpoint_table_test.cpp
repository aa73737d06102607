#include "hickoryshore/dispatch/endpoint_table.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 100s;
const ServiceId service = {"s"};
constexpr EndpointId near{1};
constexpr EndpointId far{2};

DirectReplica replica(EndpointId id, Distance distance)
{
    return {.endpoint = id, .service = service, .distance = distance, .slots = 2};
}

/// A service with a near and a far replica, whose usual latencies are known.
struct Pair
{
    EndpointTable table{1};
    RouteLatency latency{100ms};

    Pair()
    {
        const std::vector<DirectReplica> replicas
            = {replica(near, Distance::SameRegion), replica(far, Distance::OtherRegion)};
        this->table.setReplicas(start, replicas);
        this->table.setRepeatBudget({.ratio = 0.2, .slack = 100}, 0.1);
        for (int sample = 0; sample < 200; ++sample) {
            this->latency.add(Distance::SameRegion, 8ms + Duration(sample * 10));
            this->latency.add(Distance::OtherRegion, 24ms + Duration(sample * 10));
        }
    }

    EndpointId choose(Instant now, std::vector<EndpointId> excluded = {})
    {
        return this->table.choose(now, service, this->latency, excluded).value_or(EndpointId{});
    }

    void reply(Instant sent, Duration latency, EndpointId id = near)
    {
        this->table.countSent(sent, id);
        this->table.countEnd(sent + latency, id, this->latency, {.latency = latency});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_table, Pair)

BOOST_AUTO_TEST_CASE(the_near_replica_is_usual_and_the_other_one_second)
{
    BOOST_TEST((this->choose(start) == near));
    BOOST_TEST((this->choose(start, {near}) == far));
    BOOST_TEST((this->choose(start, {near, far}) == EndpointId{}));
}

BOOST_AUTO_TEST_CASE(a_replica_that_pauses_is_passed_over_until_it_replies)
{
    this->table.countSent(start, near);
    BOOST_TEST((this->choose(start + 5ms) == near));
    BOOST_TEST((this->choose(start + 60ms) == far));
    this->table.countEnd(start + 121ms, near, this->latency, {.latency = 121ms});
    this->reply(start + 121ms, 8ms);
    this->reply(start + 129ms, 8ms);
    BOOST_TEST((this->choose(start + 6s) == near));
}

BOOST_AUTO_TEST_CASE(a_slow_replica_is_left_and_tried_again_later)
{
    for (int sample = 0; sample < 3; ++sample) {
        this->reply(start + sample * 100ms, 80ms);
    }
    BOOST_TEST((this->choose(start + 400ms) == far));
    BOOST_TEST((this->choose(start + 20s) == near));
}

BOOST_AUTO_TEST_CASE(a_replica_that_fails_again_and_again_is_the_last_choice)
{
    std::optional<EndpointChange> change;
    for (int failure = 0; failure < 3; ++failure) {
        this->table.countSent(start, near);
        change = this->table.countEnd(start, near, this->latency, {.code = ResultCode::UpstreamError});
    }
    BOOST_TEST((change.has_value() && change->ejected));
    BOOST_TEST((this->choose(start) == far));
    BOOST_TEST((this->choose(start, {far}) == near));
}

BOOST_AUTO_TEST_CASE(a_replica_that_refuses_two_of_five_requests_is_passed_over)
{
    // One replica of each shard refuses a part of its requests: what is sent there uses up the budget of extra
    // attempts, which a query over many shards needs for replicas that pause.
    int refused = 0;
    Instant now = start;
    for (int request = 0; request < 100; ++request) {
        now += 100ms;
        const EndpointId chosen = this->choose(now);
        const bool isRefused = chosen == near && request % 5 < 2;
        this->table.countSent(now, chosen);
        this->table.countEnd(
            now + 8ms,
            chosen,
            this->latency,
            {.code = isRefused ? ResultCode::UpstreamShed : ResultCode::Ok, .latency = chosen == near ? 8ms : 24ms});
        refused += isRefused ? 1 : 0;
    }
    BOOST_TEST(refused <= 8);
    BOOST_TEST((this->choose(now + 30s) == near));
}

BOOST_AUTO_TEST_CASE(an_address_that_another_replica_has_taken_over_gets_nothing_even_as_the_last_choice)
{
    this->table.countSent(start, near);
    const auto change = this->table.countEnd(start, near, this->latency, {.code = ResultCode::UpstreamDraining});
    BOOST_TEST((change.has_value() && change->ejected));
    BOOST_TEST((this->choose(start, {far}) == EndpointId{}));
    BOOST_TEST((this->choose(start + 4s, {far}) == EndpointId{}));
}

BOOST_AUTO_TEST_CASE(a_draining_replica_gets_nothing)
{
    std::vector<DirectReplica> replicas = {replica(near, Distance::SameRegion), replica(far, Distance::OtherRegion)};
    replicas.front().draining = true;
    this->table.setReplicas(start, replicas);
    BOOST_TEST((this->choose(start) == far));
    BOOST_TEST((this->choose(start, {far}) == EndpointId{}));
}

BOOST_AUTO_TEST_CASE(extra_attempts_of_all_vms_together_stay_within_the_budget)
{
    // Ten VMs, each with the most that it may spend at once, and then what 1,000 requests earn.
    int taken = 0;
    for (int vm = 0; vm < 10; ++vm) {
        EndpointTable each(static_cast<std::uint64_t>(vm) + 1);
        each.setRepeatBudget({.ratio = 0.2, .slack = 100}, 0.1);
        for (int request = 0; request < 100; ++request) {
            each.countRequest(service);
            while (each.takeRepeat(service, request % 2 == 0)) {
                ++taken;
            }
        }
    }
    BOOST_TEST(taken <= 0.2 * 1000 + 100);
    BOOST_TEST(taken >= 150);
}

BOOST_AUTO_TEST_SUITE_END()
