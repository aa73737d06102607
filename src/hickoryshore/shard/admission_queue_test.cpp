#include "hickoryshore/shard/admission_queue.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

const CallerId boards{"boards"};
const CallerId desk{"desk"};
constexpr Instant start{1s};

QueuedSubRequest item(std::uint64_t id, const CallerId &caller, Duration deadline)
{
    return {SubRequestId{id}, caller, start + deadline};
}

std::optional<SubRequestId> takeNext(AdmissionQueue &queue)
{
    const auto next = queue.next([](SubRequestId) {
        return true;
    });
    if (next) {
        queue.take(start, *next);
    }
    return next;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_earliest_deadline_of_a_caller_goes_first)
{
    AdmissionQueue queue({});
    queue.push(item(1, boards, 30ms));
    queue.push(item(2, boards, 10ms));
    queue.push(item(3, boards, 20ms));
    BOOST_TEST((takeNext(queue) == SubRequestId{2}));
    BOOST_TEST((takeNext(queue) == SubRequestId{3}));
    BOOST_TEST((queue.last() == SubRequestId{1}));
}

BOOST_AUTO_TEST_CASE(callers_are_served_by_their_weights)
{
    const std::vector<CallerShare> shares{{boards, 3.0}, {desk, 1.0}};
    AdmissionQueue queue(shares);
    for (std::uint64_t id = 1; id <= 400; ++id) {
        queue.push(item(id, id % 2 == 0 ? boards : desk, Duration(id)));
    }
    int ofBoards = 0;
    for (int served = 0; served < 200; ++served) {
        ofBoards += takeNext(queue)->value % 2 == 0 ? 1 : 0;
    }
    BOOST_TEST(ofBoards >= 145);
    BOOST_TEST(ofBoards <= 155);
}

BOOST_AUTO_TEST_CASE(a_caller_within_its_share_is_served_before_one_beyond_it)
{
    AdmissionQueue queue({});
    for (std::uint64_t id = 1; id <= 200; ++id) {
        queue.push(item(id, boards, Duration(id)));
    }
    for (int served = 0; served < 50; ++served) {
        takeNext(queue);
    }
    queue.push(item(1001, desk, 100ms));
    queue.push(item(1002, desk, 101ms));
    BOOST_TEST(queue.exceedsFairShare(start, boards));
    BOOST_TEST(!queue.exceedsFairShare(start, desk));
    BOOST_TEST((takeNext(queue) == SubRequestId{1001}));
    BOOST_TEST((takeNext(queue) == SubRequestId{1002}));
}

BOOST_AUTO_TEST_CASE(next_skips_sub_requests_that_do_not_fit)
{
    AdmissionQueue queue({});
    queue.push(item(1, boards, 10ms));
    queue.push(item(2, boards, 20ms));
    const auto next = queue.next([](SubRequestId id) {
        return id.value == 2;
    });
    BOOST_TEST((next == SubRequestId{2}));
    BOOST_TEST(queue.erase(SubRequestId{1}));
    BOOST_TEST(!queue.erase(SubRequestId{1}));
    BOOST_TEST(queue.size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_expected_wait_counts_only_earlier_deadlines)
{
    AdmissionQueue queue({});
    for (std::uint64_t id = 1; id <= 10; ++id) {
        queue.push(item(id, boards, id * 1ms));
    }
    constexpr double onePerMillisecond = 0.001;
    BOOST_TEST(queue.expectedWait(start, boards, start + 20ms, onePerMillisecond).count() == 11'000);
    BOOST_TEST(queue.expectedWait(start, boards, start + 5500us, onePerMillisecond).count() == 6'000);
    BOOST_TEST(queue.expectedWait(start, desk, start + 20ms, onePerMillisecond).count() == 1'000);
}
