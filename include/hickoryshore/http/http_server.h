// An HTTP server over CivetWeb that hands every request to one function.
//
//     HttpServer server({.address = "127.0.0.1", .port = 8080}, [](const HttpRequest &request) {
//         return HttpResponse{.body = "{}"};
//     });
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/http/caller_connection.h"
#include "hickoryshore/http/hang_up_watch.h"
#include "hickoryshore/http/http_message.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

struct mg_context;
struct mg_connection;

namespace hickoryshore {

/// What was wrong with a request that never reached the handler, or with what the handler threw.
struct HttpFault
{
    int status = 400;
    std::string message;
};

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    int port = 0;
    int threads = 32; ///< Kept-alive connections served at once: each holds a thread.
    std::size_t largestBody = std::size_t{1024} * 1024; ///< In bytes; a longer body is answered with status 413.
    Duration requestTimeout{std::chrono::seconds(5)}; ///< Longest wait for bytes of a request that is awaited.
    Duration keepAlive{std::chrono::seconds(30)}; ///< An idle connection is closed after this time.
    double keepAliveShare = 0.75; ///< Share of the threads; with more connections, each is closed after its answer.
    std::function<HttpResponse(const HttpFault &)>
        answerFault; ///< From many threads; a plain answer where it is empty.
};

/// Serves until destroyed. The handler is called from many threads at once; what it throws becomes status 500.
/// Each connection holds a thread, so idle ones are given up while many are open: new callers must not wait for them.
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// For handlers that wait for long and want to know when the caller leaves meanwhile.
    using ConnectionHandler = std::function<HttpResponse(const HttpRequest &, const CallerConnection &)>;

    /// Starts to listen. Throws std::runtime_error where the address cannot be bound.
    HttpServer(HttpServerSettings settings, Handler handler);
    HttpServer(HttpServerSettings settings, ConnectionHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    static int onConnect(const mg_connection *connection, void **data);
    static void onClose(const mg_connection *connection);
    static int onError(mg_connection *connection, int status, const char *message);
    static int serve(mg_connection *connection, void *self);
    HttpResponse callHandler(const mg_connection *connection, const HttpRequest &request);
    int refuse(mg_connection *connection, const HttpFault &fault) const;
    HttpResponse answerFault(const HttpFault &fault) const;
    bool isCrowded() const;

    HttpServerSettings settings;
    ConnectionHandler handler;
    HangUpWatch hangUps;
    std::atomic<int> connections = 0;
    mg_context *context = nullptr;
};

} // namespace hickoryshore
