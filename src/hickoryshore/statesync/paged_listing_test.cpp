#include "hickoryshore/statesync/paged_listing.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

using Progress = PagedListing::Progress;

const Instant start = Instant{} + 100s;

/// Returns a page of the keys, with empty values and revision 1, that is not the last one.
StorePage pageOf(const std::vector<std::string> &keys)
{
    StorePage page{.items = {}, .hasMore = true, .asOf = {0, 10}};
    for (const std::string &key : keys) {
        page.items.push_back({.key = key, .value = {}, .revision = 1});
    }
    return page;
}

} // namespace

BOOST_AUTO_TEST_SUITE(paged_listing)

BOOST_AUTO_TEST_CASE(the_whole_listing_has_the_revision_of_its_oldest_page_and_the_age_of_its_first)
{
    PagedListing listing;
    BOOST_TEST(listing.lastKey().empty());
    StorePage first = pageOf({"a", "b"});
    first.age = 100ms;
    BOOST_TEST((listing.add(start, first) == Progress::NeedsMore));
    BOOST_TEST(listing.lastKey() == "b");
    const StorePage last{.items = {{"c", "3", 12}}, .asOf = {0, 12}, .timeSinceStoreOutage = 1s};
    BOOST_TEST((listing.add(start + 50ms, last) == Progress::Complete));
    const StorePage whole = listing.take(start + 60ms);
    BOOST_TEST(whole.items.size() == 3U);
    BOOST_TEST(whole.asOf.number == 10U);
    BOOST_TEST((whole.age == 160ms));
    BOOST_TEST((whole.timeSinceStoreOutage == 1s));
    BOOST_TEST(listing.lastKey().empty());
}

BOOST_AUTO_TEST_CASE(a_key_in_two_pages_has_its_newest_value)
{
    PagedListing listing;
    StorePage first = pageOf({"b"});
    first.items.front() = {.key = "b", .value = "new", .revision = 11};
    listing.add(start, first);
    listing.add(start, {.items = {{"b", "old", 9}, {"c", "3", 9}}, .asOf = {0, 12}});
    const StorePage whole = listing.take(start);
    BOOST_REQUIRE(whole.items.size() == 2U);
    BOOST_TEST(whole.items.front().value == "new");
}

// Guards against a listing without end that fills the memory, because the store sends the same pages again.
BOOST_AUTO_TEST_CASE(a_page_without_a_new_key_stalls_the_listing)
{
    PagedListing listing;
    BOOST_TEST((listing.add(start, pageOf({"a", "b"})) == Progress::NeedsMore));
    BOOST_TEST((listing.add(start, pageOf({"c"})) == Progress::NeedsMore));
    BOOST_TEST((listing.add(start, pageOf({"a", "b"})) == Progress::Stalled));
    BOOST_TEST(listing.lastKey().empty());
    BOOST_TEST((listing.add(start, pageOf({"a"})) == Progress::NeedsMore));
}

BOOST_AUTO_TEST_CASE(a_last_page_without_a_new_key_completes_the_listing)
{
    PagedListing listing;
    listing.add(start, pageOf({"a"}));
    BOOST_TEST((listing.add(start, {.items = {}, .asOf = {0, 10}}) == Progress::Complete));
    BOOST_TEST(listing.take(start).items.size() == 1U);
}

BOOST_AUTO_TEST_CASE(pages_of_two_eras_do_not_make_one_listing)
{
    PagedListing listing;
    listing.add(start, pageOf({"a"}));
    BOOST_TEST((listing.add(start, {.items = {{"b", "2", 3}}, .asOf = {1, 5}}) == Progress::EraChanged));
    BOOST_TEST(listing.lastKey().empty());
}

BOOST_AUTO_TEST_SUITE_END()
