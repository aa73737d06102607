#include "hickoryshore/dispatch/aggregation_plan.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace hickoryshore;

namespace {

constexpr DataCentreSet own = dataCentreBit(0);
constexpr DataCentreSet first = dataCentreBit(1);
constexpr DataCentreSet second = dataCentreBit(2);

std::set<std::size_t> partsOf(const PartGroup &group)
{
    return {group.parts.begin(), group.parts.end()};
}

} // namespace

BOOST_AUTO_TEST_CASE(parts_of_another_region_form_one_group)
{
    // Twenty shards with two replicas each, in two of three regions. A third of them have no replica in the own region.
    std::vector<DataCentreSet> dataCentres;
    for (int part = 0; part < 20; ++part) {
        dataCentres.push_back(part % 3 == 0 ? first | second : part % 3 == 1 ? own | first : own | second);
    }
    const auto groups = planGroups(dataCentres, first | second, 0, 7);
    BOOST_REQUIRE(groups.size() == 1);
    BOOST_TEST((partsOf(groups.front()) == std::set<std::size_t>{0, 3, 6, 9, 12, 15, 18}));
}

BOOST_AUTO_TEST_CASE(ties_between_data_centres_are_broken_at_random)
{
    const std::vector<DataCentreSet> dataCentres(7, first | second);
    std::set<DataCentreIndex> used;
    for (std::uint64_t random = 0; random < 64; ++random) {
        used.insert(planGroups(dataCentres, first | second, 0, random).front().dataCentreIndex);
    }
    BOOST_TEST(used.size() == 2);
}

BOOST_AUTO_TEST_CASE(small_groups_and_parts_without_an_aggregator_are_sent_directly)
{
    BOOST_TEST(planGroups(std::vector<DataCentreSet>(2, first), first, 0, 0).empty());
    BOOST_TEST(planGroups(std::vector<DataCentreSet>(9, first), second, 0, 0).empty());
    BOOST_TEST(planGroups(std::vector<DataCentreSet>(9, own), own | first, 0, 0).empty());
    BOOST_TEST(planGroups(std::vector<DataCentreSet>(9, 0), first, 0, 0).empty());
}

BOOST_AUTO_TEST_CASE(the_remaining_parts_form_the_next_group)
{
    std::vector<DataCentreSet> dataCentres(5, first);
    dataCentres.insert(dataCentres.end(), 3, second);
    dataCentres.push_back(first | second);
    const auto groups = planGroups(dataCentres, first | second, 0, 0);
    BOOST_REQUIRE(groups.size() == 2);
    BOOST_TEST(groups[0].parts.size() == 6U);
    BOOST_TEST((partsOf(groups[1]) == std::set<std::size_t>{5, 6, 7}));
}

BOOST_AUTO_TEST_CASE(a_near_data_centre_counts_twice)
{
    std::vector<DataCentreSet> dataCentres(4, first | second);
    dataCentres.insert(dataCentres.end(), 2, first);
    BOOST_TEST(planGroups(dataCentres, first | second, second, 0).front().dataCentreIndex == 2);
    BOOST_TEST(planGroups(dataCentres, first | second, 0, 0).front().dataCentreIndex == 1);
}
