#include "hickoryshore/http/http_client.h"
#include "hickoryshore/keyvalue/key_value_client.h"

#include "key_value_test_server.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr int testPort = 18600;
constexpr int unusedPort = 18601;

/// Every test begins with an empty service.
fakes::KeyValueTestServer &platform()
{
    static fakes::KeyValueTestServer server(testPort);
    return server;
}

struct EmptyPlatform
{
    EmptyPlatform()
    {
        platform().reset();
    }
};

const PlatformSettings clientSettings{.port = testPort, .timeout = 300ms};

} // namespace

BOOST_FIXTURE_TEST_CASE(reads_and_writes, EmptyPlatform)
{
    KeyValueClient client(clientSettings);
    BOOST_TEST(!client.get("a/b").has_value());
    BOOST_TEST((client.compareAndSwap("a/b", "one", 0) == WriteResult::Applied));
    BOOST_TEST((client.compareAndSwap("a/b", "two", 0) == WriteResult::Conflict));
    const StoredValue stored = client.get("a/b").value();
    BOOST_TEST(stored.value == "one");
    const std::string binary("\0\xff\n", 3);
    BOOST_TEST((client.compareAndSwap("a/b", binary, stored.modifyIndex) == WriteResult::Applied));
    BOOST_TEST(client.get("a/b")->value == binary);
}

BOOST_FIXTURE_TEST_CASE(keys_are_listed_and_removed, EmptyPlatform)
{
    KeyValueClient client(clientSettings);
    BOOST_TEST(client.listKeys("a/").empty());
    for (const std::string key : {"a/1", "a/2", "b/1"}) {
        BOOST_TEST((client.compareAndSwap(key, "one", 0) == WriteResult::Applied));
    }
    BOOST_TEST((client.listKeys("a/") == std::vector<std::string>{"a/1", "a/2"}));
    const std::uint64_t index = client.get("a/1")->modifyIndex;
    BOOST_TEST((client.compareAndSwap("a/1", "two", index) == WriteResult::Applied));
    BOOST_TEST((client.removeIfUnchanged("a/1", index) == WriteResult::Conflict));
    BOOST_TEST((client.removeIfUnchanged("a/1", client.get("a/1")->modifyIndex) == WriteResult::Applied));
    BOOST_TEST((client.listKeys("a/") == std::vector<std::string>{"a/2"}));
    platform().service()->setFaults({.outage = true});
    BOOST_CHECK_THROW(client.listKeys("a/"), PlatformError);
    BOOST_TEST((client.removeIfUnchanged("a/2", 1) == WriteResult::Unknown));
}

BOOST_FIXTURE_TEST_CASE(values_up_to_a_megabyte, EmptyPlatform)
{
    KeyValueClient client(clientSettings);
    const std::string largest(std::size_t{1024} * 1024, 'x');
    BOOST_TEST((client.compareAndSwap("a", largest, 0) == WriteResult::Applied));
    BOOST_TEST(client.get("a")->value.size() == largest.size());
    BOOST_CHECK_THROW(client.compareAndSwap("b", largest + 'x', 0), PlatformError);
    BOOST_TEST(!client.get("b").has_value());
}

BOOST_FIXTURE_TEST_CASE(a_lost_reply_is_unknown_and_took_effect, EmptyPlatform)
{
    KeyValueClient client(clientSettings);
    platform().service()->setFaults({.loseRepliesAfterEffect = 1, .lostReplyHold = 500ms});
    BOOST_TEST((client.compareAndSwap("a", "one", 0) == WriteResult::Unknown));
    BOOST_TEST(client.get("a")->value == "one");
}

BOOST_FIXTURE_TEST_CASE(an_outage_is_unknown_for_writes_and_an_error_for_reads, EmptyPlatform)
{
    KeyValueClient client(clientSettings);
    platform().service()->setFaults({.outage = true});
    BOOST_TEST((client.compareAndSwap("a", "one", 0) == WriteResult::Unknown));
    BOOST_CHECK_THROW(client.get("a"), PlatformError);
    BOOST_CHECK_THROW(client.listVms(entryVmService), PlatformError);
    BOOST_CHECK_THROW(client.waitForChange("a", 1, 1s), PlatformError);
}

BOOST_FIXTURE_TEST_CASE(nobody_listens, EmptyPlatform)
{
    KeyValueClient client({.port = unusedPort, .timeout = 300ms});
    BOOST_CHECK_THROW(client.get("a"), PlatformError);
    BOOST_CHECK_THROW(client.compareAndSwap("a", "one", 0), PlatformError);
}

BOOST_FIXTURE_TEST_CASE(a_read_survives_a_restart_of_the_service, EmptyPlatform)
{
    KeyValueClient client(clientSettings);
    BOOST_TEST((client.compareAndSwap("a", "one", 0) == WriteResult::Applied));
    platform().restart();
    BOOST_TEST(client.get("a")->value == "one");
}

BOOST_FIXTURE_TEST_CASE(a_watch_returns_on_change_and_counts_as_one_call, EmptyPlatform)
{
    KeyValueClient client(clientSettings);
    BOOST_TEST((client.compareAndSwap("a", "one", 0) == WriteResult::Applied));
    const std::uint64_t index = client.get("a")->modifyIndex;
    const std::uint64_t readsBefore = platform().service()->counters().reads;
    WriteResult written = WriteResult::Unknown; // Checked on this thread, since Boost.Test's log belongs to one thread.
    std::thread writer([&] {
        while (platform().service()->counters().waitingNow == 0) {
            std::this_thread::yield();
        }
        written = client.compareAndSwap("a", "two", index);
    });
    BOOST_TEST(client.waitForChange("a", index, 10s)->value == "two");
    writer.join();
    BOOST_TEST((written == WriteResult::Applied));
    BOOST_TEST(platform().service()->counters().reads == readsBefore);
    BOOST_TEST(platform().service()->counters().watches == 1U);
    BOOST_TEST(client.waitForChange("a", index + 1, 10ms)->value == "two");
    BOOST_TEST(!client.waitForChange("absent", 0, 10ms).has_value());
}

BOOST_FIXTURE_TEST_CASE(the_list_names_live_and_leaving_vms, EmptyPlatform)
{
    HttpConnection connection("127.0.0.1", testPort);
    const std::string body
        = R"({"Node":"vm-1","Service":{"Address":"127.0.0.9","Port":7001,"Meta":{"state":"leaving"}}})";
    connection.exchange({.method = "PUT", .path = "/v1/catalog/register", .body = body}, 1s);
    KeyValueClient client(clientSettings);
    const std::vector<ListedVm> vms = client.listVms(entryVmService);
    BOOST_TEST(vms.size() == 1U);
    BOOST_TEST(vms[0].vm == "vm-1");
    BOOST_TEST(vms[0].address == "127.0.0.9:7001");
    BOOST_TEST(vms[0].leaving);
}
