#include "hickoryshore/clientlimits/client_choice.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr Instant now{1h};
constexpr std::size_t large = std::size_t{1024} * 1024;

} // namespace

BOOST_AUTO_TEST_SUITE(client_choice)

BOOST_AUTO_TEST_CASE(clients_without_progress_are_given_up_first)
{
    const std::vector<ClientUse> uses
        = {{.connection = 1, .stage = ClientStage::Request, .bytes = large, .since = now - 9s, .progressAt = now},
           {.connection = 2, .stage = ClientStage::Request, .bytes = large, .since = now - 1s, .progressAt = now - 1s},
           {.connection = 3, .stage = ClientStage::Answer, .bytes = large, .since = now - 3s, .progressAt = now - 2s}};
    BOOST_TEST(chooseForBytes(uses, 1, now) == std::vector<std::uint64_t>{3}, boost::test_tools::per_element());
    BOOST_TEST(chooseForBytes(uses, large + 1, now) == (std::vector<std::uint64_t>{3, 2}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_newest_of_the_requests_that_make_progress_is_refused)
{
    const std::vector<ClientUse> uses
        = {{.connection = 1, .stage = ClientStage::Request, .bytes = large, .since = now - 2s, .progressAt = now},
           {.connection = 2, .stage = ClientStage::Request, .bytes = large, .since = now - 1s, .progressAt = now},
           {.connection = 3, .stage = ClientStage::Answer, .bytes = large, .since = now, .progressAt = now}};
    BOOST_TEST(chooseForBytes(uses, 3 * large, now) == (std::vector<std::uint64_t>{2, 1, 3}),
               boost::test_tools::per_element());
}

// Guards against a large request that takes the place of small ones, and against one given up that a replica may run.
BOOST_AUTO_TEST_CASE(small_requests_and_those_in_work_are_not_given_up)
{
    const std::vector<ClientUse> uses
        = {{.connection = 1, .stage = ClientStage::Work, .bytes = large, .since = now - 9s, .progressAt = now - 9s},
           {.connection = 2, .stage = ClientStage::Request, .bytes = 300, .since = now - 9s, .progressAt = now - 9s}};
    BOOST_TEST(chooseForBytes(uses, large, now).empty());
}

BOOST_AUTO_TEST_CASE(idle_connections_make_room_before_stalled_requests)
{
    std::vector<ClientUse> uses
        = {{.connection = 1, .stage = ClientStage::Work, .since = now - 9s, .progressAt = now - 9s},
           {.connection = 2, .stage = ClientStage::Request, .since = now - 9s, .progressAt = now - 9s},
           {.connection = 3, .stage = ClientStage::Idle, .since = now - 1s, .progressAt = now - 1s},
           {.connection = 4, .stage = ClientStage::Idle, .since = now - 2s, .progressAt = now - 2s},
           {.connection = 5, .stage = ClientStage::Closing, .since = now, .progressAt = now}};
    std::vector<std::uint64_t> order;
    while (const auto chosen = chooseForRoom(uses, now)) {
        order.push_back(*chosen);
        std::erase_if(uses, [&chosen](const ClientUse &use) {
            return use.connection == *chosen;
        });
    }
    BOOST_TEST(order == (std::vector<std::uint64_t>{5, 4, 3, 2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(no_room_is_made_where_all_connections_are_at_work)
{
    const std::vector<ClientUse> uses
        = {{.connection = 1, .stage = ClientStage::Work, .since = now - 9s, .progressAt = now - 9s},
           {.connection = 2, .stage = ClientStage::Request, .since = now - 9s, .progressAt = now - 100ms}};
    BOOST_TEST(!chooseForRoom(uses, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
