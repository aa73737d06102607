// Blocking HTTP/1.1 over TCP for the stand-ins of the review: one thread for each connection.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// A request or a response.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// The value of a header field, or an empty text.
    std::string header(std::string_view name) const;

    /// The second word of the start line: target or status.
    std::string second() const;
};

/// The line of a client; zero leaves what the system sets.
struct Line
{
    int segmentBytes = 0;
    int receiveBufferBytes = 0;
    int bytesPerSecond = 0; ///< At which Connection::read() takes bytes.
};

/// One end of a TCP connection.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects to "ip:port"; returns nullptr if that fails within the time. `line` bounds what is on its way: with it
    /// the loopback device behaves like a link of a network.
    static std::unique_ptr<Connection> connect(const std::string &address, Milliseconds timeout, const Line &line = {});

    /// Reads one message, or returns std::nullopt at the end of the connection or of the time.
    std::optional<Message> read(Milliseconds timeout);

    bool write(std::string_view bytes);

    /// Ends the connection with a reset.
    void reset();

    /// Wakes a thread that reads.
    void shutdown();

    /// Bytes of a message that read() could not read whole.
    std::size_t unfinished() const;

    /// Whether read() ended since the other end closed or reset the connection.
    bool ended() const;

private:
    bool receive(Clock::time_point deadline);

    int descriptor;
    int bytesPerSecond = 0;
    std::string pending;
    bool atEnd = false;
};

/// Serves each request of each connection with the handler, one after the other on a connection. Ends connections for
/// which the handler returns false.
class Server
{
public:
    using Handler = std::function<bool(Connection &, const Message &)>;

    /// Listens on "ip:port". Throws std::runtime_error.
    Server(const std::string &address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

private:
    void accept();
    void serve(const std::shared_ptr<Connection> &connection);

    int descriptor;
    Handler handler;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/// Formats a response with its length.
std::string formatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>> &headers,
                           std::string_view body);

/// Whether a listener can be opened at "ip:port".
bool isFree(const std::string &address);

} // namespace review
