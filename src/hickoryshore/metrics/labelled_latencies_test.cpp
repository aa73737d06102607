#include "hickoryshore/metrics/labelled_latencies.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string &page, const std::string &line)
{
    return page.find(line) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(buckets_of_a_route_count_what_lies_below_them)
{
    LabelledLatencies latencies("route_seconds", "route", "From arrival to answer");
    latencies.observe("r-boards", 2ms);
    latencies.observe("r-boards", 20ms);
    latencies.observe("r-boards", 60s);
    const std::string page = latencies.prometheusText();
    BOOST_TEST(contains(page, "# TYPE hickoryshore_route_seconds histogram"));
    BOOST_TEST(contains(page, "hickoryshore_route_seconds_bucket{route=\"r-boards\",le=\"0.01\"} 1\n"));
    BOOST_TEST(contains(page, "hickoryshore_route_seconds_bucket{route=\"r-boards\",le=\"10\"} 2\n"));
    BOOST_TEST(contains(page, "hickoryshore_route_seconds_bucket{route=\"r-boards\",le=\"+Inf\"} 3\n"));
    BOOST_TEST(contains(page, "hickoryshore_route_seconds_count{route=\"r-boards\"} 3\n"));
}

BOOST_AUTO_TEST_CASE(names_beyond_the_bound_share_one_histogram)
{
    LabelledLatencies latencies("service_seconds", "service", "Of attempts");
    for (int service = 0; service < 600; ++service) {
        latencies.observe("s-" + std::to_string(service), 5ms);
    }
    const std::string page = latencies.prometheusText();
    BOOST_TEST(contains(page, "hickoryshore_service_seconds_count{service=\"s-511\"} 1\n"));
    BOOST_TEST(!contains(page, "s-512\""));
    BOOST_TEST(contains(page, "hickoryshore_service_seconds_count{service=\"other\"} 88\n"));
}
