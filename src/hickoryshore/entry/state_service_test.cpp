// A StateService on a stand-in of the store.
#include "hickoryshore/entry/state_service.h"

#include "hickoryshore/httpserver/http_listener.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr Duration longestTest = 5s;
constexpr std::uint64_t listedAsOf = 10;

/// Names a version in place of a whole configuration, and a service in place of a registration.
EntryDialect plainDialect()
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

/// A store that lists what it is given, and answers the first watch of each prefix with these changes.
struct Store
{
    EventLoop loop{0};
    EntryDialect dialect = plainDialect();
    std::vector<StoreItem> replicas;
    StoreChanges replicaChanges{.changes = {}, .asOf = listedAsOf};
    StoreChanges routeChanges{.changes = {}, .asOf = listedAsOf};
    int watches = 0;
    int replicasTold = 0;
    std::size_t replicasKnown = 0;
    std::vector<std::uint64_t> versions;

    StoreAccess access()
    {
        return {
            .list =
                [this](std::string_view prefix, std::string_view, const std::function<void(PageResult)> &completion) {
                    StorePage page{.items = {}, .asOf = listedAsOf};
                    page.items = prefix == "routes" ? std::vector<StoreItem>{{"routes", "7", 3}} : this->replicas;
                    this->loop.post([completion, page] {
                        completion(page);
                    });
                },
            .watch =
                [this](std::string_view prefix,
                       std::uint64_t,
                       Duration,
                       const std::function<void(ChangesResult)> &completion) {
                    StoreChanges &next = prefix == "routes" ? this->routeChanges : this->replicaChanges;
                    if (++this->watches <= 2) {
                        this->loop.post([completion, changes = std::exchange(next, {.asOf = listedAsOf})] {
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
                           this->dialect,
                           this->access(),
                           1,
                           1,
                           {.onRouteTable =
                                [this](const std::shared_ptr<const RouteTable> &table) {
                                    this->versions.push_back(table->version);
                                },
                            .onReplicas =
                                [this](const ReplicaRegistry &registry) {
                                    ++this->replicasTold;
                                    this->replicasKnown = registry.replicas().size();
                                }});
        state.start();
        this->loop.after(longestTest, [this] {
            this->loop.stop();
        });
        this->loop.run();
        BOOST_TEST(state.isComplete());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(state_service, Store)

BOOST_AUTO_TEST_CASE(replicas_of_a_repartitioned_index_that_register_together_are_taken_over_in_one_pass)
{
    for (std::uint64_t number = 0; number < 405; ++number) {
        this->replicaChanges.changes.push_back(
            {.key = "replicas/" + std::to_string(number), .value = "s", .revision = listedAsOf + 1 + number});
    }
    this->replicaChanges.asOf = listedAsOf + 405;
    this->run();
    BOOST_TEST(this->replicasKnown == 405U);
    BOOST_TEST(this->replicasTold == 2); // The listing, and the changes.
}

BOOST_AUTO_TEST_CASE(a_configuration_is_taken_only_forwards)
{
    this->routeChanges
        = {.changes = {{"routes", "6", listedAsOf + 1}, {"routes", "9", listedAsOf + 2}}, .asOf = listedAsOf + 2};
    this->run();
    BOOST_TEST(this->versions == (std::vector<std::uint64_t>{7, 9}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_unreadable_registration_hides_no_other)
{
    this->replicas = {{"replicas/a", "s", 1}, {"replicas/b", "unreadable", 2}, {"replicas/c", "s", 3}};
    this->run();
    BOOST_TEST(this->replicasKnown == 2U);
}

BOOST_AUTO_TEST_CASE(a_watch_that_the_store_has_lost_without_a_sign_is_made_up_for_by_another_vm)
{
    // The store lists, and never answers a watch; a peer has heard of one replica more.
    StoreAccess store = this->access();
    store.watch = [](std::string_view, std::uint64_t, Duration, const std::function<void(ChangesResult)> &) {};
    const StoreChange change{.key = "replicas/a", .value = "s", .revision = listedAsOf + 1};
    HttpListener peer(
        this->loop, "127.0.0.1:18777", {}, {.onRequest = [&](HttpCallId call, const auto &request) {
            const auto asked = parsePeerTarget(request.target);
            const StorePage page{.items = {{change.key, *change.value, change.revision}}, .asOf = change.revision};
            peer.answer(call,
                        {.body = asked->changesAfter.has_value()
                             ? encodeChanges({.changes = {change}, .asOf = change.revision})
                             : encodePage(page)});
        }});
    StateService state(this->loop,
                       this->dialect,
                       std::move(store),
                       18777,
                       1,
                       {.onRouteTable = [](const std::shared_ptr<const RouteTable> &) {},
                        .onReplicas =
                            [this](const ReplicaRegistry &registry) {
                                this->replicasKnown = registry.replicas().size();
                                if (this->replicasKnown == 1) {
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
    this->loop.after(longestTest, [this] {
        this->loop.stop();
    });
    this->loop.run();
    BOOST_TEST(this->replicasKnown == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
