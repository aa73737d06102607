#include "hickoryshore/dispatch/endpoint_table.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

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

/// A service with a near and a far replica whose typical latencies are already measured.
struct Pair
{
    EndpointTable table{1};
    RouteLatency latency{100ms};

    Pair()
    {
        const std::vector<DirectReplica> replicas
            = {replica(near, Distance::SameRegion), replica(far, Distance::OtherRegion)};
        this->table.setReplicas(start, replicas);
        this->table.setExtraAttemptBudget({.ratio = 0.2, .slack = 100}, 0.1);
        for (int sample = 0; sample < 200; ++sample) {
            this->latency.add(Distance::SameRegion, 8ms + Duration(sample * 10));
            this->latency.add(Distance::OtherRegion, 24ms + Duration(sample * 10));
        }
    }

    EndpointId choose(Instant now, std::vector<EndpointId> excluded = {})
    {
        return this->table.choose(now, service, this->latency, excluded).value_or(EndpointId{});
    }

    std::optional<EndpointChange> end(Instant now, EndpointId id, const AttemptEnd &end)
    {
        this->table.countSent(now, id);
        return this->table.countEnd(now, id, this->latency, end);
    }

    void reply(Instant sent, Duration latency, EndpointId id = near)
    {
        this->table.countSent(sent, id);
        this->table.countEnd(sent + latency, id, this->latency, {.latency = latency});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_table, Pair)

BOOST_AUTO_TEST_CASE(the_near_replica_is_chosen_first)
{
    BOOST_TEST((this->choose(start) == near));
    BOOST_TEST((this->choose(start, {near}) == far));
    BOOST_TEST((this->choose(start, {near, far}) == EndpointId{}));
}

BOOST_AUTO_TEST_CASE(a_paused_replica_is_avoided_until_it_replies)
{
    this->table.countSent(start, near);
    BOOST_TEST((this->choose(start + 5ms) == near));
    BOOST_TEST((this->choose(start + 60ms) == far));
    this->table.countEnd(start + 121ms, near, this->latency, {.latency = 121ms});
    this->reply(start + 121ms, 8ms);
    this->reply(start + 129ms, 8ms);
    BOOST_TEST((this->choose(start + 6s) == near));
}

BOOST_AUTO_TEST_CASE(a_slow_replica_is_avoided_and_retried_later)
{
    for (int sample = 0; sample < 3; ++sample) {
        this->reply(start + sample * 100ms, 80ms);
    }
    BOOST_TEST((this->choose(start + 400ms) == far));
    BOOST_TEST((this->choose(start + 20s) == near));
}

BOOST_AUTO_TEST_CASE(a_single_pause_does_not_count_as_slow)
{
    // A replica pauses for 0.2 s every few seconds. The first reply after a pause is late; the next ones are as fast as
    // before.
    this->reply(start, 200ms);
    BOOST_TEST((this->choose(start + 201ms) == near));
    this->reply(start + 201ms, 8ms);
    this->reply(start + 4700ms, 200ms);
    BOOST_TEST((this->choose(start + 4901ms) == near));
}

BOOST_AUTO_TEST_CASE(a_stall_reported_by_another_vm_ends_with_its_answer_there)
{
    this->table.receiveObservation(start, {.endpoint = near, .stalledFor = 40ms});
    BOOST_TEST((this->choose(start + 1ms) == far));
    BOOST_TEST((this->choose(start + 100ms) == far));
    this->table.receiveObservation(start + 160ms, {.endpoint = near, .attemptDuration = 200ms, .latencyRatio = 20.0});
    BOOST_TEST((this->choose(start + 160ms) == near));
}

BOOST_AUTO_TEST_CASE(a_stall_report_ends_with_an_answer_here_or_expires)
{
    this->table.receiveObservation(start, {.endpoint = near, .stalledFor = 40ms});
    this->reply(start + 1ms, 8ms);
    BOOST_TEST((this->choose(start + 10ms) == near));
    this->table.receiveObservation(start + 1s, {.endpoint = near, .stalledFor = 40ms});
    BOOST_TEST((this->choose(start + 1400ms) == far));
    BOOST_TEST((this->choose(start + 1600ms) == near));
}

BOOST_AUTO_TEST_CASE(reports_of_a_paused_vm_do_not_divert_requests)
{
    // The paused VM reports that the replica has been stalled for 5 s, then that its attempts took 5 s.
    this->reply(start, 8ms);
    this->table.receiveObservation(start + 10ms, {.endpoint = near, .stalledFor = 5s});
    BOOST_TEST((this->choose(start + 12ms) == near));
    this->reply(start + 12ms, 8ms);
    for (int attempt = 0; attempt < 3; ++attempt) {
        this->table.receiveObservation(start + 21ms, {.endpoint = near, .attemptDuration = 5s, .latencyRatio = 20.0});
    }
    BOOST_TEST((this->choose(start + 22ms) == near));
}

BOOST_AUTO_TEST_CASE(latency_reports_of_other_vms_are_applied)
{
    // The replica is eight times as slow for seconds. The reported attempts do not overlap, so each one counts.
    for (int attempt = 1; attempt <= 3; ++attempt) {
        this->table.receiveObservation(start + attempt * 70ms,
                                       {.endpoint = near, .attemptDuration = 64ms, .latencyRatio = 8.0});
    }
    BOOST_TEST((this->choose(start + 220ms) == far));
}

BOOST_AUTO_TEST_CASE(reports_of_the_same_pause_count_once)
{
    for (int vm = 0; vm < 6; ++vm) {
        this->table.receiveObservation(start + vm * 1ms,
                                       {.endpoint = near, .attemptDuration = 100ms, .latencyRatio = 12.0});
    }
    BOOST_TEST((this->choose(start + 10ms) == near));
}

BOOST_AUTO_TEST_CASE(failure_reports_of_other_vms_are_applied)
{
    // The replica fails two of five requests. Each VM alone sees too few of the failures.
    for (int attempt = 1; attempt <= 3; ++attempt) {
        this->table.receiveObservation(start + attempt * 20ms, {.endpoint = near, .attemptDuration = 8ms});
    }
    BOOST_TEST((this->choose(start + 70ms) == far));
    this->table.receiveObservation(start, {.endpoint = {77}, .attemptDuration = 8ms});
}

BOOST_AUTO_TEST_CASE(late_attempts_and_their_ends_are_reported)
{
    this->reply(start, 8ms);
    BOOST_TEST(this->table.takeObservations().empty());
    this->table.countSent(start + 1s, near);
    this->table.countOverdue(start + 1s + 5ms, near, this->latency);
    BOOST_TEST(this->table.takeObservations().empty());
    this->table.countOverdue(start + 1s + 40ms, near, this->latency);
    this->table.countOverdue(start + 1s + 50ms, near, this->latency);
    const auto stalledFor = this->table.takeObservations();
    BOOST_REQUIRE(stalledFor.size() == 1);
    BOOST_TEST((stalledFor.front().endpoint == near && stalledFor.front().stalledFor == Duration(40ms)));
    this->table.countEnd(start + 1s + 60ms, near, this->latency, {.code = ResultCode::ConnectionLost, .latency = 60ms});
    const auto ended = this->table.takeObservations();
    BOOST_REQUIRE(ended.size() == 1);
    BOOST_TEST((ended.front().stalledFor == Duration(0) && ended.front().attemptDuration == Duration(60ms)));
    BOOST_TEST(!ended.front().latencyRatio.has_value());
}

namespace {

/// Seven VMs take turns sending to a service, 44 requests a second for a minute. Its near replica pauses for 0.2 s
/// every 4.5 s. Returns how many attempts were sent during a pause.
int attemptsIntoPauses(bool shareObservations)
{
    struct Attempt
    {
        std::size_t vm;
        EndpointId endpoint;
        Instant sentAt;
        Instant endsAt;
    };
    std::vector<Pair> vms(7);
    std::vector<Attempt> inFlight;
    int intoPauses = 0;
    for (int millisecond = 0; millisecond < 60'000; ++millisecond) {
        const Instant now = start + millisecond * 1ms;
        const Duration sincePause = 1ms * (millisecond % 4500);
        const Duration pauseLeft = std::max<Duration>(200ms - sincePause, 0ms);
        std::erase_if(inFlight, [&](const Attempt &each) {
            if (each.endsAt <= now) {
                vms[each.vm].table.countEnd(now, each.endpoint, vms[each.vm].latency, {.latency = now - each.sentAt});
            }
            return each.endsAt <= now;
        });
        for (const Attempt &each : inFlight) {
            if (now - each.sentAt > vms[each.vm].latency.hedgeDelay(Distance::SameRegion)) {
                vms[each.vm].table.countOverdue(now, each.endpoint, vms[each.vm].latency);
            }
        }
        if (millisecond % 23 == 0) {
            const std::size_t vm = static_cast<std::size_t>(millisecond / 23) % vms.size();
            const EndpointId chosen = vms[vm].choose(now);
            vms[vm].table.countSent(now, chosen);
            const Duration wait = chosen == near ? pauseLeft : Duration(0);
            intoPauses += wait > Duration(0) ? 1 : 0;
            inFlight.push_back({vm, chosen, now, now + wait + (chosen == near ? 8ms : 24ms)});
        }
        for (std::size_t from = 0; from < vms.size(); ++from) {
            for (const ReplicaObservation &observation : vms[from].table.takeObservations()) {
                for (std::size_t to = 0; shareObservations && to < vms.size(); ++to) {
                    if (to != from) {
                        vms[to].table.receiveObservation(now, observation);
                    }
                }
            }
        }
    }
    return intoPauses;
}

} // namespace

BOOST_AUTO_TEST_CASE(sharing_observations_halves_attempts_to_paused_replicas)
{
    const int alone = attemptsIntoPauses(false);
    const int together = attemptsIntoPauses(true);
    BOOST_TEST_MESSAGE("into pauses: " << alone << " alone, " << together << " together");
    BOOST_TEST(alone >= 60);
    BOOST_TEST(together * 2 <= alone);
}

BOOST_AUTO_TEST_CASE(a_replica_that_stays_slow_is_tried_occasionally)
{
    // The replica is eight times as slow for seconds, and each attempt to it shows that again.
    int slow = 0;
    int all = 0;
    for (Duration passed = 0ms; passed < 10s; passed += 50ms) {
        const EndpointId chosen = this->choose(start + passed);
        this->reply(start + passed, chosen == near ? 64ms : 24ms, chosen);
        slow += chosen == near ? 1 : 0;
        ++all;
    }
    BOOST_TEST(slow * 5 < all);
}

BOOST_AUTO_TEST_CASE(a_repeatedly_failing_replica_is_ejected)
{
    std::optional<EndpointChange> change;
    for (int failure = 0; failure < 3; ++failure) {
        this->table.countSent(start, near);
        change = this->table.countEnd(start, near, this->latency, {.code = ResultCode::UpstreamError});
    }
    BOOST_TEST((change.has_value() && change->state == EndpointState::Ejected));
    BOOST_TEST((this->choose(start) == far));
    BOOST_TEST((this->choose(start, {far}) == near));
}

BOOST_AUTO_TEST_CASE(a_replica_that_refuses_two_of_five_requests_is_avoided)
{
    // Requests to a replica that refuses part of them use up the budget of extra attempts, which a query over many
    // shards needs for replicas that pause.
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

BOOST_AUTO_TEST_CASE(a_misdirected_replica_gets_no_requests)
{
    this->table.countSent(start, near);
    const auto change = this->table.countEnd(start, near, this->latency, {.code = ResultCode::UpstreamDraining});
    BOOST_TEST((change.has_value() && change->state == EndpointState::Misdirected));
    BOOST_TEST((this->choose(start, {far}) == EndpointId{}));
    BOOST_TEST((this->choose(start + 4s, {far}) == EndpointId{}));
}

BOOST_AUTO_TEST_CASE(a_draining_replica_gets_no_requests)
{
    std::vector<DirectReplica> replicas = {replica(near, Distance::SameRegion), replica(far, Distance::OtherRegion)};
    replicas.front().draining = true;
    this->table.setReplicas(start, replicas);
    BOOST_TEST((this->choose(start) == far));
    BOOST_TEST((this->choose(start, {far}) == EndpointId{}));
}

BOOST_AUTO_TEST_CASE(a_leaving_replica_gets_no_requests_after_an_older_listing)
{
    const auto change = this->end(start, near, {.leaving = true});
    BOOST_TEST((change.has_value() && change->state == EndpointState::Leaving));
    BOOST_TEST(!this->end(start, near, {.leaving = true}).has_value());
    BOOST_TEST((this->choose(start) == far));
    BOOST_TEST((this->choose(start, {far}) == EndpointId{}));
    BOOST_TEST((this->table.refusalReason(start, near) == ResultCode::UpstreamDraining));
    const std::vector<DirectReplica> olderListing
        = {replica(near, Distance::SameRegion), replica(far, Distance::OtherRegion)};
    this->table.setReplicas(start + 1s, olderListing);
    BOOST_TEST((this->choose(start + 1min, {far}) == EndpointId{}));
    BOOST_TEST(!this->table.timeUntilAccepted(start, service).has_value());
}

BOOST_AUTO_TEST_CASE(a_refusal_can_report_that_the_replica_is_leaving)
{
    this->end(start, near, {.code = ResultCode::UpstreamShed, .leaving = true});
    BOOST_TEST((this->choose(start + 1min, {far}) == EndpointId{}));
}

BOOST_AUTO_TEST_CASE(a_replica_gets_no_requests_during_its_pause)
{
    const auto change = this->end(start, near, {.code = ResultCode::UpstreamShed, .refusesFor = 1500ms});
    BOOST_TEST((change.has_value() && change->state == EndpointState::Refusing && change->refusalDuration >= 1500ms));
    BOOST_TEST((this->choose(start + 1499ms, {far}) == EndpointId{}));
    BOOST_TEST((this->table.refusalReason(start + 1499ms, near) == ResultCode::UpstreamShed));
    BOOST_TEST((this->choose(start + 2s, {far}) == near));
    BOOST_TEST(!this->table.refusalReason(start + 2s, near).has_value());
}

BOOST_AUTO_TEST_CASE(a_later_shorter_pause_does_not_end_a_longer_one)
{
    this->end(start, near, {.code = ResultCode::UpstreamShed, .refusesFor = 2s});
    this->end(start + 100ms, near, {.code = ResultCode::UpstreamShed, .refusesFor = 50ms});
    this->end(start + 200ms, near, {.code = ResultCode::UpstreamShed, .refusesFor = 0ms});
    BOOST_TEST((this->choose(start + 1900ms, {far}) == EndpointId{}));
}

BOOST_AUTO_TEST_CASE(after_its_pause_a_replica_is_tried_with_one_request)
{
    this->end(start, near, {.code = ResultCode::UpstreamShed, .refusesFor = 100ms});
    const Instant after = start + 60s;
    BOOST_TEST((this->choose(after) == near));
    this->table.countSent(after, near);
    BOOST_TEST((this->choose(after) == far));
    this->table.countEnd(after + 8ms, near, this->latency, {.latency = 8ms});
    this->table.countSent(after + 9ms, near);
    BOOST_TEST((this->choose(after + 9ms) == near));
}

BOOST_AUTO_TEST_CASE(vms_return_to_a_paused_replica_at_different_times)
{
    // A replica asks a hundred VMs for a pause of two seconds at the same moment.
    std::vector<Duration> ends;
    for (std::uint64_t vm = 1; vm <= 100; ++vm) {
        EndpointTable each(vm * 7919);
        const std::vector<DirectReplica> only = {replica(near, Distance::SameRegion)};
        each.setReplicas(start, only);
        each.countSent(start, near);
        each.countEnd(start, near, this->latency, {.code = ResultCode::UpstreamShed, .refusesFor = 2s});
        ends.push_back(each.timeUntilAccepted(start, service).value_or(Duration(0)));
    }
    std::ranges::sort(ends);
    BOOST_TEST((ends.front() >= 2s));
    // No tenth of the spread contains the return of more than a quarter of the VMs.
    const Duration spread = 500ms;
    for (std::size_t first = 0; first + 25 < ends.size(); ++first) {
        BOOST_TEST((ends[first + 25] - ends[first] > spread / 10));
    }
}

BOOST_AUTO_TEST_CASE(the_shortest_pause_determines_the_wait)
{
    BOOST_TEST(!this->table.timeUntilAccepted(start, service).has_value());
    this->end(start, near, {.code = ResultCode::UpstreamShed, .refusesFor = 4s});
    BOOST_TEST(!this->table.timeUntilAccepted(start, service).has_value());
    this->end(start, far, {.code = ResultCode::UpstreamShed, .refusesFor = 1s});
    const auto wait = this->table.timeUntilAccepted(start, service);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST((*wait >= 1s && *wait <= 1500ms));
}

BOOST_AUTO_TEST_CASE(a_withdrawn_attempt_does_not_count)
{
    for (int withdrawn = 0; withdrawn < 10; ++withdrawn) {
        this->end(start, near, {.code = ResultCode::DeadlineBeforeDispatch, .sent = false, .withdrawn = true});
    }
    BOOST_TEST((this->choose(start) == near));
}

BOOST_AUTO_TEST_CASE(extra_attempts_of_all_vms_stay_within_the_budget)
{
    // Ten VMs spend all they may at once, and then the extra attempts earned by 1,000 requests.
    int taken = 0;
    for (int vm = 0; vm < 10; ++vm) {
        EndpointTable each(static_cast<std::uint64_t>(vm) + 1);
        each.setExtraAttemptBudget({.ratio = 0.2, .slack = 100}, 0.1);
        for (int request = 0; request < 100; ++request) {
            each.countRequest(start, service);
            while (each.takeExtraAttempt(start, service, request % 2 == 0)) {
                ++taken;
            }
        }
    }
    BOOST_TEST(taken <= 0.2 * 1000 + 100);
    BOOST_TEST(taken >= 150);
}

BOOST_AUTO_TEST_CASE(extra_attempts_stay_within_the_budget_when_all_vms_restart)
{
    // Ten VMs spend all they may for 30 s, at 20 requests a second together. All restart after 12 s.
    std::vector<Instant> taken;
    for (int vm = 0; vm < 10; ++vm) {
        auto table = std::make_unique<EndpointTable>(static_cast<std::uint64_t>(vm) + 1);
        table->setExtraAttemptBudget({.ratio = 0.2, .slack = 100}, 0.1);
        for (int request = 0; request < 60; ++request) {
            const Instant now = start + request * 500ms;
            if (request == 24) {
                table = std::make_unique<EndpointTable>(static_cast<std::uint64_t>(vm) + 100);
                table->setExtraAttemptBudget({.ratio = 0.2, .slack = 100}, 0.1);
            }
            table->countRequest(now, service);
            while (table->takeExtraAttempt(now, service, true)) {
                taken.push_back(now);
            }
        }
    }
    std::ranges::sort(taken);
    std::size_t most = 0;
    for (auto from = taken.begin(); from != taken.end(); ++from) {
        const auto until = std::ranges::upper_bound(taken, *from + 10s);
        most = std::max(most, static_cast<std::size_t>(until - from));
    }
    BOOST_TEST(most <= 0.2 * 200 + 100);
    // The slack refilled in each window is usable: more attempts are made than the requests alone earn.
    BOOST_TEST(std::ranges::count_if(taken,
                                     [](Instant at) {
                                         return at > start + 20s;
                                     })
               >= 50);
}

BOOST_AUTO_TEST_SUITE_END()
