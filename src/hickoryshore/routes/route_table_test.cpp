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

BOOST_AUTO_TEST_CASE(host_case_and_port_are_ignored)
{
    const RouteIndex index = indexOf({route("a", "h.example", "/a/")});
    BOOST_TEST((index.find("H.Example:8080", "/a/x") != nullptr));
}
