#include "http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readSize = std::size_t{64} * 1024;
constexpr int backlog = 256;
constexpr std::chrono::milliseconds connectTimeout{1000};
constexpr std::string_view headEnd = "\r\n\r\n";

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

bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// Appends what comes next; returns false at the end of the connection or of the time.
bool receiveMore(int descriptor, std::string &buffer, std::optional<Instant> deadline)
{
    if (deadline.has_value()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(*deadline - Clock::now()).count();
        pollfd waiting{.fd = descriptor, .events = POLLIN, .revents = 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
    }
    std::array<char, readSize> bytes{};
    const ssize_t count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return text;
}

/// Parses the lines after the first one.
Headers parseHeaders(std::string_view lines)
{
    Headers headers;
    while (!lines.empty()) {
        const std::size_t end = std::min(lines.find("\r\n"), lines.size());
        const std::string_view line = lines.substr(0, end);
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos) {
            const std::size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            headers[lowerCase(std::string(line.substr(0, colon)))] = line.substr(value);
        }
        lines.remove_prefix(std::min(end + 2, lines.size()));
    }
    return headers;
}

std::size_t bodyLength(const Headers &headers)
{
    const auto found = headers.find("content-length");
    return found == headers.end() ? 0 : std::stoul(found->second);
}

std::string formatHeaders(const Headers &headers)
{
    std::string text;
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text;
}

/// Reads one message: its head without the empty line, and its body.
std::optional<std::pair<std::string, std::string>> readMessage(int descriptor,
                                                               std::string &buffer,
                                                               std::optional<Instant> deadline)
{
    std::size_t end = std::string::npos;
    while ((end = buffer.find(headEnd)) == std::string::npos) {
        if (!receiveMore(descriptor, buffer, deadline)) {
            return std::nullopt;
        }
    }
    std::string head = buffer.substr(0, end);
    const std::size_t total = end + headEnd.size() + bodyLength(parseHeaders(head.substr(head.find("\r\n") + 2)));
    while (buffer.size() < total) {
        if (!receiveMore(descriptor, buffer, deadline)) {
            return std::nullopt;
        }
    }
    std::string body = buffer.substr(end + headEnd.size(), total - end - headEnd.size());
    buffer.erase(0, total);
    return std::pair(std::move(head), std::move(body));
}

/// Parses a request's head; std::nullopt if the first line is not a method, a target and a version.
std::optional<Request> parseRequest(const std::string &head)
{
    const std::size_t lineEnd = std::min(head.find("\r\n"), head.size());
    const std::string line = head.substr(0, lineEnd);
    if (std::ranges::count(line, ' ') != 2) {
        return std::nullopt;
    }
    const std::size_t first = line.find(' ');
    const std::size_t second = line.rfind(' ');
    return Request{.method = line.substr(0, first),
                   .target = line.substr(first + 1, second - first - 1),
                   .headers = parseHeaders(std::string_view(head).substr(std::min(lineEnd + 2, head.size())))};
}

} // namespace

std::string queryParameter(std::string_view target, std::string_view name)
{
    std::string_view query = target.substr(std::min(target.find('?') + 1, target.size()));
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            const std::string_view coded = pair.substr(std::min(equals + 1, pair.size()));
            std::string value;
            for (std::size_t index = 0; index < coded.size(); ++index) {
                const bool isCode = coded[index] == '%' && index + 2 < coded.size()
                    && std::isxdigit(static_cast<unsigned char>(coded[index + 1])) != 0
                    && std::isxdigit(static_cast<unsigned char>(coded[index + 2])) != 0;
                value += isCode ? static_cast<char>(std::stoi(std::string(coded.substr(index + 1, 2)), nullptr, 16))
                                : coded[index];
                index += isCode ? 2 : 0;
            }
            return value;
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

HttpServer::HttpServer(const std::string &address, Handler handler) : handler(std::move(handler))
{
    this->listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in local = parseAddress(address);
    if (bind(this->listening, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0
        || listen(this->listening, backlog) != 0) {
        throw std::runtime_error("cannot listen on " + address + ": " + std::strerror(errno));
    }
    this->acceptor = std::thread([this] {
        this->accept();
    });
}

HttpServer::~HttpServer()
{
    this->stop();
}

void HttpServer::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    ::shutdown(this->listening, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listening);
    while (true) {
        {
            const std::lock_guard lock(this->mutex);
            if (this->open.empty()) {
                return;
            }
            for (const int descriptor : this->open) {
                ::shutdown(descriptor, SHUT_RDWR);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void HttpServer::accept()
{
    while (!this->stopping) {
        const int accepted = accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard lock(this->mutex);
            this->open.insert(accepted);
        }
        std::thread([this, accepted] {
            this->serve(accepted);
        }).detach();
    }
}

void HttpServer::serve(int descriptor)
{
    std::string buffer;
    while (!this->stopping) {
        const auto message = readMessage(descriptor, buffer, std::nullopt);
        if (!message.has_value()) {
            break;
        }
        const auto request = parseRequest(message->first);
        Response response = request.has_value() ? this->handler(*request) : Response{.status = 400};
        if (response.silent) {
            continue;
        }
        response.headers["content-length"] = std::to_string(response.body.size());
        const std::string head
            = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n" + formatHeaders(response.headers) + "\r\n";
        if (!sendAll(descriptor, head) || !sendAll(descriptor, response.body)) {
            break;
        }
    }
    const std::lock_guard lock(this->mutex);
    ::close(descriptor);
    this->open.erase(descriptor);
}

HttpClient::HttpClient(const std::string &address)
{
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in remote = parseAddress(address);
    bool connected = connect(this->descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) == 0;
    if (!connected && errno == EINPROGRESS) {
        pollfd waiting{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
        int error = 0;
        socklen_t size = sizeof(error);
        connected = poll(&waiting, 1, static_cast<int>(connectTimeout.count())) == 1
            && getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    if (!connected) {
        ::close(this->descriptor);
        this->descriptor = -1;
        return;
    }
    fcntl(this->descriptor, F_SETFL, fcntl(this->descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

HttpClient::~HttpClient()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

bool HttpClient::isOpen() const
{
    return this->descriptor >= 0;
}

std::optional<Response> HttpClient::send(const Request &request, std::chrono::milliseconds timeout)
{
    const Instant deadline = Clock::now() + timeout;
    const std::string bytes
        = request.method + " " + request.target + " HTTP/1.1\r\n" + formatHeaders(request.headers) + "\r\n";
    std::string buffer;
    const auto message
        = sendAll(this->descriptor, bytes) ? readMessage(this->descriptor, buffer, deadline) : std::nullopt;
    std::optional<Response> response;
    if (message.has_value()) {
        const std::string &head = message->first;
        response = {.status = std::stoi(head.substr(head.find(' ') + 1)),
                    .headers = parseHeaders(std::string_view(head).substr(head.find("\r\n") + 2)),
                    .body = message->second};
    }
    if (!response.has_value() || response->headers["connection"] == "close") {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
    return response;
}

} // namespace review
