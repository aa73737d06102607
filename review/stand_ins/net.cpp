#include "net.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readSize = 65536;
constexpr int backlog = 256;
/// Over a slow line.
constexpr int readsPerSecond = 100;
constexpr Milliseconds idleLimit{60000};

sockaddr_in parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("not an address: " + text);
    }
    return address;
}

int listenAt(const std::string &text)
{
    const sockaddr_in address = parseAddress(text);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(descriptor, backlog) != 0) {
        close(descriptor);
        throw std::runtime_error("cannot listen at " + text);
    }
    return descriptor;
}

bool waitFor(int descriptor, short events, Clock::time_point deadline)
{
    const auto left = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
    pollfd waited{.fd = descriptor, .events = events, .revents = 0};
    return left.count() > 0 && poll(&waited, 1, static_cast<int>(left.count())) == 1;
}

Message parseHead(const std::string &head)
{
    Message message;
    std::size_t start = 0;
    while (start < head.size()) {
        const std::size_t end = head.find("\r\n", start);
        const std::string line = head.substr(start, end - start);
        start = end + 2;
        const std::size_t colon = line.find(':');
        if (message.startLine.empty()) {
            message.startLine = line;
        } else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }
    return message;
}

} // namespace

std::string Message::header(std::string_view name) const
{
    for (const auto &[key, value] : this->headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string Message::second() const
{
    const std::size_t begin = this->startLine.find(' ');
    if (begin == std::string::npos) {
        return {};
    }
    return this->startLine.substr(begin + 1, this->startLine.find(' ', begin + 1) - begin - 1);
}

Connection::Connection(int descriptor) : descriptor(descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    close(this->descriptor);
}

std::unique_ptr<Connection> Connection::connect(const std::string &address, Milliseconds timeout, const Line &line)
{
    const sockaddr_in target = parseAddress(address);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    connection->bytesPerSecond = line.bytesPerSecond;
    if (line.segmentBytes > 0) {
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &line.segmentBytes, sizeof(line.segmentBytes));
    }
    if (line.receiveBufferBytes > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &line.receiveBufferBytes, sizeof(line.receiveBufferBytes));
    }
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0
        && (errno != EINPROGRESS || !waitFor(descriptor, POLLOUT, Clock::now() + timeout))) {
        return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? std::move(connection) : nullptr;
}

bool Connection::receive(Clock::time_point deadline)
{
    if (!waitFor(this->descriptor, POLLIN, deadline)) {
        return false;
    }
    std::array<char, readSize> buffer;
    std::size_t wanted = buffer.size();
    if (this->bytesPerSecond > 0) {
        wanted = static_cast<std::size_t>(this->bytesPerSecond) / readsPerSecond;
        std::this_thread::sleep_for(Milliseconds(1000 / readsPerSecond));
    }
    const ssize_t count = recv(this->descriptor, buffer.data(), wanted, 0);
    if (count <= 0) {
        this->atEnd = true;
        return false;
    }
    this->pending.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Connection::read(Milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    std::size_t end = std::string::npos;
    while ((end = this->pending.find("\r\n\r\n")) == std::string::npos) {
        if (!this->receive(deadline)) {
            return std::nullopt;
        }
    }
    Message message = parseHead(this->pending.substr(0, end + 2));
    this->pending.erase(0, end + 4);
    const std::string length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->pending.size() < size) {
        if (!this->receive(deadline)) {
            return std::nullopt;
        }
    }
    message.body = this->pending.substr(0, size);
    this->pending.erase(0, size);
    return message;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EAGAIN) {
            waitFor(this->descriptor, POLLOUT, Clock::now() + idleLimit);
            continue;
        }
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void Connection::reset()
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void Connection::shutdown()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

std::size_t Connection::unfinished() const
{
    return this->pending.size();
}

bool Connection::ended() const
{
    return this->atEnd;
}

Server::Server(const std::string &address, Handler handler) : descriptor(listenAt(address)), handler(std::move(handler))
{
    this->acceptor = std::thread([this] {
        this->accept();
    });
}

Server::~Server()
{
    this->stopping = true;
    ::shutdown(this->descriptor, SHUT_RDWR);
    this->acceptor.join();
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &connection : this->connections) {
            connection->shutdown();
        }
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    close(this->descriptor);
}

void Server::accept()
{
    while (!this->stopping) {
        const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const std::lock_guard lock(this->mutex);
        this->connections.push_back(std::make_shared<Connection>(accepted));
        this->threads.emplace_back([this, connection = this->connections.back()] {
            this->serve(connection);
        });
    }
}

void Server::serve(const std::shared_ptr<Connection> &connection)
{
    while (!this->stopping) {
        const std::optional<Message> request = connection->read(idleLimit);
        if (!request.has_value() || !this->handler(*connection, *request)) {
            break;
        }
    }
    // The last reference closes it.
    const std::lock_guard lock(this->mutex);
    std::erase(this->connections, connection);
}

std::string formatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>> &headers,
                           std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

bool isFree(const std::string &address)
{
    try {
        close(listenAt(address));
        return true;
    } catch (const std::runtime_error &) {
        return false;
    }
}

} // namespace review
