// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review's cases.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// One HTTP message. The start line is the request line or the status line.
struct HttpMessage
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Returns the value of the first header of that name, or an empty text.
    std::string header(std::string_view name) const;

    /// Returns the status of a response, or zero.
    int status() const;

    /// Returns the method or the target of a request.
    std::string method() const;
    std::string target() const;
};

/// Returns the bytes of a message; adds the length of its body.
std::string formatMessage(const HttpMessage &message);

/// A connected socket. Closes it at its end.
class HttpStream
{
public:
    explicit HttpStream(int descriptor);
    ~HttpStream();
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    /// Sends all bytes. Returns false if the connection is gone.
    bool send(std::string_view bytes) const;

    /// Reads the next message, or std::nullopt at the end of the connection or after `timeoutMs`.
    std::optional<HttpMessage> read(int timeoutMs);

    /// Returns the inode of the peer's socket, which is on this machine, or an empty text if it is gone.
    std::string peerSocket() const;

private:
    bool fill(int timeoutMs);
    bool readBody(HttpMessage &message, int timeoutMs);
    bool readChunks(HttpMessage &message, int timeoutMs);
    bool readLine(std::string &line, int timeoutMs);
    bool readBytes(std::string &into, std::size_t count, int timeoutMs);

    int descriptor;
    std::string buffered;
};

/// Connects to "ip:port", from the given source IP address if it isn't empty. Returns nullptr if that fails.
std::unique_ptr<HttpStream> connectTo(const std::string &address, const std::string &source = {});

/// Accepts connections on "ip:port" and serves each on a thread of its own.
class HttpServer
{
public:
    using Handler = std::function<void(HttpStream &)>;

    /// Throws std::runtime_error if the address is in use.
    HttpServer(const std::string &address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    void accept();
    void serve(int accepted);

    int descriptor = -1;
    Handler handler;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<int> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

} // namespace review
