// The rules of connections, against a peer that answers with given bytes.
#include "hickoryshore/upstream/upstream_pool.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <limits>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

/// How often and how long an expected change is waited for.
constexpr auto pause = 5ms;
constexpr int pauses = 1000;

std::string httpResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a free port. Each request on the connection number N is answered with the text number N, or the last one;
/// an empty text closes the connection unanswered. After so many answers a connection is silent.
class BytesServer
{
public:
    explicit BytesServer(std::vector<std::string> texts, int answersPerConnection = std::numeric_limits<int>::max())
        : texts(std::move(texts)), answersPerConnection(answersPerConnection)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(bind(this->listener, reinterpret_cast<const sockaddr *>(&address), size) == 0);
        BOOST_REQUIRE(listen(this->listener, 16) == 0);
        getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->acceptor = std::thread([this] {
            this->accept();
        });
    }

    ~BytesServer()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        this->endConnections();
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        for (const int descriptor : this->descriptors) {
            close(descriptor);
        }
        close(this->listener);
    }

    BytesServer(const BytesServer &) = delete;
    BytesServer &operator=(const BytesServer &) = delete;

    ReplicaId replica() const
    {
        return {"127.0.0.1:" + std::to_string(this->port)};
    }

    void endConnections()
    {
        const std::lock_guard lock(this->mutex);
        for (const int descriptor : this->descriptors) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }

    std::atomic<int> accepted = 0;

private:
    void accept()
    {
        int descriptor = -1;
        while ((descriptor = ::accept(this->listener, nullptr, nullptr)) >= 0) {
            const std::lock_guard lock(this->mutex);
            const std::size_t number = std::min<std::size_t>(this->descriptors.size(), this->texts.size() - 1);
            this->descriptors.push_back(descriptor);
            ++this->accepted;
            this->threads.emplace_back([this, descriptor, text = this->texts[number]] {
                this->serve(descriptor, text);
            });
        }
    }

    void serve(int descriptor, const std::string &text) const
    {
        std::string buffer(4096, '\0');
        int answers = 0;
        while (recv(descriptor, buffer.data(), buffer.size(), 0) > 0 && !text.empty()) {
            if (++answers <= this->answersPerConnection) {
                send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            }
        }
        shutdown(descriptor, SHUT_RDWR);
    }

    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int port = 0;
    std::vector<std::string> texts;
    int answersPerConnection;
    std::mutex mutex;
    std::vector<int> descriptors;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

UpstreamReply callAndWait(UpstreamPool &pool, const ReplicaId &replica, Duration timeout = 5s)
{
    std::promise<UpstreamReply> promise;
    auto future = promise.get_future();
    pool.call(replica, {.attemptId = "a"}, timeout, false, [&promise](const UpstreamReply &reply) {
        promise.set_value(reply);
    });
    return future.get();
}

bool becomesTrue(const std::function<bool()> &condition)
{
    for (int count = 0; count < pauses && !condition(); ++count) {
        std::this_thread::sleep_for(pause);
    }
    return condition();
}

const std::string okReply = httpResponse(formatUpstreamReply("a", {.result = "1"}));

} // namespace

BOOST_AUTO_TEST_CASE(a_crossed_echo_closes_the_connection)
{
    const BytesServer server({httpResponse(formatUpstreamReply("other", {.result = "1"})), okReply});
    UpstreamPool pool({});
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::EchoMismatch));
    BOOST_TEST(pool.counts().open == 0);
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
    BOOST_TEST(pool.counts().opened == 2U);
}

