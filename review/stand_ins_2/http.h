// A small HTTP/1.1 server and client with one thread a connection.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;

/// Header names are in lower case.
using Headers = std::map<std::string, std::string>;

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
};

struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
    bool silent = false; ///< Nothing is sent, and the connection stays open.
};

/// Returns the value of a query parameter, decoded, or an empty string.
std::string queryParameter(std::string_view target, std::string_view name);

/// Serves connections at "ip:port" until stop() or its end.
class HttpServer
{
public:
    using Handler = std::function<Response(const Request &)>;

    HttpServer(const std::string &address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Closes the listening socket and all connections, as the end of a process does.
    void stop();

private:
    void accept();
    void serve(int descriptor);

    Handler handler;
    int listening = -1;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<int> open; ///< Descriptors of connections.
    std::thread acceptor;
};

/// A connection of a client, which is kept open between requests.
class HttpClient
{
public:
    explicit HttpClient(const std::string &address);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    bool isOpen() const;

    /// Returns the response, or std::nullopt if none came within the timeout; the connection is then closed.
    std::optional<Response> send(const Request &request, std::chrono::milliseconds timeout);

private:
    int descriptor = -1;
};

} // namespace review
