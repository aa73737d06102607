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

BOOST_AUTO_TEST_CASE(the_longest_prefix_decides)
{
    const RouteIndex index = indexOf({route("all", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/")});
    BOOST_TEST(index.find("h", "/a/b/c")->name.value == "ab");
    BOOST_TEST(index.find("h", "/a/b")->name.value == "a");
    BOOST_TEST(index.find("h", "/a/bc/d")->name.value == "a");
    BOOST_TEST(index.find("h", "/ab")->name.value == "all");
}

BOOST_AUTO_TEST_CASE(a_path_without_a_route_has_none)
{
    const RouteIndex index = indexOf({route("a", "h", "/a/")});
    BOOST_TEST((index.find("h", "/b/") == nullptr));
    BOOST_TEST((index.find("h", "/a") == nullptr));
    BOOST_TEST((index.find("h", "") == nullptr));
    BOOST_TEST((index.find("other", "/a/") == nullptr));
}

BOOST_AUTO_TEST_CASE(hosts_are_compared_without_case_and_port)
{
    const RouteIndex index = indexOf({route("a", "h.example", "/a/")});
    BOOST_TEST((index.find("H.Example:8080", "/a/x") != nullptr));
}
