#include "hickoryshore/clock/clock.h"
#include "hickoryshore/http/http_client.h"
#include "hickoryshore/http/http_server.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr int testPort = 18471;
constexpr int unusedPort = 18472;

HttpResponse echo(const HttpRequest &request)
{
    if (request.path == "/slow") {
        std::this_thread::sleep_for(400ms);
    }
    if (request.path == "/throw") {
        throw std::runtime_error("test");
    }
    return {.body = request.method + request.path + '?' + request.queryString + request.body, .headers = {}};
}

/// Opens a connection that sends this and then nothing more.
int connectRaw(std::string_view bytes)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(testPort);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    BOOST_REQUIRE(connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return descriptor;
}

/// A server whose handler waits on "/wait" until its caller leaves, on "/until" until the test says so.
struct WaitingServer
{
    std::atomic<int> waiting = 0;
    std::atomic<int> left = 0;
    std::promise<void> said;
    std::shared_future<void> until = said.get_future().share();
    HttpServer server{{.port = testPort, .threads = 64},
                      [this](const HttpRequest &request, const CallerConnection &caller) {
                          return this->serve(request, caller);
                      }};

    HttpResponse serve(const HttpRequest &request, const CallerConnection &caller)
    {
        auto closed = std::make_shared<std::promise<void>>();
        const CallerConnection::Guard guard = caller.whenClosed([this, closed] {
            ++this->left;
            closed->set_value();
        });
        ++this->waiting;
        if (request.path == "/wait") {
            closed->get_future().wait();
        } else if (request.path == "/until") {
            this->until.wait();
        }
        --this->waiting;
        return echo(request);
    }

