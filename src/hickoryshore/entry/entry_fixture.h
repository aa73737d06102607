// Test fixture: a RequestService and fake replicas on one event loop.
#pragma once

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/entry/request_service.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore::test {

using namespace std::chrono_literals;

inline constexpr int firstPort = 23710;
inline constexpr Duration maxTestTime = 10s;

inline PlatformProtocol testProtocol()
{
    return {.headers = {.requestId = "Id",
                        .remainingMilliseconds = "Left",
                        .expectedReplica = "For",
                        .notExecuted = "Not-Run",
                        .resultSignature = "Sign",
                        .coveredSignatures = "Signs",
                        .missingShards = "Missing",
                        .replicaLoad = "Load",
                        .replicaLeaving = "Leaves",
                        .requestedPause = "Pause"},
            .recordBytes = 2,
            .parseQueueLength =
                [](std::string_view) {
                    return std::optional<int>();
                },
            .parseLeaving =
                [](std::string_view text) {
                    return text == "yes";
                },
            .parsePause = [](std::string_view text) -> std::optional<Duration> {
                return text == "soon" ? std::optional<Duration>(400ms) : std::nullopt;
            }};
}

/// A service with fake replicas. A client on the same loop sends the requests.
struct Entry
{
    EventLoop loop{0};
    EntrySettings settings{.dataCentre = {"north"},
                           .region = {"n"},
                           .regions = {{{"north"}, {"n"}}},
                           .memoryBytes = std::size_t{8} * 1024 * 1024,
                           .extraAttempts = {.ratio = 0.2, .slack = 100}};
    PlatformProtocol protocol = testProtocol();
    Metrics metrics;
    int nextPort = firstPort;
    std::deque<HttpListener> servers;
    RequestService service{loop,
                           settings,
                           protocol,
                           metrics,
                           1,
                           {.answer =
                                [this](HttpCallId call, const HttpAnswer &answer) {
                                    this->front.answer(call, answer);
                                },
                            .retryAfter =
                                [] {
                                    return Duration(300ms);
                                },
                            .onReplicaLeaving =
                                [this](EndpointId endpoint) {
                                    this->registry.markLeaving(monotonicNow(), endpoint);
                                }}};
    HttpListener front{loop,
                       "127.0.0.1:23700",
                       {},
                       {.onRequest =
                            [this](HttpCallId call, const HttpServerRequest &request) {
                                this->service.onRequest(call, request);
                            },
                        .onClientLeft =
                            [this](HttpCallId call) {
                                this->service.onClientLeft(call);
                            }}};
    ReplicaRegistry registry;
    std::shared_ptr<HttpConnections> client
        = std::make_shared<HttpConnections>(loop, HttpConnectionSettings{.responses = {.keepHeaders = true}});

    using Handler = std::function<void(HttpListener &, HttpCallId, const HttpServerRequest &)>;

    /// Starts and registers a fake replica of this service.
    void addReplica(const std::string &serviceName, const Handler &handler)
    {
        const std::string address = "127.0.0.1:" + std::to_string(this->nextPort++);
        const std::size_t number = this->servers.size();
        this->servers.emplace_back(
            this->loop,
            address,
            HttpListenerSettings{},
            HttpListenerHooks{.onRequest = [this, number, handler](HttpCallId call, const HttpServerRequest &request) {
                handler(this->servers[number], call, request);
            }});
        this->registry.put(monotonicNow(),
                           "replica-" + std::to_string(number),
                           {.service = {serviceName}, .address = address, .dataCentre = {"north"}, .slots = 2});
        this->service.setReplicas(this->registry);
    }

    void addRoute(Route route, std::vector<ServiceLimits> limits = {})
    {
        route.name = {"r"};
        route.host = "h";
        route.pathPrefix = "/";
        route.timeout = 2s;
        route.latencyObjective = 1s;
        route.maximumAttempts = 2;
        this->service.setRouteTable(std::make_shared<const RouteTable>(
            RouteTable{.version = 1, .routes = {std::move(route)}, .services = std::move(limits)}));
    }

    HttpExchangeId start(std::string_view text, std::function<void(const HttpExchangeEnd &)> onEnd)
    {
        HttpExchange exchange{.request = std::string(text), .timeout = 5s};
        exchange.onEnd = std::move(onEnd);
        return this->client->start("127.0.0.1:23700", std::move(exchange));
    }

    UpstreamHttpResponse call(std::string_view text)
    {
        return this->callInTurn(text, 1).front();
    }

    /// Makes the same call several times, each after the previous answer. Only one call per test, since the loop can
    /// run only once.
    std::vector<UpstreamHttpResponse> callInTurn(std::string_view text, std::size_t count)
    {
        std::vector<UpstreamHttpResponse> answers;
        std::function<void()> next = [this, text, count, &answers, &next] {
            this->start(text, [this, count, &answers, &next](const HttpExchangeEnd &end) {
                if (!end.failure.has_value()) {
                    answers.push_back(end.response);
                }
                if (!end.failure.has_value() && answers.size() < count) {
                    next();
                } else {
                    this->loop.stop();
                }
            });
        };
        this->loop.post(next);
        this->run();
        BOOST_REQUIRE(answers.size() == count);
        return answers;
    }

    void run()
    {
        this->loop.after(maxTestTime, [this] {
            this->loop.stop();
        });
        this->loop.run();
    }
};

/// Returns the request id header that replicas copy to their response.
inline HttpHeader requestIdHeader(const HttpServerRequest &request)
{
    return {"Id", std::string(findHeader(request.headers, "Id").value_or(""))};
}

inline Entry::Handler answering(const std::string &signature, const std::string &body)
{
    return [signature, body](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        listener.answer(call, {.headers = {requestIdHeader(request), {"Sign", signature}}, .body = body});
    };
}

inline Entry::Handler refusing()
{
    return [](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        listener.answer(call, {.status = 503, .headers = {requestIdHeader(request), {"Not-Run", "1"}}});
    };
}

} // namespace hickoryshore::test
