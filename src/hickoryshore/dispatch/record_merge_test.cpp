#include "hickoryshore/dispatch/record_merge.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace hickoryshore;

BOOST_AUTO_TEST_CASE(the_greatest_records_come_first)
{
    const std::vector<std::string_view> parts = {"bbaa", "ccdd"};
    BOOST_TEST(greatestRecords(parts, 2, 3) == "ddccbb");
    BOOST_TEST(greatestRecords(parts, 2, 9) == "ddccbbaa");
    BOOST_TEST(greatestRecords({}, 2, 3).empty());
}

BOOST_AUTO_TEST_CASE(bytes_compare_unsigned_and_equal_records_all_count)
{
    const std::vector<std::string_view> parts = {"\xff\x01\x02", "\xff\x02"};
    BOOST_TEST(greatestRecords(parts, 1, 4) == "\xff\xff\x02\x02");
}

BOOST_AUTO_TEST_CASE(an_incomplete_record_is_ignored)
{
    const std::vector<std::string_view> parts = {"aab", "c"};
    BOOST_TEST(greatestRecords(parts, 2, 9) == "aa");
}
