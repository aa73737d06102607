// Pooled connections to HTTP servers, as their loop's thread sees them: opened, used, given back, closed.
//
//     auto connections = std::make_shared<HttpConnections>(loop, settings);
//     connections->start(server, {.request = bytes, .timeout = 500ms, .onEnd = use});
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/http/http_client.h"
#include "hickoryshore/http1/http_exchange.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickoryshore {

/// Returns whether this machine has an IPv4 address.
bool isOwnAddress(const std::string &address);

/// Bounds of the connections of one pool.
struct HttpConnectionSettings
{
    int connectionsPerServer = 6; ///< Upper bound for each server until setLimit() sets another.
    Duration idleLimit{std::chrono::seconds(20)}; ///< An idle connection is closed after this time.
    Duration provenFor{std::chrono::milliseconds(500)}; ///< A connection is proven alive this long after a reply.
    std::string sourceAddress; ///< IPv4 address that connections come from, where it is this machine's; empty: any.
    bool warmSpare = false; ///< One connection more is opened when the last idle one is taken into use.
    Duration keepAliveProbe{0}; ///< Interval of TCP keep-alive probes; zero sends none.
    HttpResponseRules responses;

    /// Of all responses that are being read. Beyond it the longest one fails as malformed. Zero: no bound.
    std::size_t bytesTogether = 0;
};

/// Counts over the life of the pool.
struct HttpConnectionCounts
{
    std::uint64_t opened = 0;
    std::uint64_t failedToOpen = 0;
    std::uint64_t closedAsSilent = 0;
    std::uint64_t closedAsSuspect = 0;
    std::uint64_t closedAsTooLong = 0; ///< Since all responses together took too much memory.
    std::uint64_t closedForRepeats = 0; ///< To open another one for an exchange that excludes all idle ones.
    std::uint64_t foreignResponses = 0; ///< Responses that belong to another request.
    int open = 0;
};

/// Identifies a connection of one pool.
using HttpConnectionId = NumberId<struct HttpConnectionTag>;

/// What an exchange came to.
struct HttpExchangeEnd
{
    std::optional<HttpFailure> failure;
    bool sent = false; ///< A part of the request, at least, was handed to the network.
    bool dropped = false; ///< By dropWaiting().
    bool withdrawn = false; ///< makeRequest made none: nothing was sent.
    UpstreamHttpResponse response; ///< Where there is no failure.
    HttpConnectionId connection; ///< The connection on which the response came.
};

/// Identifies an exchange of one pool.
using HttpExchangeId = NumberId<struct HttpExchangeTag>;

/// One exchange to be made.
struct HttpExchange
{
    std::string request; ///< As bytes.

    /// Makes the request at the moment at which a connection takes it, for what depends on the time; nothing where it
    /// is not to be sent any more. Empty: `request` stands already.
    std::function<std::optional<std::string>()> makeRequest;

    /// Sent behind the request, by several exchanges without a copy for each; may be empty. It is let go once it is
    /// sent.
    std::shared_ptr<const std::string> sharedTail;

    Duration timeout{0};
    bool proven = false; ///< Only over a new connection or one proven alive.
    bool waits = false; ///< Waits for a connection where all that the bound allows are in use, rather than fail.
    bool bodiless = false; ///< A HEAD request.
    std::size_t mostBodyBytes = 0; ///< Of the response; zero: what the pool's rules say.
    std::string tag; ///< Names it for dropWaiting().
    std::function<void(HttpExchangeEnd)> onEnd; ///< May be empty.

    /// Whether the response answers this request; empty where any does. A connection on which another one came is
    /// closed: what follows may answer an earlier request, too.
    std::function<bool(const UpstreamHttpResponse &)> belongs;

    /// A response that does not belong is passed over, and the next one awaited, rather than handed to onEnd.
    bool skipsForeign = false;

    /// Connections that must not carry it: the same request was answered there before, and `belongs` can't tell a late
    /// copy of that response from the response to this exchange.
    std::vector<HttpConnectionId> excluded;
};

/// All connections of one pool. Used on its loop's thread only, but for counts().
class HttpConnections : public std::enable_shared_from_this<HttpConnections>
{
public:
    HttpConnections(EventLoop &loop, HttpConnectionSettings settings);
    ~HttpConnections();
    HttpConnections(const HttpConnections &) = delete;
    HttpConnections &operator=(const HttpConnections &) = delete;

    /// Bounds the connections to the server "ip:port". A lowered bound holds for new connections only.
    void setLimit(std::string_view server, int connections);

    /// Makes the exchange with the server "ip:port"; its onEnd is called later, never within start(), at the latest
    /// after the timeout.
    HttpExchangeId start(std::string_view server, HttpExchange exchange);

