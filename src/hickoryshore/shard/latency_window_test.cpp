#include "hickoryshore/shard/latency_window.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

double percentileOf(const LatencyWindow &window, double share)
{
    return static_cast<double>(window.percentile(share).value().count());
}

} // namespace

BOOST_AUTO_TEST_CASE(few_samples_give_no_percentile)
{
    LatencyWindow window;
    for (int sample = 0; sample < 19; ++sample) {
        window.add(1ms);
    }
    BOOST_TEST(!window.percentile(0.5).has_value());
}

BOOST_AUTO_TEST_CASE(percentiles_are_exact_to_a_bucket)
{
    LatencyWindow window;
    for (int sample = 1; sample <= 1000; ++sample) {
        window.add(sample * 10us);
    }
    BOOST_TEST(percentileOf(window, 0.5) == 5'000.0, boost::test_tools::tolerance(0.1));
    BOOST_TEST(percentileOf(window, 0.95) == 9'500.0, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(cancelled_attempts_do_not_make_the_shard_look_faster)
{
    LatencyWindow window;
    // Latencies are uniform from 0 to 10 ms. Attempts that take longer than 6 ms are cancelled after 6 ms.
    for (int sample = 1; sample <= 900; ++sample) {
        const Duration latency = sample % 100 * 100us;
        if (latency > 6ms) {
            window.addCensored(6ms);
        } else {
            window.add(latency);
        }
    }
    BOOST_TEST(percentileOf(window, 0.5) == 5'000.0, boost::test_tools::tolerance(0.1));
    BOOST_TEST(percentileOf(window, 0.95) >= 6'000.0);
}

BOOST_AUTO_TEST_CASE(old_samples_lose_weight)
{
    LatencyWindow window;
    for (int sample = 0; sample < 1000; ++sample) {
        window.add(50ms);
    }
    for (int sample = 0; sample < 6000; ++sample) {
        window.add(2ms);
    }
    BOOST_TEST(percentileOf(window, 0.95) <= 2'200.0);
}
