// An HTTP/1.1 server on an event loop's thread: it reads requests, bounds them, and notices callers that leave.
//
//     HttpListener listener(loop, "10.0.0.1:80", settings, {.onRequest = [&](HttpCallId call, auto request) {
//         listener.answer(call, {.status = 200, .body = "hello"});
//     }});
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/http1/http_exchange.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// Identifies a request that awaits its answer.
using HttpCallId = NumberId<struct HttpCallTag>;

/// Bounds of what clients may send.
struct HttpListenerSettings
{
    HttpRequestLimits limits;
    Duration requestTimeout{std::chrono::seconds(5)}; ///< From the first byte of a request until it is whole.
    Duration idleTimeout{std::chrono::seconds(60)}; ///< Without a request on an open connection.
    Duration unacknowledgedTimeout{std::chrono::seconds(5)}; ///< A client that takes nothing for so long is gone.
};

/// An answer. Length and connection fields are set by the listener.
struct HttpAnswer
{
    int status = 200;
    std::string_view reason; ///< Empty: the usual one.
    std::vector<HttpHeader> headers;
    std::string body;
    bool close = false; ///< The connection ends after it.
};

/// What a listener tells; on the loop's thread.
struct HttpListenerHooks
{
    std::function<void(HttpCallId, HttpServerRequest)> onRequest;

    /// The client closed the connection before its answer; answers to this call are dropped.
    std::function<void(HttpCallId)> onClientLeft;

    /// A request was refused by the listener itself, with this status.
    std::function<void(int status)> onRefused;
};

/// One listening address and its connections.
class HttpListener
{
public:
    /// Listens on "ip:port". Before EventLoop::run(). Throws std::system_error.
    HttpListener(EventLoop &loop, std::string_view address, HttpListenerSettings settings, HttpListenerHooks hooks);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Answers a request. Later answers to the same call are dropped.
    void answer(HttpCallId call, const HttpAnswer &answer);

    /// Changes the bounds; they hold from the next request of each connection on.
    void setBounds(const HttpListenerSettings &settings);

    /// From now on each connection ends with its next answer.
    void closeAfterAnswers();

    std::size_t connections() const;

    /// Connections on which a request is being read or answered, or whose answer has not been sent whole.
    std::size_t busyConnections() const;

private:
    using Id = std::uint64_t;

    struct Connection
    {
        int descriptor = -1;
        std::uint64_t watch = 0;
        HttpRequestReader reader;
        std::string outgoing;
        std::size_t sent = 0;
        HttpCallId call; ///< Zero: no request awaits its answer.
        bool isHead = false;
        bool closing = false; ///< Ends once everything is sent.
        Instant since; ///< Begin of the wait for a request, or for the rest of one.
        bool inRequest = false; ///< A part of a request has come.
    };

    void accept();
    void onReady(Id id, Readiness readiness);
    void receive(Id id, Connection &connection);
    bool process(Id id, Connection &connection, HttpRequestReader::Progress progress);
    void refuse(Id id, Connection &connection, int status);
    void send(Id id, Connection &connection);
    void close(Id id, bool clientLeft);
    void checkTimeouts();

    EventLoop &loop;
    HttpListenerSettings settings;
    HttpListenerHooks hooks;
    int descriptor = -1;
    std::unordered_map<Id, Connection> open;
    std::unordered_map<HttpCallId, Id> calls;
    Id lastId = 0;
    std::uint64_t lastCall = 0;
    bool ending = false;
    std::vector<char> received;
};

} // namespace hickoryshore