BOOST_AUTO_TEST_CASE(garbage_and_surplus_bytes_close_the_connection)
{
    const BytesServer server({"garbage\r\n\r\n", okReply + "more", okReply});
    UpstreamPool pool({});
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::UpstreamGarbage));
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::UpstreamGarbage));
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
    BOOST_TEST(pool.counts().opened == 3U);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_sent_and_not_answered_may_have_run)
{
    const BytesServer server({"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", okReply});
    UpstreamPool pool({});
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::ConnectionLost));
    BOOST_TEST((callAndWait(pool, server.replica(), 100ms).code == ResultCode::ConnectionSilent));
    BOOST_TEST(pool.counts().closedAsSilent == 1U);
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(the_older_idle_siblings_of_a_silent_connection_are_closed)
{
    // Each connection answers once and is silent then. The one used last is used again; its sibling is the spare.
    const BytesServer server({okReply}, 1);
    UpstreamPool pool({.connectionsPerServer = 3, .warmSpare = true});
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
    BOOST_TEST(becomesTrue([&pool] {
        return pool.counts().open == 2;
    }));
    BOOST_TEST((callAndWait(pool, server.replica(), 100ms).code == ResultCode::ConnectionSilent));
    BOOST_TEST(pool.counts().closedAsSilent == 1U);
    BOOST_TEST(pool.counts().closedAsSuspect == 1U);
    BOOST_TEST(pool.counts().open == 0);
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(a_connection_that_ends_while_idle_is_noticed)
{
    BytesServer server({okReply});
    UpstreamPool pool({});
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
    server.endConnections();
    BOOST_TEST(becomesTrue([&pool] {
        return pool.counts().open == 0;
    }));
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_after_its_time)
{
    const BytesServer server({okReply});
    UpstreamPool pool({.idleLimit = 20ms});
    BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
    BOOST_TEST(becomesTrue([&pool] {
        return pool.counts().open == 0;
    }));
}

BOOST_AUTO_TEST_CASE(a_spare_connection_is_opened_within_the_bound)
{
    const BytesServer server({okReply});
    UpstreamPool pool({.connectionsPerServer = 2, .warmSpare = true});
    for (int number = 0; number < 10; ++number) {
        BOOST_TEST((callAndWait(pool, server.replica()).code == ResultCode::Ok));
    }
    BOOST_TEST(becomesTrue([&pool] {
        return pool.counts().open == 2;
    }));
    BOOST_TEST(pool.counts().opened == 2U);

    UpstreamPool bounded({.connectionsPerServer = 1, .warmSpare = true});
    BOOST_TEST((callAndWait(bounded, server.replica()).code == ResultCode::Ok));
    BOOST_TEST((callAndWait(bounded, server.replica()).code == ResultCode::Ok));
    BOOST_TEST(bounded.counts().opened == 1U);
}

BOOST_AUTO_TEST_CASE(a_long_reply_comes_whole)
{
    const std::string result(3'000'000, 'x');
    const BytesServer server({httpResponse(formatUpstreamReply("a", {.result = result}))});
    UpstreamPool pool({});
    BOOST_TEST((callAndWait(pool, server.replica()).result == result));
}

BOOST_AUTO_TEST_CASE(a_pool_on_a_given_loop_completes_later_and_on_its_thread)
{
    const BytesServer server({okReply});
    EventLoop loop{0};
    UpstreamPool pool(loop, {.connectionsPerServer = 1});
    std::vector<ResultCode> codes;
    const auto note = [&codes, &loop](const UpstreamReply &reply) {
        codes.push_back(reply.code);
        if (codes.size() == 2) {
            loop.stop();
        }
    };
    loop.post([&] {
        pool.call(server.replica(), {.attemptId = "a"}, 5s, false, note);
        // Fails at once.
        pool.call({"no address"}, {.attemptId = "a"}, 5s, false, note);
        BOOST_TEST(codes.empty());
    });
    loop.run();
    BOOST_TEST((codes == std::vector{ResultCode::ConnectFailed, ResultCode::Ok}));
}

BOOST_AUTO_TEST_CASE(a_request_is_made_when_a_connection_takes_it_and_not_sent_when_it_is_too_late)
{
    BytesServer server({httpResponse("first")});
    EventLoop loop(0);
    const auto connections = std::make_shared<HttpConnections>(loop, HttpConnectionSettings{.connectionsPerServer = 1});
    std::vector<std::string> made;
    std::vector<HttpExchangeEnd> ends;
    const auto exchange = [&](const std::string &name, bool inTime) {
        HttpExchange started{.timeout = 5s, .waits = true};
        started.makeRequest = [&made, &ends, name, inTime]() -> std::optional<std::string> {
            made.push_back(name + " after " + std::to_string(ends.size()));
            return inTime ? std::optional(formatHttpRequest("GET", "/", "h", "")) : std::nullopt;
        };
        started.onEnd = [&](HttpExchangeEnd end) {
            ends.push_back(std::move(end));
            if (ends.size() == 3) {
                loop.stop();
            }
        };
        return started;
    };
    loop.post([&] {
        connections->start(server.replica().value, exchange("a", true));
        connections->start(server.replica().value, exchange("b", false));
        connections->start(server.replica().value, exchange("c", true));
    });
    loop.run();
    BOOST_TEST(made.size() == 3);
    // The one connection takes b only once a has its answer.
    BOOST_TEST(made.at(1) == "b after 1");
    BOOST_TEST(!ends.at(0).failure.has_value());
    BOOST_TEST(std::ranges::count_if(ends,
                                     [](const HttpExchangeEnd &end) {
                                         return end.failure == HttpFailure::Connect && !end.sent;
                                     })
               == 1);
    BOOST_TEST(connections->counts().opened == 1U);
}
