#include "hickoryshore/routes/service_split.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace hickoryshore;

namespace {

Route splitRoute(double first, double second)
{
    return {.name = {"r"}, .split = {{.service = {"a"}, .weight = first}, {.service = {"b"}, .weight = second}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(shares_hold_at_any_time)
{
    const Route route = splitRoute(70, 30);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ServiceSplit split(seed);
        int toFirst = 0;
        for (int sent = 1; sent <= 200; ++sent) {
            toFirst += split.next(route).value == "a" ? 1 : 0;
            BOOST_TEST(std::abs(toFirst - 0.7 * sent) <= 2.0);
        }
    }
}

BOOST_AUTO_TEST_CASE(changed_weights_apply_at_once)
{
    ServiceSplit split(1);
    for (int sent = 0; sent < 100; ++sent) {
        split.next(splitRoute(1, 0));
    }
    int toFirst = 0;
    for (int sent = 0; sent < 100; ++sent) {
        toFirst += split.next(splitRoute(1, 1)).value == "a" ? 1 : 0;
    }
    BOOST_TEST(toFirst >= 49);
    BOOST_TEST(toFirst <= 51);
}
