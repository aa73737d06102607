#include "hickoryshore/statesync/recent_changes.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;

namespace {

/// Returns the changes after a revision as "key@revision", separated by spaces.
std::string textAfter(const RecentChanges &changes, std::uint64_t revision)
{
    std::string text;
    for (const RecentChanges::Change &change : changes.after(revision)) {
        text += (text.empty() ? "" : " ") + change.key + "@" + std::to_string(change.revision);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(recent_changes)

BOOST_AUTO_TEST_CASE(the_latest_change_of_each_key_is_remembered)
{
    RecentChanges changes;
    changes.restart(10);
    changes.record("a", 11);
    changes.record("b", 12);
    changes.record("c", 12);
    changes.record("a", 13);
    BOOST_TEST(textAfter(changes, 10) == "b@12 c@12 a@13");
    BOOST_TEST(textAfter(changes, 12) == "a@13");
    BOOST_TEST(textAfter(changes, 13).empty());
    BOOST_TEST(changes.reachesBackTo(10));
    BOOST_TEST(!changes.reachesBackTo(9));
    changes.restart(20);
    BOOST_TEST(textAfter(changes, 0).empty());
    BOOST_TEST(!changes.reachesBackTo(19));
}

BOOST_AUTO_TEST_CASE(the_oldest_changes_are_forgotten)
{
    RecentChanges changes;
    for (std::uint64_t revision = 1; revision <= RecentChanges::maxKeys + 2; ++revision) {
        changes.record("key-" + std::to_string(revision), revision);
    }
    BOOST_TEST(!changes.reachesBackTo(1));
    BOOST_TEST(changes.reachesBackTo(2));
    BOOST_TEST(changes.after(2).size() == RecentChanges::maxKeys);
}

BOOST_AUTO_TEST_CASE(many_changes_of_one_key_forget_no_other)
{
    RecentChanges changes;
    changes.record("a", 1);
    for (std::uint64_t revision = 2; revision < 10 * RecentChanges::maxKeys; ++revision) {
        changes.record("b", revision);
    }
    BOOST_TEST(changes.reachesBackTo(0));
    BOOST_TEST(changes.after(0).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
