// An HTTP/1.1 server on an event loop's thread: it reads requests, bounds them and what all clients together take, and
// notices callers that leave.
//
//     HttpListener listener(loop, "10.0.0.1:80", settings, {.onRequest = [&](HttpCallId call, auto request) {
//         listener.answer(call, {.status = 200, .body = "hello"});
//     }});
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/clientlimits/client_choice.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/http1/http_exchange.h"

#include <cstdint>
#include <functional>
#include <limits>
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
    Duration stalledTimeout{
        std::chrono::seconds(5)}; ///< An answer of which the client reads nothing for so long is cut.

    /// Connections that are open at once. For another one, a connection without a request is closed.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();

    /// Memory, in bytes, that requests and unread answers of all connections take together. Beyond it, incomplete
    /// requests are refused with 503, and answers are cut; see chooseForBytes().
    std::size_t maxKeptBytes = std::numeric_limits<std::size_t>::max();

    Duration retryAfter{std::chrono::milliseconds(100)}; ///< What a client that is refused for them is told.

    /// Of what the system receives for a connection before it is read; zero leaves it to the system. Not changed by
    /// setBounds().
    int receiveBufferBytes = 0;
};

/// An answer. Length and connection fields are set by the listener.
struct HttpAnswer
{
    int status = 200;
    std::string_view reason; ///< Empty: the usual one.
    std::vector<HttpHeader> headers;
    std::string body;
    bool close = false; ///< The connection ends after it.
    std::string label; ///< Names the answer in HttpListenerHooks::onAnswerCut.
};

/// Why an answer was cut.
enum class HttpCutCause {
    ClientLeft, ///< The client closed or reset the connection.
    ClientStalled, ///< The client read nothing for stalledTimeout.
    Memory, ///< All connections together took more than maxKeptBytes.
    Ending, ///< cutAnswers()
};

/// What became of a connection since there were too many.
enum class HttpCrowding {
    ClosedForOthers, ///< A connection without a request, or whose client made no progress, was closed.
    Refused, ///< A new connection was closed at once.
    NoDescriptors, ///< The same, since the process had no descriptor left.
};

/// An answer that was not sent whole.
struct HttpAnswerCut
{
    std::string label; ///< See HttpAnswer::label.
    std::size_t unsentBytes = 0;
    HttpCutCause cause = HttpCutCause::ClientLeft;
};

/// What a listener tells; on the loop's thread.
struct HttpListenerHooks
{
    std::function<void(HttpCallId, HttpServerRequest)> onRequest;

    /// The client closed the connection before its answer; answers to this call are dropped.
    std::function<void(HttpCallId)> onClientLeft;

    /// A request was refused by the listener itself, with this status.
    std::function<void(int status)> onRefused;

    /// A connection was closed before an answer was sent whole.
    std::function<void(const HttpAnswerCut &)> onAnswerCut;

    /// A connection was closed since there were too many.
    std::function<void(HttpCrowding)> onCrowded;
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

    /// Returns the IP address of the client of a request that awaits its answer; empty for any other request.
    std::string clientAddress(HttpCallId call) const;

    /// Changes the bounds; they hold from the next request of each connection on.
    void setBounds(const HttpListenerSettings &settings);

    /// From now on each connection ends with its next answer.
    void closeAfterAnswers();

    /// Closes the connections whose answers have not been sent whole, for a process that is about to end.
    void cutAnswers();

    std::size_t connections() const;

    /// Returns the memory, in bytes, that requests and unread answers of all connections take.
    std::size_t keptBytes() const;

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
        std::string label; ///< Of the last answer in `outgoing`.
        std::size_t unread = 0; ///< Bytes that the client had not taken when its progress was last seen.
        Instant progressAt; ///< When the client last sent bytes, or took bytes of `outgoing`.
        HttpCallId call; ///< Zero: no request awaits its answer.
        std::size_t workBytes = 0; ///< Memory of the request that awaits its answer.
        std::size_t kept = 0; ///< What the connection counts for in keptTogether.
        std::size_t discarded = 0; ///< Bytes received on a connection that is closing.
        bool isHead = false;
        bool closing = false; ///< Ends once everything is sent.
        bool paused = false; ///< What has come is left in the socket until the answer is sent.
        bool resuming = false; ///< resume() will be called.
        Instant since; ///< Begin of the wait for a request, for the rest of one, or for the client's end.
        Instant endedAt; ///< When everything was sent on a connection that is closing.
        bool inRequest = false; ///< A part of a request has come.
    };

    void accept();
    bool acceptOne();
    bool refuseForDescriptors();
    bool makeRoom();
    void onReady(Id id, Readiness readiness);
    void receive(Id id, Connection &connection);
    bool take(Id id, Connection &connection, std::string_view bytes);
    bool discard(Id id, Connection &connection, std::size_t bytes);
    bool process(Id id, Connection &connection, HttpRequestReader::Progress progress);
    void resumeSoon(Id id, Connection &connection);
    void resume(Id id);
    bool mustPause(const Connection &connection) const;
    void refuse(Id id, Connection &connection, const HttpAnswer &refusal);
    void queue(Connection &connection, std::string bytes, std::string_view label);
    void send(Id id, Connection &connection);
    void onSent(Id id, Connection &connection);
    void close(Id id, bool clientLeft);
    void cut(Id id, HttpCutCause cause);
    void reportCut(const Connection &connection, HttpCutCause cause) const;
    void reportCrowding(HttpCrowding crowding) const;
    void checkTimeouts();
    bool isStalled(Connection &connection, Instant now) const;
    static bool isBusy(const Connection &connection);
    static ClientStage stageOf(const Connection &connection);
    std::vector<ClientUse> uses() const;
    void countKept(Connection &connection);
    void boundKept();

    EventLoop &loop;
    HttpListenerSettings settings;
    HttpListenerHooks hooks;
    int descriptor = -1;
    int spareDescriptor = -1; ///< Given up for a moment to refuse a connection when there is no other descriptor.
    std::unordered_map<Id, Connection> open;
    std::size_t keptTogether = 0; ///< Bytes, over all connections.
    std::unordered_map<HttpCallId, Id> calls;
    Id lastId = 0;
    std::uint64_t lastCall = 0;
    bool ending = false;
    std::vector<char> received;
};

} // namespace hickoryshore
