// Requests through a RequestService to stand-ins of replicas, all on one event loop.
#include "hickoryshore/entry/request_service.h"

#include "hickoryshore/clock/clock.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 23710;
constexpr Duration longestTest = 10s;

EntryDialect testDialect()
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
                        .pauseAsked = "Pause"},
            .recordBytes = 2,
            .parseWaiting =
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

/// A service with stand-ins of replicas; requests come from a client on the same loop.
struct Entry
{
    EventLoop loop{0};
    EntrySettings settings{.dataCentre = {"north"},
                           .region = {"n"},
                           .regions = {{{"north"}, {"n"}}},
                           .repeats = {.ratio = 0.2, .slack = 100}};
    EntryDialect dialect = testDialect();
    Metrics metrics;
    int nextPort = firstPort;
    std::deque<HttpListener> servers;
    RequestService service{loop,
                           settings,
                           dialect,
                           metrics,
                           1,
                           {.answer =
                                [this](HttpCallId call, const HttpAnswer &answer) {
                                    this->front.answer(call, answer);
                                },
                            .comeBackAfter =
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

    /// Starts a stand-in of a replica of this service.
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

    void addRoute(Route route)
    {
        route.name = {"r"};
        route.host = "h";
        route.pathPrefix = "/";
        route.timeout = 2s;
        route.latencyObjective = 1s;
        route.maximumAttempts = 2;
        this->service.setRouteTable(
            std::make_shared<const RouteTable>(RouteTable{.version = 1, .routes = {std::move(route)}}));
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

    /// Makes the same call several times, each after the answer to the one before. Once for each test: the loop runs
    /// only once.
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
        this->loop.after(longestTest, [this] {
            this->loop.stop();
        });
        this->loop.run();
    }
};

Entry::Handler answering(const std::string &signature, const std::string &body)
{
    return [signature, body](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        listener.answer(
            call,
            {.headers = {{"Id", std::string(findHeader(request.headers, "Id").value_or(""))}, {"Sign", signature}},
             .body = body});
    };
}

Entry::Handler refusing()
{
    return [](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        listener.answer(call, {.status = 503, .headers = {{"Not-Run", "1"}}});
    };
}

std::string headerOf(const UpstreamHttpResponse &response, std::string_view name)
{
    return std::string(findHeader(response.headers, name).value_or("none"));
}

const std::string get = "GET /a?b=c HTTP/1.1\r\nHost: h\r\nId: 7\r\nLeft: 1500\r\nX-Own: kept\r\n\r\n";
const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\nId: 8\r\nContent-Length: 2\r\n\r\nxy";

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_service, Entry)

BOOST_AUTO_TEST_CASE(without_a_configuration_a_request_is_refused_as_not_run)
{
    const UpstreamHttpResponse response = this->call(get);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(headerOf(response, "Retry-After") == "0.300");
}

BOOST_AUTO_TEST_CASE(a_path_without_a_route_is_unknown)
{
    this->service.setRouteTable(std::make_shared<const RouteTable>(RouteTable{.version = 1}));
    BOOST_TEST(this->call(get).status == 404);
}

BOOST_AUTO_TEST_CASE(a_request_goes_on_unchanged_and_its_answer_comes_back_whole)
{
    HttpServerRequest seen;
    this->addRoute({.idempotent = true, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [&seen](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        seen = request;
        answering("sig", "hello")(listener, call, request);
    });
    const UpstreamHttpResponse response = this->call(get);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "hello");
    BOOST_TEST(headerOf(response, "Sign") == "sig");
    BOOST_TEST(seen.target == "/a?b=c");
    BOOST_TEST(findHeader(seen.headers, "X-Own").value_or("") == "kept");
    BOOST_TEST(findHeader(seen.headers, "For").value_or("") == "replica-0");
    const int left = std::stoi(std::string(findHeader(seen.headers, "Left").value_or("0")));
    BOOST_TEST(left > 500);
    BOOST_TEST(left <= 1500);
}

BOOST_AUTO_TEST_CASE(results_of_all_shards_are_merged)
{
    this->addRoute({.idempotent = true, .shards = {{"s"}, {"t"}}, .topRecords = 3, .minimumCoverage = 0.5});
    this->addReplica("s", answering("one", "aacc"));
    this->addReplica("t", answering("two", "bbdd"));
    const UpstreamHttpResponse response = this->call(get);
    BOOST_TEST(response.body == "ddccbb");
    BOOST_TEST(headerOf(response, "Signs") == "one, two");
    BOOST_TEST(headerOf(response, "Missing") == "0");
}

BOOST_AUTO_TEST_CASE(a_shard_without_replicas_is_told_as_missing)
{
    this->addRoute({.idempotent = true, .shards = {{"s"}, {"t"}}, .topRecords = 3, .minimumCoverage = 0.5});
    this->addReplica("t", answering("two", "bbdd"));
    const UpstreamHttpResponse response = this->call(get);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(headerOf(response, "Signs") == "two");
    BOOST_TEST(headerOf(response, "Missing") == "1");
}

BOOST_AUTO_TEST_CASE(what_one_replica_refuses_another_one_runs)
{
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", refusing());
    this->addReplica("s", refusing());
    this->addReplica("s", answering("sig", "done"));
    BOOST_TEST(this->call(post).body == "done");
}

BOOST_AUTO_TEST_CASE(a_failure_of_a_replica_is_no_promise_and_is_passed_on_as_it_is)
{
    int runs = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    for (int replica = 0; replica < 2; ++replica) {
        this->addReplica("s", [&runs](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
            ++runs;
            listener.answer(call, {.status = 500, .headers = {{"Sign", "sig"}}, .body = "broken"});
        });
    }
    const UpstreamHttpResponse response = this->call(post);
    BOOST_TEST(response.status == 500);
    BOOST_TEST(response.body == "broken");
    BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_CASE(a_replica_that_says_it_leaves_gets_no_further_request)
{
    int leaving = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [&leaving](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        ++leaving;
        listener.answer(call, {.status = 200, .headers = {{"Sign", "a"}, {"Leaves", "yes"}}, .body = "first"});
    });
    this->addReplica("s", [&leaving](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        ++leaving;
        listener.answer(call, {.status = 200, .headers = {{"Sign", "a"}, {"Leaves", "yes"}}, .body = "second"});
    });
    const auto answers = this->callInTurn(post, 5);
    BOOST_TEST(leaving == 2);
    BOOST_TEST(answers[1].status == 200);
    BOOST_TEST(answers[2].status == 503);
    BOOST_TEST(answers[4].status == 503);
}

BOOST_AUTO_TEST_CASE(a_replica_at_a_taken_over_address_does_not_mark_the_one_that_was_meant)
{
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        listener.answer(call, {.status = 421, .headers = {{"Leaves", "yes"}}});
    });
    BOOST_TEST(this->call(post).status == 503);
    BOOST_TEST(!this->registry.replicas().at("replica-0").leaving);
}

