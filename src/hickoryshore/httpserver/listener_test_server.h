// A listener and clients of it over real connections, for tests; the listener's loop has a thread of its own.
#pragma once

#include "hickoryshore/httpserver/http_listener.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore::test {

using namespace std::chrono_literals;

inline constexpr int longestReadMs = 5000;
inline constexpr std::size_t longAnswer = std::size_t{16} * 1024 * 1024;
inline constexpr Duration stalledTimeout = 1s;

/// Returns a port of the loopback address that was free a moment ago.
inline int freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    BOOST_REQUIRE(bind(descriptor, reinterpret_cast<const sockaddr *>(&address), size) == 0);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    close(descriptor);
    return ntohs(address.sin_port);
}

/// A client that writes bytes and reads what comes.
class Client
{
public:
    /// Marks a client that connects with connectNow().
    struct Later
    { };

    explicit Client(int port)
    {
        this->connectNow(port);
    }

    explicit Client(Later /*later*/)
    { }

    void connectNow(int port) const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        BOOST_REQUIRE(connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    }

    ~Client()
    {
        close(this->descriptor);
    }

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    void send(std::string_view bytes) const
    {
        BOOST_REQUIRE(::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
                      == static_cast<ssize_t>(bytes.size()));
    }

    /// Returns whether all bytes were sent.
    bool trySend(std::string_view bytes) const
    {
        return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    /// Reads until the text has come, or the connection ends.
    std::string readUntil(std::string_view wanted)
    {
        while (this->received.find(wanted) == std::string::npos && this->readMore()) { }
        return std::exchange(this->received, {});
    }

    /// Reads at most so many bytes that have come.
    std::size_t readSome(std::size_t bytes)
    {
        std::string buffer(bytes, '\0');
        const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        const auto read = static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        this->received.append(buffer, 0, read);
        return read;
    }

    /// Reads to the end of the connection.
    std::string readAll()
    {
        while (this->readMore()) { }
        return std::exchange(this->received, {});
    }

private:
    /// Waits for bytes and reads them. Returns false at the end of the connection, or if none come.
    bool readMore()
    {
        std::array<char, 4096> buffer;
        pollfd readable{.fd = this->descriptor, .events = POLLIN, .revents = 0};
        if (poll(&readable, 1, longestReadMs) != 1) {
            return false;
        }
        const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
        this->received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        return count > 0;
    }

    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    std::string received;
};

/// A listener that answers each request with its target, but for those to /wait.
struct Server
{
    int port = freePort();
    EventLoop loop{0};
    std::atomic<int> requests = 0;
    std::atomic<int> left = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> crowded = 0;
    std::atomic<int> stalled = 0;
    std::atomic<int> cut = 0;
    HttpListener listener;
    std::thread thread;

    explicit Server(const HttpListenerSettings &settings = {.limits = {.headerBytes = 1000, .bodyBytes = 1000},
                                                            .requestTimeout = 300ms,
                                                            .idleTimeout = 1s,
                                                            .stalledTimeout = stalledTimeout})
        : listener(this->loop,
                   "127.0.0.1:" + std::to_string(this->port),
                   settings,
                   {.onRequest =
                        [this](HttpCallId call, const HttpServerRequest &request) {
                            ++this->requests;
                            if (request.target == "/long") {
                                this->listener.answer(call, {.body = std::string(longAnswer, 'x'), .label = "long"});
                            } else if (request.target != "/wait") {
                                this->listener.answer(call, {.body = request.target + request.body + "|"});
                            }
                        },
                    .onClientLeft =
                        [this](HttpCallId) {
                            ++this->left;
                        },
                    .onRefused =
                        [this](int) {
                            ++this->refused;
                        },
                    .onAnswerCut =
                        [this](const HttpAnswerCut &answer) {
                            this->cut += answer.label == "long" && answer.unsentBytes > 0 ? 1 : 0;
                            this->stalled += answer.cause == HttpCutCause::ClientStalled ? 1 : 0;
                        },
                    .onCrowded =
                        [this](HttpCrowding) {
                            ++this->crowded;
                        }}),
          thread([this] {
              this->loop.run();
          })
    { }

    /// Waits until so many connections are busy, for at most 5 s.
    void awaitBusy(std::size_t wanted)
    {
        std::size_t busy = wanted + 1;
        for (int tries = 0; tries < 500 && busy != wanted; ++tries) {
            std::promise<std::size_t> counted;
            this->loop.post([this, &counted] {
                counted.set_value(this->listener.busyConnections());
            });
            busy = counted.get_future().get();
            std::this_thread::sleep_for(10ms);
        }
        BOOST_TEST(busy == wanted);
    }

    /// Waits until a client has left, for at most 5 s.
    void awaitLeft() const
    {
        for (int tries = 0; tries < 500 && this->left == 0; ++tries) {
            std::this_thread::sleep_for(10ms);
        }
    }

    ~Server()
    {
        this->loop.stop();
        this->thread.join();
    }
};

inline const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace hickoryshore::test
