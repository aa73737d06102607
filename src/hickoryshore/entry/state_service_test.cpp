// Tests a StateService with a fake store.
#include "hickoryshore/entry/state_service.h"

#include "hickoryshore/httpserver/http_listener.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr Duration maxTestTime = 5s;
constexpr std::uint64_t listedRevision = 10;

/// A protocol in which a route table is encoded as its version and a registration as its service.
PlatformProtocol testProtocol()
{
    return {.configurationKey = "routes",
            .replicaPrefix = "replicas/",
            .parseRouteTable =
                [](std::string_view text) {
                    return RouteTable{.version = std::stoull(std::string(text))};
                },
            .parseReplica =
                [](std::string_view text) {
                    if (text == "unreadable") {
                        throw std::invalid_argument("no registration");
                    }
                    return ReplicaRecord{.service = {std::string(text)}, .address = "127.0.0.1:1"};
                }};
}

/// A store that lists `replicas` and version 7 of the configuration, and answers the first watch of each prefix with
/// the given changes.
struct Store
{
    EventLoop loop{0};
    PlatformProtocol protocol = testProtocol();
    std::vector<StoreItem> replicas;
    StoreChanges replicaChanges{.changes = {}, .asOf = {0, listedRevision}};
    StoreChanges routeChanges{.changes = {}, .asOf = {0, listedRevision}};
    int watches = 0;
    int replicaUpdates = 0;
    std::size_t replicaCount = 0;
    std::vector<std::uint64_t> versions;

    StoreAccess access()
    {
        return {
            .list =
                [this](std::string_view prefix, std::string_view, const std::function<void(PageResult)> &completion) {
                    StorePage page{.items = {}, .asOf = {0, listedRevision}};
                    page.items = prefix == "routes" ? std::vector<StoreItem>{{"routes", "7", 3}} : this->replicas;
                    this->loop.post([completion, page] {
                        completion(page);
                    });
                },
            .watch =
                [this](std::string_view prefix,
                       const StoreRevision &,
                       Duration,
                       const std::function<void(ChangesResult)> &completion) {
                    StoreChanges &next = prefix == "routes" ? this->routeChanges : this->replicaChanges;
                    if (++this->watches <= 2) {
                        this->loop.post([completion, changes = std::exchange(next, {.asOf = {0, listedRevision}})] {
                            completion(changes);
                        });
                    } else {
                        this->loop.stop();
                    }
                }};
    }