BOOST_AUTO_TEST_CASE(a_mark_that_means_nothing_is_not_taken)
{
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        listener.answer(call, {.status = 200, .headers = {{"Sign", "a"}, {"Leaves", "no"}}, .body = "here"});
    });
    for (const UpstreamHttpResponse &response : this->callInTurn(post, 3)) {
        BOOST_TEST(response.body == "here");
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_asks_for_a_pause_gets_nothing_and_the_caller_is_told_when_it_ends)
{
    int refused = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [&refused](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        ++refused;
        listener.answer(call, {.status = 503, .headers = {{"Not-Run", "1"}, {"Pause", "soon"}}});
    });
    for (const UpstreamHttpResponse &response : this->callInTurn(post, 4)) {
        BOOST_TEST(response.status == 503);
        const double wait = std::stod(headerOf(response, "Retry-After"));
        BOOST_TEST((wait > 0.1 && wait <= 0.5));
    }
    BOOST_TEST(refused == 1);
}

BOOST_AUTO_TEST_CASE(a_pause_that_cannot_be_read_is_none)
{
    int refused = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [&refused](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        ++refused;
        listener.answer(call, {.status = 503, .headers = {{"Not-Run", "1"}, {"Pause", "-7"}}});
    });
    for (const UpstreamHttpResponse &response : this->callInTurn(post, 2)) {
        BOOST_TEST(response.status == 503);
    }
    BOOST_TEST(refused >= 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_connection_leaves_a_replica_that_leaves)
{
    // One connection to the first replica: the second request waits for it, and must not be sent there.
    int leaving = 0;
    int done = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [this, &leaving](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        ++leaving;
        this->addReplica("s", answering("b", "other"));
        this->loop.after(100ms, [&listener, call] {
            listener.answer(call, {.status = 200, .headers = {{"Sign", "a"}, {"Leaves", "yes"}}, .body = "first"});
        });
    });
    this->service.setShare(0.001);
    const RouteTable limited{.version = 2,
                             .routes = {{.name = {"r"},
                                         .host = "h",
                                         .pathPrefix = "/",
                                         .timeout = 2s,
                                         .latencyObjective = 1s,
                                         .maximumAttempts = 2,
                                         .split = {{{"s"}, 1.0}}}},
                             .services = {{.service = {"s"}, .connectionsPerReplica = 1}}};
    this->service.setRouteTable(std::make_shared<const RouteTable>(limited));
    std::vector<std::string> bodies;
    this->loop.post([this, &bodies, &done] {
        for (int request = 0; request < 2; ++request) {
            this->start(post, [this, &bodies, &done](const HttpExchangeEnd &end) {
                bodies.push_back(end.response.body);
                if (++done == 2) {
                    this->loop.stop();
                }
            });
        }
    });
    this->run();
    BOOST_TEST(bodies == (std::vector<std::string>{"first", "other"}), boost::test_tools::per_element());
    BOOST_TEST(leaving == 1);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_stops_the_replica)
{
    bool replicaSawLeave = false;
    this->addRoute({.idempotent = true, .split = {{{"s"}, 1.0}}});
    const std::string address = "127.0.0.1:23790";
    HttpExchangeId waiting;
    HttpListener replica(this->loop,
                         address,
                         {},
                         {.onRequest =
                              [this, &waiting](HttpCallId, const HttpServerRequest &) {
                                  this->client->abort(waiting);
                              },
                          .onClientLeft =
                              [this, &replicaSawLeave](HttpCallId) {
                                  replicaSawLeave = true;
                                  this->loop.stop();
                              }});
    this->registry.put(
        monotonicNow(), "only", {.service = {"s"}, .address = address, .dataCentre = {"north"}, .slots = 2});
    this->service.setReplicas(this->registry);
    this->loop.post([this, &waiting] {
        waiting = this->start(get, {});
    });
    this->run();
    BOOST_TEST(replicaSawLeave);
    BOOST_TEST(this->service.inFlight() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
