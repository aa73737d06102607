#include "hickoryshore/routes/route_table.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;

namespace {

RouteIndex indexOf(std::vector<Route> routes)
{
    return RouteIndex(std::make_shared<const RouteTable>(RouteTable{.version = 1, .routes = std::move(routes)}));
}

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    return {.name = {name}, .host = host, .pathPrefix = prefix};
}

} // namespace

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins)
{
    const RouteIndex index = indexOf({route("all", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/")});
    BOOST_TEST(index.find("h", "/a/b/c")->name.value == "ab");
    BOOST_TEST(index.find("h", "/a/b")->name.value == "a");
    BOOST_TEST(index.find("h", "/a/bc/d")->name.value == "a");
    BOOST_TEST(index.find("h", "/ab")->name.value == "all");
}

BOOST_AUTO_TEST_CASE(find_returns_null_without_a_matching_route)
{
    const RouteIndex index = indexOf({route("a", "h", "/a/")});
    BOOST_TEST((index.find("h", "/b/") == nullptr));
    BOOST_TEST((index.find("h", "/a") == nullptr));
    BOOST_TEST((index.find("h", "") == nullptr));
    BOOST_TEST((index.find("other", "/a/") == nullptr));
}

// Guards against a VM that sends another VM's parts to services that its own requests of the route don't go to.
BOOST_AUTO_TEST_CASE(a_route_gathers_only_from_its_own_shards)
{
    Route gathering = route("a", "h", "/");
    gathering.shards = {{"s0"}, {"s1"}, {"s2"}};
    const auto gathers = [&gathering](const std::vector<ServiceId> &services) {
        return gathersFrom(&gathering, services);
    };
    BOOST_TEST(gathers({{"s0"}, {"s1"}, {"s2"}}));
    BOOST_TEST(gathers({{"s2"}, {"s0"}}));
    BOOST_TEST(gathers({{"s1"}}));
    BOOST_TEST(!gathers({{"s0"}, {"s3"}}));
    BOOST_TEST(!gathers({{"new"}}));
    BOOST_TEST(!gathersFrom(nullptr, std::vector<ServiceId>{{"s0"}}));
    Route single = route("b", "h", "/");
    single.split = {{.service = {"s0"}}};
    BOOST_TEST(!gathersFrom(&single, std::vector<ServiceId>{{"s0"}}));
}

BOOST_AUTO_TEST_CASE(host_case_and_port_are_ignored)
{
    const RouteIndex index = indexOf({route("a", "h.example", "/a/")});
    BOOST_TEST((index.find("H.Example:8080", "/a/x") != nullptr));
}