    /// Waits until as many handlers wait.
    void waitFor(int count) const
    {
        while (this->waiting != count) {
            std::this_thread::sleep_for(1ms);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_handler_learns_at_once_that_its_caller_left)
{
    WaitingServer waiting;
    std::vector<std::unique_ptr<HttpConnection>> leaving;
    std::vector<std::future<bool>> timedOut;
    for (int number = 0; number < 20; ++number) {
        leaving.push_back(std::make_unique<HttpConnection>("127.0.0.1", testPort));
        BOOST_TEST(leaving.back()->exchange({.path = "/a"}, 2s).status == 200);
        timedOut.push_back(std::async(std::launch::async, [&connection = *leaving.back()] {
            try {
                connection.exchange({.path = "/wait"}, 300ms);
                return false;
            } catch (const HttpError &error) {
                return error.failure == HttpFailure::Timeout;
            }
        }));
    }
    waiting.waitFor(20);
    for (std::future<bool> &exchange : timedOut) {
        BOOST_TEST(exchange.get());
    }
    // A caller that only gave up waiting is still there.
    BOOST_TEST(waiting.left == 0);
    leaving.resize(15);
    waiting.waitFor(15);
    BOOST_TEST(waiting.left == 5);
    leaving.clear();
    waiting.waitFor(0);
    BOOST_TEST(waiting.left == 20);
}

BOOST_AUTO_TEST_CASE(a_handler_is_not_told_of_other_callers_or_of_its_own_after_the_answer)
{
    WaitingServer waiting;
    HttpConnection staying("127.0.0.1", testPort);
    for (int number = 0; number < 3; ++number) {
        BOOST_TEST(staying.exchange({.path = "/a"}, 2s).status == 200);
    }
    auto exchange = std::async(std::launch::async, [&staying] {
        return staying.exchange({.path = "/until"}, 10s).status;
    });
    waiting.waitFor(1);
    for (int number = 0; number < 50; ++number) {
        HttpConnection other("127.0.0.1", testPort);
        BOOST_TEST(other.exchange({.path = "/a"}, 2s).status == 200);
    }
    waiting.said.set_value();
    BOOST_TEST(exchange.get() == 200);
    BOOST_TEST(waiting.left == 0);
}

BOOST_AUTO_TEST_CASE(many_exchanges_on_one_connection)
{
    const HttpServer server({.port = testPort}, echo);
    HttpConnection connection("127.0.0.1", testPort);
    for (int number = 0; number < 100; ++number) {
        const std::string body = "body-" + std::to_string(number);
        const HttpResponse response = connection.exchange(
            {.method = "POST", .path = "/a", .queryString = "b=c", .body = body, .headers = {}}, 1s);
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.body == "POST/a?b=c" + body);
        BOOST_TEST(connection.reusable());
    }
}

BOOST_AUTO_TEST_CASE(idle_connections_keep_no_new_caller_waiting)
{
    const HttpServer server({.port = testPort, .threads = 4}, echo);
    std::vector<std::unique_ptr<HttpConnection>> kept;
    for (int number = 0; number < 20; ++number) {
        kept.push_back(std::make_unique<HttpConnection>("127.0.0.1", testPort));
        BOOST_TEST(kept.back()->exchange({.path = "/a"}, 2s).status == 200);
    }
}

BOOST_AUTO_TEST_CASE(silent_connections_keep_no_new_caller_waiting_for_long)
{
    std::atomic<int> faults = 0;
    const auto answerFault = [&faults](const HttpFault &fault) {
        ++faults;
        return HttpResponse{.status = fault.status, .headers = {}};
    };
    const HttpServer server(
        {.port = testPort, .threads = 4, .requestTimeout = 200ms, .keepAlive = 10s, .answerFault = answerFault}, echo);
    std::vector<int> silent;
    for (const std::string_view sent : {"", "GET /a HT", "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n1", ""}) {
        silent.push_back(connectRaw(sent));
    }
    BOOST_TEST(HttpConnection("127.0.0.1", testPort).exchange({.path = "/a"}, 5s).status == 200);
    // The two that sent a part of a request are answered, whether the new caller came before or after.
    const Instant end = monotonicNow() + 5s;
    while (faults < 2 && monotonicNow() < end) {
        std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(faults == 2);
    for (const int descriptor : silent) {
        close(descriptor);
    }
}

BOOST_AUTO_TEST_CASE(a_timeout_spoils_the_connection)
{
    const HttpServer server({.port = testPort}, echo);
    HttpConnection connection("127.0.0.1", testPort);
    BOOST_CHECK_EXCEPTION(connection.exchange({.path = "/slow"}, 50ms), HttpError, [](const HttpError &error) {
        return error.failure == HttpFailure::Timeout;
    });
    BOOST_TEST(!connection.reusable());
}

BOOST_AUTO_TEST_CASE(nobody_listens)
{
    BOOST_CHECK_EXCEPTION(HttpConnection("127.0.0.1", unusedPort), HttpError, [](const HttpError &error) {
        return error.failure == HttpFailure::Connect;
    });
}

BOOST_AUTO_TEST_CASE(handler_errors_and_long_bodies_are_answered)
{
    const HttpServer server({.port = testPort, .largestBody = 10}, echo);
    BOOST_TEST(HttpConnection("127.0.0.1", testPort).exchange({.path = "/throw"}, 1s).status == 500);
    const HttpRequest tooLong{.method = "POST", .path = "/a", .queryString = {}, .body = "12345678901", .headers = {}};
    BOOST_TEST(HttpConnection("127.0.0.1", testPort).exchange(tooLong, 1s).status == 413);
}

BOOST_AUTO_TEST_CASE(addresses)
{
    BOOST_TEST(parseHostPort("127.0.0.1:80").port == 80);
    for (const char *wrong : {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "a:1x"}) {
        BOOST_CHECK_THROW(parseHostPort(wrong), std::invalid_argument);
    }
    BOOST_TEST(findQueryParameter("a=1&b=x%20y", "b").value() == "x y");
    BOOST_TEST(!findQueryParameter("a=1", "c").has_value());
    BOOST_TEST(encodeQueryValue("servers/a-1._~") == "servers/a-1._~");
    BOOST_TEST(encodeQueryValue("&%+ #;\r\n") == "%26%25%2B%20%23%3B%0D%0A");
    std::string allBytes;
    for (int byte = 0; byte < 256; ++byte) {
        allBytes += static_cast<char>(byte);
    }
    const std::string query = "a=" + encodeQueryValue(allBytes) + "&b=1";
    BOOST_TEST((findQueryParameter(query, "a") == allBytes));
    BOOST_TEST(findQueryParameter(query, "b").value() == "1");
}