    /// Gives an exchange up: its connection is closed, onEnd is not called. Ids of ended exchanges are ignored.
    void abort(HttpExchangeId exchange);

    /// Returns whether an exchange with this tag waited for a connection: it will not be sent, and onEnd is told so.
    bool dropWaiting(std::string_view server, std::string_view tag);

    /// Ends the exchanges that wait for a connection to this server and whose makeRequest makes no request any more.
    void withdrawWaiting(std::string_view server);

    /// Closes the idle connections to a server that brought no reply since this time: what made one connection silent
    /// may have done it to all.
    void closeSuspects(std::string_view server, Instant notAliveSince);

    HttpConnectionCounts counts() const;

private:
    using Id = std::uint64_t;

    struct Server
    {
        std::string name; ///< "ip:port"
        int limit = 0;
        int open = 0; ///< Including those that are being opened.
        std::vector<Id> idle; ///< The one used last is at the end; includes a spare that is being opened.
        std::deque<Id> waiting; ///< Exchanges without a connection, oldest first.
    };

    /// An exchange for which no connection is free.
    struct Waiting
    {
        Server *server = nullptr;
        HttpExchange exchange;
        Instant deadline;
    };

    struct Connection
    {
        Server *server = nullptr;
        int descriptor = -1;
        std::uint64_t watch = 0;
        bool connected = false;
        bool sawForeign = false; ///< A response came that answers another request.
        int foreign = 0; ///< Such responses while this exchange waits.
        std::size_t buffered = 0; ///< Bytes of a response that is not complete.
        Instant lastAlive; ///< Opened, or last reply.
        Instant sentAt;
        Instant deadline; ///< Of the exchange, of the opening, or of being idle.
        std::optional<HttpExchange> exchange;
        Id exchangeId = 0;
        std::size_t sent = 0; ///< Bytes of the request, and of the shared tail once that is whole.
        bool sentWhole = false;
        HttpResponseReader reader;
    };

    struct Counters
    {
        std::atomic<std::uint64_t> opened = 0;
        std::atomic<std::uint64_t> failedToOpen = 0;
        std::atomic<std::uint64_t> closedAsSilent = 0;
        std::atomic<std::uint64_t> closedAsSuspect = 0;
        std::atomic<std::uint64_t> closedAsTooLong = 0;
        std::atomic<std::uint64_t> closedForRepeats = 0;
        std::atomic<std::uint64_t> foreignResponses = 0;
        std::atomic<int> open = 0;
    };

    Server &serverOf(std::string_view server);
    std::optional<Id> takeIdle(Server &server, const HttpExchange &exchange);
    std::optional<Id> takeOrOpen(Server &server, const HttpExchange &exchange, Instant deadline);
    std::optional<Id> open(Server &server, Instant deadline);
    void keepSpare(Server &server);
    void use(Id id, Id exchangeId, HttpExchange exchange, Instant deadline);
    void wait(Server &server, Id exchangeId, HttpExchange exchange, Instant deadline);
    HttpExchange takeWaiting(Id id);
    void serveWaitingSoon(Server &server);
    void serveWaiting(Server &server);
    void close(Id id);
    void closeSuspects(Server &server, Instant notAliveSince);

    void onReady(Id id, Readiness readiness);
    bool finishOpening(Id id, Connection &connection);
    void beginSending(Id id, Connection &connection);
    void withdraw(Id id, Connection &connection);
    void endWithdrawn(HttpExchange exchange);
    void sendMore(Id id, Connection &connection);
    void receive(Id id, Connection &connection, bool ended);
    bool receiveEnd(Id id, Connection &connection);
    bool take(Id id, Connection &connection, std::string_view bytes, bool ended);
    bool completed(Id id, Connection &connection, bool ended);
    void expectResponse(Connection &connection);
    void countBuffered(Connection &connection, std::size_t bytes);
    void boundTogether();
    void fail(Id id, HttpFailure failure);
    void endExchange(HttpExchange exchange, HttpExchangeEnd end);

    void setDeadline(Id id, Connection &connection, Instant deadline);
    void armTimer();
    void onTimer();
    void expire(Id id);

    EventLoop &loop;
    HttpConnectionSettings settings;
    Counters counters;
    std::unordered_map<std::string, Server> servers;
    std::unordered_map<Id, Connection> connections;
    std::unordered_map<Id, Waiting> waiting; ///< By exchange.
    std::unordered_map<Id, Id> inUse; ///< Connections by exchange.
    Id lastId = 0; ///< Of the connections and of the exchanges.
    std::set<std::pair<Instant, Id>> deadlines; ///< One entry for each connection and for each exchange that waits.
    Instant timerAt = Instant::max();
    std::size_t bufferedTogether = 0; ///< Over all connections.
    bool starting = false; ///< Within start(), where completions must wait.
    std::vector<char> received;
};

} // namespace hickoryshore
