#include "http_stream.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int backlog = 256;
constexpr std::size_t readSize = 65536;
constexpr int acceptPollMs = 100;

bool isSameName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::string wordOf(const std::string &line, int number)
{
    std::size_t begin = 0;
    for (; number > 0 && begin != std::string::npos; --number) {
        begin = line.find(' ', begin);
        begin = begin == std::string::npos ? begin : begin + 1;
    }
    return begin == std::string::npos ? std::string() : line.substr(begin, line.find(' ', begin) - begin);
}

sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
        throw std::runtime_error("no address: " + address);
    }
    return parsed;
}

std::size_t numberIn(const std::string &text, int base)
{
    std::size_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, base);
    return number;
}

} // namespace

std::string HttpMessage::header(std::string_view name) const
{
    for (const auto &[each, value] : this->headers) {
        if (isSameName(each, name)) {
            return value;
        }
    }
    return {};
}

int HttpMessage::status() const
{
    return static_cast<int>(numberIn(wordOf(this->startLine, 1), 10));
}

std::string HttpMessage::method() const
{
    return wordOf(this->startLine, 0);
}

std::string HttpMessage::target() const
{
    return wordOf(this->startLine, 1);
}

std::string formatMessage(const HttpMessage &message)
{
    std::string bytes = message.startLine + "\r\n";
    for (const auto &[name, value] : message.headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    bytes.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n\r\n");
    return bytes + message.body;
}

HttpStream::HttpStream(int descriptor) : descriptor(descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

HttpStream::~HttpStream()
{
    ::close(this->descriptor);
}

bool HttpStream::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
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

std::optional<HttpMessage> HttpStream::read(int timeoutMs)
{
    HttpMessage message;
    while (message.startLine.empty()) {
        if (!this->readLine(message.startLine, timeoutMs)) {
            return std::nullopt;
        }
    }
    std::string line;
    while (this->readLine(line, timeoutMs)) {
        if (line.empty()) {
            return this->readBody(message, timeoutMs) ? std::optional(message) : std::nullopt;
        }
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? std::string() : line.substr(value));
    }
    return std::nullopt;
}

std::string HttpStream::peerSocket() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getpeername(this->descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    std::ostringstream wanted;
    wanted << std::hex << std::uppercase << std::setfill('0') << std::setw(8) << address.sin_addr.s_addr << ':'
           << std::setw(4) << ntohs(address.sin_port);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string number;
        std::string local;
        words >> number >> local;
        if (local != wanted.str()) {
            continue;
        }
        constexpr int wordsBefore = 7;
        std::string word;
        for (int each = 0; each < wordsBefore; ++each) {
            words >> word;
        }
        std::string inode;
        words >> inode;
        return inode;
    }
    return {};
}

bool HttpStream::fill(int timeoutMs)
{
    pollfd ready{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    if (::poll(&ready, 1, timeoutMs) <= 0) {
        return false;
    }
    std::string piece(readSize, '\0');
    const ssize_t count = ::recv(this->descriptor, piece.data(), piece.size(), 0);
    if (count <= 0) {
        return false;
    }
    this->buffered.append(piece, 0, static_cast<std::size_t>(count));
    return true;
}

bool HttpStream::readLine(std::string &line, int timeoutMs)
{
    std::size_t end = this->buffered.find("\r\n");
    while (end == std::string::npos) {
        if (!this->fill(timeoutMs)) {
            return false;
        }
        end = this->buffered.find("\r\n");
    }
    line = this->buffered.substr(0, end);
    this->buffered.erase(0, end + 2);
    return true;
}

bool HttpStream::readBytes(std::string &into, std::size_t count, int timeoutMs)
{
    while (this->buffered.size() < count) {
        if (!this->fill(timeoutMs)) {
            return false;
        }
    }
    into.append(this->buffered, 0, count);
    this->buffered.erase(0, count);
    return true;
}

bool HttpStream::readChunks(HttpMessage &message, int timeoutMs)
{
    std::string line;
    while (this->readLine(line, timeoutMs)) {
        const std::size_t size = numberIn(line, 16);
        if (!this->readBytes(message.body, size, timeoutMs) || !this->readLine(line, timeoutMs)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
    return false;
}

bool HttpStream::readBody(HttpMessage &message, int timeoutMs)
{
    if (isSameName(message.header("Transfer-Encoding"), "chunked")) {
        return this->readChunks(message, timeoutMs);
    }
    return this->readBytes(message.body, numberIn(message.header("Content-Length"), 10), timeoutMs);
}

std::unique_ptr<HttpStream> connectTo(const std::string &address, const std::string &source)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    auto stream = std::make_unique<HttpStream>(descriptor);
    if (!source.empty()) {
        const sockaddr_in from = parseAddress(source + ":0");
        if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&from), sizeof(from)) != 0) {
            return nullptr;
        }
    }
    const sockaddr_in target = parseAddress(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        return nullptr;
    }
    return stream;
}

HttpServer::HttpServer(const std::string &address, Handler handler) : handler(std::move(handler))
{
    const sockaddr_in local = parseAddress(address);
    this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(this->descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0
        || ::listen(this->descriptor, backlog) != 0) {
        ::close(this->descriptor);
        throw std::runtime_error("cannot listen on " + address);
    }
    this->acceptor = std::thread([this] {
        this->accept();
    });
}

HttpServer::~HttpServer()
{
    this->stopping = true;
    this->acceptor.join();
    {
        const std::lock_guard lock(this->mutex);
        for (const int accepted : this->open) {
            ::shutdown(accepted, SHUT_RDWR);
        }
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    ::close(this->descriptor);
}

void HttpServer::accept()
{
    while (!this->stopping) {
        pollfd ready{.fd = this->descriptor, .events = POLLIN, .revents = 0};
        if (::poll(&ready, 1, acceptPollMs) <= 0) {
            continue;
        }
        const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0) {
            const std::lock_guard lock(this->mutex);
            this->open.insert(accepted);
            this->threads.emplace_back([this, accepted] {
                this->serve(accepted);
            });
        }
    }
}

void HttpServer::serve(int accepted)
{
    // The number stands in the set until the descriptor is closed, so that no other one is shut down in its place.
    HttpStream stream(accepted);
    this->handler(stream);
    const std::lock_guard lock(this->mutex);
    this->open.erase(accepted);
}

} // namespace review
