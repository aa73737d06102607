// Tests the shutdown of a whole EntryVm with a fake store and a replica that never answers.
#include "entry_fixture.h"

#include "hickoryshore/entry/entry_vm.h"

#include <optional>

using namespace hickoryshore;
using namespace hickoryshore::test;

namespace {

constexpr const char *callerAddress = "127.0.0.1:18811";
constexpr const char *replicaAddress = "127.0.0.1:18816";
constexpr std::uint64_t listedRevision = 5;
constexpr std::string_view unsafeRequest
    = "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: 8000\r\nContent-Length: 0\r\n\r\n";

EntrySettings vmSettings()
{
    return {.vm = {"vm-1"},
            .dataCentre = {"north"},
            .region = {"n"},
            .regions = {{{"north"}, {"n"}}},
            .address = "127.0.0.1",
            .callerListen = callerAddress,
            .entryPointListen = "127.0.0.1:18812",
            .readinessListen = "127.0.0.1:18813",
            .peerListen = "127.0.0.1:18814",
            .metricsListen = "127.0.0.1:18815",
            .membershipPort = 18814,
            .capacity = 100,
            .gracePeriod = 6s};
}

PlatformProtocol vmProtocol()
{
    PlatformProtocol protocol = testProtocol();
    protocol.configurationKey = "routes";
    protocol.replicaPrefix = "replicas/";
    protocol.parseRouteTable = [](std::string_view) {
        Route route{.name = {"r"}, .host = "h", .pathPrefix = "/", .timeout = 8s, .split = {{{"s"}, 1.0}}};
        return RouteTable{.version = 1, .routes = {std::move(route)}};
    };
    protocol.parseReplica = [](std::string_view) {
        return ReplicaRecord{.service = {"s"}, .address = replicaAddress, .dataCentre = {"north"}, .slots = 2};
    };
    return protocol;
}

/// A store that lists one route and one replica, which never change.
StoreAccess fixedStore(EventLoop &loop)
{
    return {.list =
                [&loop](std::string_view prefix, std::string_view, const std::function<void(PageResult)> &completion) {
                    const std::string key = prefix == "routes" ? "routes" : "replicas/a";
                    loop.post([completion, key] {
                        completion(StorePage{.items = {{key, "1", 3}}, .asOf = {0, listedRevision}});
                    });
                },
            .watch = [](std::string_view, const StoreRevision &, Duration, const auto &) {}};
}

} // namespace

// Guards against requests that are taken late in the grace period and cut without an answer at its end.
BOOST_AUTO_TEST_CASE(a_leaving_vm_answers_what_it_has_taken_and_refuses_what_comes_late)
{
    EventLoop loop{0};
    int arrivals = 0;
    HttpListener replica(loop, replicaAddress, {}, {.onRequest = [&arrivals](HttpCallId, const HttpServerRequest &) {
                             ++arrivals;
                         }});
    const auto client
        = std::make_shared<HttpConnections>(loop, HttpConnectionSettings{.responses = {.keepHeaders = true}});
    const auto call = [&loop, &client](Duration at, std::optional<HttpExchangeEnd> &result) {
        loop.after(at, [&client, &result] {
            HttpExchange exchange{.request = std::string(unsafeRequest), .timeout = 10s};
            exchange.onEnd = [&result](const HttpExchangeEnd &end) {
                result = end;
            };
            client->start(callerAddress, std::move(exchange));
        });
    };
    EntryVm vm(loop, vmSettings(), vmProtocol(), fixedStore(loop));
    std::optional<HttpExchangeEnd> before;
    std::optional<HttpExchangeEnd> late;
    call(800ms, before);
    loop.after(1s, [&vm] {
        vm.leave();
    });
    call(5200ms, late);
    loop.after(maxTestTime, [&loop] {
        loop.stop();
    });
    loop.run();
    BOOST_TEST(arrivals == 1);
    BOOST_REQUIRE(before.has_value());
    BOOST_TEST(!before->failure.has_value());
    BOOST_TEST(before->response.status == 504);
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST(!late->failure.has_value());
    BOOST_TEST(late->response.status == 503);
    BOOST_TEST(findHeader(late->response.headers, "Retry-After").has_value());
}
