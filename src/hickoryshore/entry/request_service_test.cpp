// Tests requests through a RequestService to fake replicas on one event loop.
#include "hickoryshore/entry/request_service.h"

#include "entry_fixture.h"

#include <algorithm>

using namespace hickoryshore;
using namespace hickoryshore::test;
using namespace std::chrono_literals;

namespace {

/// An entry VM with one replica that answers with this status and without the request id.
struct AnonymousReplica : Entry
{
    explicit AnonymousReplica(int status)
    {
        this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
        this->addReplica("s", [status](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
            listener.answer(call, {.status = status, .headers = {{"Sign", "a"}, {"Not-Run", "1"}}, .body = "x"});
        });
    }

    UpstreamHttpResponse answerToCaller()
    {
        return this->call("POST /a HTTP/1.1\r\nHost: h\r\nId: 9\r\nContent-Length: 2\r\n\r\nxy");
    }
};

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

// Guards against VMs on one machine that a replica can't tell apart.
BOOST_AUTO_TEST_CASE(connections_come_from_the_address_in_the_settings_if_the_machine_has_it)
{
    std::vector<std::string> seen;
    this->addReplica("s", [&seen](HttpListener &listener, HttpCallId call, const HttpServerRequest &) {
        seen.push_back(listener.clientAddress(call));
        listener.answer(call, {});
    });
    std::vector<std::shared_ptr<HttpConnections>> pools;
    for (const char *source : {"127.0.0.9", "192.0.2.1", ""}) {
        pools.push_back(std::make_shared<HttpConnections>(loop, HttpConnectionSettings{.sourceAddress = source}));
    }
    std::size_t ended = 0;
    this->loop.post([this, &pools, &ended] {
        for (const auto &pool : pools) {
            HttpExchange exchange{.request = get, .timeout = 2s};
            exchange.onEnd = [this, &pools, &ended](const HttpExchangeEnd &) {
                if (++ended == pools.size()) {
                    this->loop.stop();
                }
            };
            pool->start("127.0.0.1:" + std::to_string(firstPort), std::move(exchange));
        }
    });
    this->run();
    std::ranges::sort(seen);
    const std::vector<std::string> expected{"127.0.0.1", "127.0.0.1", "127.0.0.9"};
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
    BOOST_TEST(isOwnAddress("127.0.0.9"));
    BOOST_TEST(!isOwnAddress("192.0.2.1"));
}

BOOST_AUTO_TEST_CASE(request_and_answer_are_forwarded_unchanged)
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

BOOST_AUTO_TEST_CASE(a_shard_without_replicas_is_reported_as_missing)
{
    this->addRoute({.idempotent = true, .shards = {{"s"}, {"t"}}, .topRecords = 3, .minimumCoverage = 0.5});
    this->addReplica("t", answering("two", "bbdd"));
    const UpstreamHttpResponse response = this->call(get);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(headerOf(response, "Signs") == "two");
    BOOST_TEST(headerOf(response, "Missing") == "1");
}

BOOST_AUTO_TEST_CASE(a_request_refused_by_one_replica_is_retried_at_another)
{
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", refusing());
    this->addReplica("s", refusing());
    this->addReplica("s", answering("sig", "done"));
    BOOST_TEST(this->call(post).body == "done");
}

BOOST_AUTO_TEST_CASE(a_failure_that_may_have_run_is_forwarded_and_not_retried)
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

BOOST_AUTO_TEST_CASE(a_replica_that_reports_leaving_gets_no_further_request)
{
    int leaving = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [&leaving](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        ++leaving;
        listener.answer(
            call,
            {.status = 200, .headers = {requestIdHeader(request), {"Sign", "a"}, {"Leaves", "yes"}}, .body = "first"});
    });
    this->addReplica("s", [&leaving](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        ++leaving;
        listener.answer(
            call,
            {.status = 200, .headers = {requestIdHeader(request), {"Sign", "a"}, {"Leaves", "yes"}}, .body = "second"});
    });
    const auto answers = this->callInTurn(post, 5);
    BOOST_TEST(leaving == 2);
    BOOST_TEST(answers[1].status == 200);
    BOOST_TEST(answers[2].status == 503);
    BOOST_TEST(answers[4].status == 503);
}

BOOST_AUTO_TEST_CASE(a_misdirected_response_does_not_mark_the_expected_replica_as_leaving)
{
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        listener.answer(call, {.status = 421, .headers = {requestIdHeader(request), {"Leaves", "yes"}}});
    });
    BOOST_TEST(this->call(post).status == 503);
    BOOST_TEST(!this->registry.replicas().at("replica-0").leaving);
}

BOOST_AUTO_TEST_CASE(a_leaving_header_with_another_value_is_ignored)
{
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        listener.answer(
            call,
            {.status = 200, .headers = {requestIdHeader(request), {"Sign", "a"}, {"Leaves", "no"}}, .body = "here"});
    });
    for (const UpstreamHttpResponse &response : this->callInTurn(post, 3)) {
        BOOST_TEST(response.body == "here");
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_requests_a_pause_gets_no_requests_and_callers_get_its_end_as_retry_time)
{
    int refused = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [&refused](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        ++refused;
        listener.answer(call,
                        {.status = 503, .headers = {requestIdHeader(request), {"Not-Run", "1"}, {"Pause", "soon"}}});
    });
    for (const UpstreamHttpResponse &response : this->callInTurn(post, 4)) {
        BOOST_TEST(response.status == 503);
        const double wait = std::stod(headerOf(response, "Retry-After"));
        BOOST_TEST((wait > 0.1 && wait <= 0.5));
    }
    BOOST_TEST(refused == 1);
}

BOOST_AUTO_TEST_CASE(a_malformed_pause_is_ignored)
{
    int refused = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [&refused](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        ++refused;
        listener.answer(call,
                        {.status = 503, .headers = {requestIdHeader(request), {"Not-Run", "1"}, {"Pause", "-7"}}});
    });
    for (const UpstreamHttpResponse &response : this->callInTurn(post, 2)) {
        BOOST_TEST(response.status == 503);
    }
    BOOST_TEST(refused >= 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_connection_to_a_leaving_replica_goes_elsewhere)
{
    // The first replica allows one connection, so the second request waits for it. It must not be sent there once the
    // first answer reports that the replica is leaving.
    int leaving = 0;
    int done = 0;
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [this, &leaving](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        ++leaving;
        this->addReplica("s", answering("b", "other"));
        this->loop.after(100ms, [&listener, call, id = requestIdHeader(request)] {
            listener.answer(call, {.status = 200, .headers = {id, {"Sign", "a"}, {"Leaves", "yes"}}, .body = "first"});
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

BOOST_AUTO_TEST_CASE(an_answer_with_a_content_encoding_is_not_forwarded)
{
    this->addRoute({.idempotent = false, .split = {{{"s"}, 1.0}}});
    this->addReplica("s", [](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        listener.answer(
            call,
            {.headers = {requestIdHeader(request), {"Sign", "a"}, {"Content-Encoding", "gzip"}}, .body = "packed"});
    });
    const UpstreamHttpResponse response = this->call(post);
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.body.empty());
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_aborts_the_request_at_the_replica)
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

BOOST_AUTO_TEST_CASE(an_answer_without_the_request_id_is_a_failure_that_may_have_run)
{
    // Such an answer could be the late copy of one to an earlier request.
    for (const int status : {200, 503, 421}) {
        AnonymousReplica replica(status);
        BOOST_TEST(replica.answerToCaller().status == 502);
    }
}