    void run()
    {
        StateService state(this->loop,
                           this->protocol,
                           this->access(),
                           1,
                           1,
                           {.onRouteTable =
                                [this](const std::shared_ptr<const RouteTable> &table) {
                                    this->versions.push_back(table->version);
                                },
                            .onReplicas =
                                [this](const ReplicaRegistry &registry) {
                                    ++this->replicaUpdates;
                                    this->replicaCount = registry.replicas().size();
                                }});
        state.start();
        this->loop.after(maxTestTime, [this] {
            this->loop.stop();
        });
        this->loop.run();
        BOOST_TEST(state.isComplete());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(state_service, Store)

BOOST_AUTO_TEST_CASE(replicas_that_register_together_are_published_once)
{
    // Publishing each change would process all replicas every time, e.g. when an index is repartitioned.
    for (std::uint64_t number = 0; number < 405; ++number) {
        this->replicaChanges.changes.push_back(
            {.key = "replicas/" + std::to_string(number), .value = "s", .revision = listedRevision + 1 + number});
    }
    this->replicaChanges.asOf = {0, listedRevision + 405};
    this->run();
    BOOST_TEST(this->replicaCount == 405U);
    BOOST_TEST(this->replicaUpdates == 2); // One for the listing, one for all changes.
}

BOOST_AUTO_TEST_CASE(an_older_configuration_does_not_replace_a_newer_one)
{
    this->routeChanges = {.changes = {{"routes", "6", listedRevision + 1}, {"routes", "9", listedRevision + 2}},
                          .asOf = {0, listedRevision + 2}};
    this->run();
    BOOST_TEST(this->versions == (std::vector<std::uint64_t>{7, 9}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_unreadable_registration_does_not_affect_others)
{
    this->replicas = {{"replicas/a", "s", 1}, {"replicas/b", "unreadable", 2}, {"replicas/c", "s", 3}};
    this->run();
    BOOST_TEST(this->replicaCount == 2U);
}

// Guards against a registration whose name adds header fields to the requests that name it.
BOOST_AUTO_TEST_CASE(a_registration_with_a_name_that_cannot_be_sent_is_ignored)
{
    this->replicas = {{"replicas/a", "s", 1},
                      {"replicas/b\r\nX: y", "s", 2},
                      {"replicas/c d", "s", 3},
                      {"replicas/", "s", 4},
                      {"replicas/\xc3\xa9", "s", 5}};
    this->run();
    BOOST_TEST(this->replicaCount == 1U);
}

BOOST_AUTO_TEST_CASE(changes_missed_by_a_lost_watch_are_fetched_from_another_vm)
{
    // The store answers listings but no watches. A peer has received the registration of one more replica.
    StoreAccess store = this->access();
    store.watch = [](std::string_view, const StoreRevision &, Duration, const std::function<void(ChangesResult)> &) {};
    const StoreChange change{.key = "replicas/a", .value = "s", .revision = listedRevision + 1};
    HttpListener peer(
        this->loop, "127.0.0.1:18777", {}, {.onRequest = [&](HttpCallId call, const auto &request) {
            const auto asked = parsePeerTarget(request.target);
            const StorePage page{.items = {{change.key, *change.value, change.revision}}, .asOf = {0, change.revision}};
            peer.answer(call,
                        {.body = asked->changesAfter.has_value()
                             ? encodeChanges({.changes = {change}, .asOf = {0, change.revision}})
                             : encodePage(page)});
        }});
    StateService state(this->loop,
                       this->protocol,
                       std::move(store),
                       18777,
                       1,
                       {.onRouteTable = [](const std::shared_ptr<const RouteTable> &) {},
                        .onReplicas =
                            [this](const ReplicaRegistry &registry) {
                                this->replicaCount = registry.replicas().size();
                                if (this->replicaCount == 1) {
                                    this->loop.stop();
                                }
                            }});
    MembershipView view{.self = {"vm-0"}, .members = {}};
    for (const char *vm : {"vm-0", "vm-1"}) {
        view.members.push_back(
            {.vm = {vm}, .dataCentre = {"north"}, .address = "127.0.0.1", .processId = 1, .configRevision = {7}});
    }
    state.setMembers(std::make_shared<MembershipView>(view));
    state.start();
    this->loop.after(maxTestTime, [this] {
        this->loop.stop();
    });
    this->loop.run();
    BOOST_TEST(this->replicaCount == 1U);
}

BOOST_AUTO_TEST_CASE(an_older_configuration_in_a_restored_store_is_neither_applied_nor_sent_to_peers)
{
    // The store is restored from a copy, in a new era, that has version 6 of the configuration while 7 is in force.
    bool returned = false;
    StoreAccess store = this->access();
    store.list = [this, &returned](std::string_view prefix, std::string_view, const auto &completion) {
        const StoreRevision asOf = returned ? StoreRevision{1, listedRevision - 4} : StoreRevision{0, listedRevision};
        StorePage page{.items = {}, .asOf = asOf};
        if (prefix == "routes") {
            page.items = {{"routes", returned ? "6" : "7", 3}};
        }
        this->loop.post([completion, page] {
            completion(page);
        });
    };
    store.watch = [this, &returned](std::string_view, const StoreRevision &after, Duration, const auto &completion) {
        if (after.era == 0) {
            returned = true;
            this->loop.post([completion] {
                completion(StoreFailure::HistoryGone);
            });
        }
    };
    std::vector<std::uint64_t> taken;
    StateService state(this->loop,
                       this->protocol,
                       std::move(store),
                       1,
                       1,
                       {.onRouteTable =
                            [&taken](const std::shared_ptr<const RouteTable> &table) {
                                taken.push_back(table->version);
                            },
                        .onReplicas = [](const ReplicaRegistry &) {}});
    state.start();
    this->loop.after(1s, [this] {
        this->loop.stop();
    });
    this->loop.run();
    BOOST_TEST(taken == std::vector<std::uint64_t>{7}, boost::test_tools::per_element());
    BOOST_TEST(state.version() == 7U);
    BOOST_TEST(state.era() == 1U);
    std::string sentToPeer;
    state.answerPeer({.prefix = "routes"}, [&sentToPeer](const HttpAnswer &answer) {
        sentToPeer = answer.body;
    });
    BOOST_TEST(sentToPeer.find(std::string("\x12\x01") + "7") != std::string::npos);
    BOOST_TEST(sentToPeer.find(std::string("\x12\x01") + "6") == std::string::npos);
}

/// A peer that has a newer configuration than the copy from which the store was restored, and a departed replica.
struct NewerPeer
{
    EventLoop &loop;
    int listings = 0;
    HttpListener listener{
        loop, "127.0.0.1:18778", {}, {.onRequest = [this](HttpCallId call, const HttpServerRequest &request) {
            this->answer(call, request);
        }}};

    void answer(HttpCallId call, const HttpServerRequest &request)
    {
        if (request.target == departedPath) {
            const std::vector<DepartedInstance> gone = {{.name = "a", .address = "127.0.0.1:1", .removed = true}};
            this->listener.answer(call, {.body = encodeDeparted(gone)});
            return;
        }
        const auto asked = parsePeerTarget(request.target);
        if (asked->changesAfter.has_value()) {
            this->listener.answer(call, {.body = encodeChanges({.changes = {}, .asOf = {0, listedRevision}})});
            return;
        }
        ++this->listings;
        StorePage page{.items = {}, .asOf = {0, listedRevision}};
        if (asked->prefix == "routes") {
            page.items = {{"routes", "9", 3}};
        }
        this->listener.answer(call, {.body = encodePage(page)});
    }
};

BOOST_AUTO_TEST_CASE(a_vm_that_starts_after_a_restore_gets_newer_state_from_its_peers)
{
    this->replicas = {{"replicas/a", "s", 1}, {"replicas/b", "s", 2}};
    StoreAccess store = this->access();
    store.watch = [](std::string_view, const StoreRevision &, Duration, const std::function<void(ChangesResult)> &) {};
    NewerPeer peer{this->loop};
    StateService state(this->loop,
                       this->protocol,
                       std::move(store),
                       18778,
                       1,
                       {.onRouteTable =
                            [this](const std::shared_ptr<const RouteTable> &table) {
                                this->versions.push_back(table->version);
                            },
                        .onReplicas =
                            [this](const ReplicaRegistry &registry) {
                                this->replicaCount = registry.replicas().size();
                            }});
    MembershipView view{.self = {"vm-0"}, .members = {}};
    for (const char *vm : {"vm-0", "vm-1"}) {
        view.members.push_back(
            {.vm = {vm}, .dataCentre = {"north"}, .address = "127.0.0.1", .processId = 1, .configRevision = {9}});
    }
    state.setMembers(std::make_shared<MembershipView>(view));
    state.onPeerVersion(9, {"vm-1"});
    state.start();
    this->loop.after(2s, [this] {
        this->loop.stop();
    });
    this->loop.run();
    BOOST_TEST(this->versions == (std::vector<std::uint64_t>{7, 9}), boost::test_tools::per_element());
    BOOST_TEST(this->replicaCount == 1U);
    BOOST_TEST(peer.listings <= 3);
}

BOOST_AUTO_TEST_SUITE_END()
