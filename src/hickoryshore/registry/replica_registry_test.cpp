#include "hickoryshore/registry/replica_registry.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 100s;

ReplicaRecord record(const std::string &address, std::int64_t started = 1)
{
    return {.service = {"s"}, .address = address, .dataCentre = {"north"}, .slots = 2, .started = {started}};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_replica_keeps_its_endpoint_until_it_restarts)
{
    ReplicaRegistry registry;
    registry.put(start, "a", record("1:1"));
    const EndpointId first = registry.replicas().at("a").endpoint;
    ReplicaRecord draining = record("1:1");
    draining.draining = true;
    registry.put(start, "a", draining);
    BOOST_TEST((registry.replicas().at("a").endpoint == first));
    BOOST_TEST(registry.replicas().at("a").record.draining);
    registry.put(start, "a", record("1:1", 2));
    BOOST_TEST((registry.replicas().at("a").endpoint != first));
    BOOST_TEST(!registry.replicas().at("a").record.draining);
}

BOOST_AUTO_TEST_CASE(a_removed_entry_drops_its_replica_at_once)
{
    ReplicaRegistry registry;
    registry.put(start, "a", record("1:1"));
    registry.remove(start, "a", false);
    BOOST_TEST(registry.replicas().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_missing_after_an_outage_may_reappear)
{
    ReplicaRegistry registry;
    registry.put(start, "a", record("1:1"));
    registry.put(start, "b", record("2:1"));
    const EndpointId first = registry.replicas().at("a").endpoint;
    registry.remove(start, "a", true);
    registry.replaceAll(start + 500ms, {}, true);
    BOOST_TEST(registry.replicas().size() == 2);
    registry.put(start, "a", record("1:1"));
    BOOST_TEST((registry.nextExpiry() == start + 500ms + ReplicaRegistry::expiryGracePeriod));
    BOOST_TEST(registry.expire(start + 4s));
    BOOST_TEST(registry.replicas().size() == 1);
    BOOST_TEST((registry.replicas().at("a").endpoint == first));
    BOOST_TEST(!registry.expire(start + 9s));
}

BOOST_AUTO_TEST_CASE(a_leaving_instance_stays_leaving_after_an_older_listing)
{
    ReplicaRegistry registry;
    registry.put(start, "a", record("1:1"));
    BOOST_TEST(registry.markLeaving(start, registry.replicas().at("a").endpoint));
    BOOST_TEST(!registry.markLeaving(start, registry.replicas().at("a").endpoint));
    const std::vector<ListedReplica> older = {{.name = "a", .record = record("1:1")}};
    registry.replaceAll(start + 1s, older, false);
    BOOST_TEST(registry.replicas().at("a").leaving);
    // The entry is removed and then reappears in an older listing, from a peer or from a store that lost its entries in
    // between.
    registry.remove(start + 2s, "a", true);
    BOOST_TEST(registry.replicas().empty());
    registry.replaceAll(start + 3s, older, true);
    BOOST_TEST(registry.replicas().at("a").leaving);
}

BOOST_AUTO_TEST_CASE(a_draining_entry_cannot_become_ready_again)
{
    ReplicaRegistry registry;
    ReplicaRecord draining = record("1:1");
    draining.draining = true;
    registry.put(start, "a", draining);
    registry.put(start + 1s, "a", record("1:1"));
    BOOST_TEST(registry.replicas().at("a").leaving);
}

BOOST_AUTO_TEST_CASE(a_new_instance_with_the_same_name_or_address_is_not_leaving)
{
    ReplicaRegistry registry;
    registry.put(start, "a", record("1:1", 1));
    registry.markLeaving(start, registry.replicas().at("a").endpoint);
    registry.put(start + 1s, "a", record("1:1", 2));
    BOOST_TEST(!registry.replicas().at("a").leaving);
    registry.put(start + 1s, "b", record("1:1", 1));
    BOOST_TEST(!registry.replicas().at("b").leaving);
    // An entry of the previous instance that arrives late.
    registry.put(start + 2s, "a", record("1:1", 1));
    BOOST_TEST(registry.replicas().at("a").leaving);
}

BOOST_AUTO_TEST_CASE(records_of_leaving_instances_expire)
{
    ReplicaRegistry registry;
    registry.put(start, "a", record("1:1"));
    registry.markLeaving(start, registry.replicas().at("a").endpoint);
    registry.remove(start, "a", false);
    registry.expire(start + ReplicaRegistry::leavingRetention);
    registry.put(start + ReplicaRegistry::leavingRetention, "a", record("1:1"));
    BOOST_TEST(!registry.replicas().at("a").leaving);
}

BOOST_AUTO_TEST_CASE(an_unreadable_entry_is_ignored)
{
    ReplicaRegistry registry;
    const std::vector<ListedReplica> listing = {{.name = "a", .record = record("1:1")}, {.name = "b"}};
    registry.replaceAll(start, listing, false);
    BOOST_TEST(registry.replicas().size() == 1);
    BOOST_TEST(registry.replicas().contains("a"));
}

BOOST_AUTO_TEST_CASE(an_older_copy_does_not_bring_back_a_removed_replica)
{
    ReplicaRegistry registry;
    registry.put(start, "gone", record("1:1"));
    registry.put(start, "lives", record("2:1"));
    registry.remove(start, "gone", false);
    const std::vector<ListedReplica> copy = {{"gone", record("1:1")}, {"lives", record("2:1")}};
    registry.replaceFromOlderCopy(start + 1s, copy);
    BOOST_TEST(registry.replicas().size() == 1);
    // A second listing of the same copy changes nothing.
    registry.replaceAll(start + 2s, copy, true);
    BOOST_TEST(!registry.replicas().contains("gone"));
    registry.remove(start + 5s, "gone", false);
    BOOST_TEST(!registry.expire(start + 60s));
    BOOST_TEST(registry.replicas().size() == 1);
}

BOOST_AUTO_TEST_CASE(a_held_back_entry_counts_once_rewritten_or_after_its_lease)
{
    ReplicaRegistry registry;
    for (const char *name : {"a", "b"}) {
        registry.put(start, name, record("1:1"));
        registry.remove(start, name, false);
    }
    const std::vector<ListedReplica> copy = {{"a", record("1:1")}, {"b", record("1:1")}};
    registry.replaceFromOlderCopy(start + 1s, copy);
    BOOST_TEST(registry.replicas().empty());
    registry.put(start + 2s, "a", record("1:1"));
    BOOST_TEST(registry.replicas().contains("a"));
    BOOST_TEST((registry.nextExpiry() == start + 1s + ReplicaRegistry::olderCopyHoldTime));
    BOOST_TEST(registry.expire(start + 1s + ReplicaRegistry::olderCopyHoldTime));
    BOOST_TEST(registry.replicas().contains("b"));
}

BOOST_AUTO_TEST_CASE(an_older_copy_keeps_newer_instances_and_live_replicas)
{
    ReplicaRegistry registry;
    registry.put(start, "restarted", record("1:1", 2));
    registry.put(start, "recent", record("2:1"));
    registry.replaceFromOlderCopy(start, std::vector<ListedReplica>{{"restarted", record("1:1", 1)}});
    BOOST_TEST(registry.replicas().size() == 2);
    BOOST_TEST((registry.replicas().at("restarted").record.started == WallTime{2}));
    registry.put(start + 1s, "recent", record("2:1"));
    registry.put(start + 1s, "restarted", record("1:1", 2));
    registry.expire(start + 4s);
    BOOST_TEST(registry.replicas().size() == 2);
}

BOOST_AUTO_TEST_CASE(a_vm_starting_on_an_older_copy_receives_departed_instances)
{
    ReplicaRegistry established;
    for (const char *name : {"draining", "gone", "lives"}) {
        established.put(start, name, record("1:1"));
    }
    ReplicaRecord draining = record("1:1");
    draining.draining = true;
    established.put(start, "draining", draining);
    established.remove(start, "gone", false);
    ReplicaRegistry restarted;
    restarted.replaceAll(
        start,
        std::vector<ListedReplica>{{"draining", record("1:1")}, {"gone", record("1:1")}, {"lives", record("1:1")}},
        false);
    restarted.recordDeparted(start, established.departed());
    BOOST_TEST(restarted.replicas().at("draining").leaving);
    BOOST_TEST(!restarted.replicas().contains("gone"));
    BOOST_TEST(!restarted.replicas().at("lives").leaving);
}
