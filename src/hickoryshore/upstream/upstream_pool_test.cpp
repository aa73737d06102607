#include "hickoryshore/upstream/upstream_pool.h"

#include "hickoryshore/http/http_server.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <map>
#include <thread>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr int testPort = 18473;
const ReplicaId replica{"127.0.0.1:18473"};
const ReplicaId absentReplica{"127.0.0.1:18474"};

/// Answers each sub-request; the query "slow" is answered late and "crossed" with another attempt's id.
HttpResponse answer(const HttpRequest &httpRequest)
{
    const UpstreamRequest request = parseUpstreamRequest(httpRequest.body);
    if (request.query == "slow") {
        std::this_thread::sleep_for(300ms);
    }
    const std::string echo = request.query == "crossed" ? "other" : request.attemptId;
    return {.body = formatUpstreamReply(echo, {.result = request.query}), .headers = {}};
}

UpstreamReply callAndWait(UpstreamPool &pool, const ReplicaId &to, const std::string &query, bool proven = false)
{
    std::promise<UpstreamReply> promise;
    auto future = promise.get_future();
    pool.call(to, {.attemptId = "a-" + query, .query = query}, 100ms, proven, [&promise](const UpstreamReply &reply) {
        promise.set_value(reply);
    });
    return future.get();
}

} // namespace

BOOST_AUTO_TEST_CASE(calls_reuse_a_connection)
{
    const HttpServer server({.port = testPort}, answer);
    UpstreamPool pool({});
    for (int number = 0; number < 50; ++number) {
        const std::string query = std::to_string(number);
        BOOST_TEST(callAndWait(pool, replica, query).result == query);
    }
    BOOST_TEST(pool.counts().opened == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_connection_is_never_reused)
{
    const HttpServer server({.port = testPort}, answer);
    UpstreamPool pool({.connectionsPerServer = 1});
    BOOST_TEST((callAndWait(pool, replica, "slow").code == ResultCode::ConnectionSilent));
    BOOST_TEST(callAndWait(pool, replica, "next").result == "next");
    BOOST_TEST(pool.counts().opened == 2U);
    BOOST_TEST(pool.counts().closedAsSilent == 1U);
}

BOOST_AUTO_TEST_CASE(an_unproven_connection_is_replaced_for_a_non_idempotent_request)
{
    const HttpServer server({.port = testPort}, answer);
    UpstreamPool pool({.connectionsPerServer = 1, .provenFor = 1ms});
    callAndWait(pool, replica, "first");
    std::this_thread::sleep_for(5ms);
    BOOST_TEST(callAndWait(pool, replica, "second", true).result == "second");
    BOOST_TEST(pool.counts().closedAsSuspect == 1U);
}

BOOST_AUTO_TEST_CASE(a_crossed_echo_gives_no_result)
{
    const HttpServer server({.port = testPort}, answer);
    UpstreamPool pool({});
    const UpstreamReply reply = callAndWait(pool, replica, "crossed");
    BOOST_TEST((reply.code == ResultCode::EchoMismatch));
    BOOST_TEST(reply.result.empty());
}

namespace {

/// Makes five calls at once that take the server 300 ms each, over two connections, and returns how often each code
/// came.
std::map<ResultCode, int> codesOfFiveSlowCalls(UpstreamPool &pool, Duration timeout)
{
    std::vector<std::future<ResultCode>> outcomes;
    for (int number = 0; number < 5; ++number) {
        auto promise = std::make_shared<std::promise<ResultCode>>();
        outcomes.push_back(promise->get_future());
        pool.call(replica, {.attemptId = "a", .query = "slow"}, timeout, false, [promise](const UpstreamReply &reply) {
            promise->set_value(reply.code);
        });
    }
    std::map<ResultCode, int> codes;
    for (auto &outcome : outcomes) {
        ++codes[outcome.get()];
    }
    return codes;
}

} // namespace

BOOST_AUTO_TEST_CASE(calls_beyond_the_connection_bound_wait_for_a_connection)
{
    const HttpServer server({.port = testPort}, answer);
    UpstreamPool pool({.connectionsPerServer = 2});
    BOOST_TEST((codesOfFiveSlowCalls(pool, 10s) == std::map<ResultCode, int>{{ResultCode::Ok, 5}}));
    BOOST_TEST(pool.counts().opened == 2U);
}

BOOST_AUTO_TEST_CASE(a_call_that_got_no_connection_within_its_timeout_did_not_run)
{
    const HttpServer server({.port = testPort}, answer);
    UpstreamPool pool({.connectionsPerServer = 2});
    const std::map<ResultCode, int> codes = codesOfFiveSlowCalls(pool, 100ms);
    BOOST_TEST((codes == std::map<ResultCode, int>{{ResultCode::ConnectFailed, 3}, {ResultCode::ConnectionSilent, 2}}));
    BOOST_TEST(pool.counts().opened == 2U);
}

BOOST_AUTO_TEST_CASE(a_call_that_gets_a_connection_when_hardly_any_time_is_left_is_not_sent)
{
    const HttpServer server({.port = testPort}, answer);
    UpstreamPool pool({.connectionsPerServer = 1});
    std::promise<ResultCode> first;
    std::promise<ResultCode> second;
    const auto call = [&pool](Duration timeout, std::promise<ResultCode> &code) {
        pool.call(replica, {.attemptId = "a", .query = "slow"}, timeout, false, [&code](const UpstreamReply &reply) {
            code.set_value(reply.code);
        });
    };
    call(250ms, first);
    call(255ms, second);
    BOOST_TEST((first.get_future().get() == ResultCode::ConnectionSilent));
    BOOST_TEST((second.get_future().get() == ResultCode::ConnectFailed));
    BOOST_TEST(pool.counts().opened == 1U);
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_that_waits_for_a_connection_is_never_sent)
{
    std::atomic<int> requests = 0;
    const HttpServer server({.port = testPort}, [&requests](const HttpRequest &request) {
        requests += request.method == "POST" ? 1 : 0;
        return answer(request);
    });
    UpstreamPool pool({.connectionsPerServer = 1});
    std::promise<ResultCode> first;
    std::promise<ResultCode> second;
    pool.call(replica, {.attemptId = "a", .query = "slow"}, 10s, false, [&first](const UpstreamReply &reply) {
        first.set_value(reply.code);
    });
    pool.call(replica, {.attemptId = "b", .query = "x"}, 10s, false, [&second](const UpstreamReply &reply) {
        second.set_value(reply.code);
    });
    pool.cancel(replica, "b");
    BOOST_TEST((second.get_future().get() == ResultCode::Cancelled));
    BOOST_TEST((first.get_future().get() == ResultCode::Ok));
    BOOST_TEST((callAndWait(pool, replica, "after").code == ResultCode::Ok));
    BOOST_TEST(requests == 2);
}

BOOST_AUTO_TEST_CASE(nobody_listens)
{
    UpstreamPool pool({});
    BOOST_TEST((callAndWait(pool, absentReplica, "x").code == ResultCode::ConnectFailed));
}
