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

BOOST_AUTO_TEST_CASE(a_replica_keeps_its_endpoint_until_it_starts_anew)
{
    ReplicaRegistry registry;
    registry.put("a", record("1:1"));
    const EndpointId first = registry.replicas().at("a").endpoint;
    ReplicaRecord draining = record("1:1");
    draining.draining = true;
    registry.put("a", draining);
    BOOST_TEST((registry.replicas().at("a").endpoint == first));
    BOOST_TEST(registry.replicas().at("a").record.draining);
    registry.put("a", record("1:1", 2));
    BOOST_TEST((registry.replicas().at("a").endpoint != first));
    BOOST_TEST(!registry.replicas().at("a").record.draining);
}

BOOST_AUTO_TEST_CASE(an_entry_that_vanishes_is_gone_at_once)
{
    ReplicaRegistry registry;
    registry.put("a", record("1:1"));
    registry.remove(start, "a", false);
    BOOST_TEST(registry.replicas().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_vanishes_with_the_store_may_come_back)
{
    ReplicaRegistry registry;
    registry.put("a", record("1:1"));
    registry.put("b", record("2:1"));
    const EndpointId first = registry.replicas().at("a").endpoint;
    registry.remove(start, "a", true);
    registry.replaceAll(start + 500ms, {}, true);
    BOOST_TEST(registry.replicas().size() == 2);
    registry.put("a", record("1:1"));
    BOOST_TEST((registry.nextExpiry() == start + 500ms + ReplicaRegistry::lapseAllowance));
    BOOST_TEST(registry.expire(start + 4s));
    BOOST_TEST(registry.replicas().size() == 1);
    BOOST_TEST((registry.replicas().at("a").endpoint == first));
    BOOST_TEST(!registry.expire(start + 9s));
}

BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_read_names_no_replica)
{
    ReplicaRegistry registry;
    const std::vector<ListedReplica> listing = {{.name = "a", .record = record("1:1")}, {.name = "b"}};
    registry.replaceAll(start, listing, false);
    BOOST_TEST(registry.replicas().size() == 1);
    BOOST_TEST(registry.replicas().contains("a"));
}
