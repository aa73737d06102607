#include "hickoryshore/http1/http_exchange.h"

#include "http_fields.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace hickoryshore {

namespace http = boost::beast::http;

namespace {

/// Memory of a parsed field beside its name and value.
constexpr std::size_t fieldOverhead = 96;

std::uint32_t narrow(std::size_t bytes)
{
    constexpr std::size_t largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(bytes, largest));
}

HttpRequestReader::Progress progressOfError(const boost::beast::error_code &error)
{
    if (error == http::error::header_limit) {
        return HttpRequestReader::Progress::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return HttpRequestReader::Progress::BodyTooLarge;
    }
    return HttpRequestReader::Progress::Malformed;
}

/// Returns the memory that the parsed header takes.
std::size_t parsedHeaderBytes(const http::request_header<> &header)
{
    std::size_t bytes = header.target().size();
    for (const auto &field : header) {
        bytes += field.name_string().size() + field.value().size() + fieldOverhead;
    }
    return bytes;
}

} // namespace

struct HttpRequestReader::State
{
    HttpRequestLimits limits;
    std::optional<http::request_parser<http::string_body>> parser;
    std::size_t headerBytes = 0; ///< Memory of the parsed header.
    std::string pending; ///< Received, but not taken by the parser yet, from `taken` on.
    std::size_t taken = 0;

    void keep(std::string_view left, bool joined);
    Progress progress(const boost::beast::error_code &error, std::size_t left) const;
};

/// Keeps the bytes that the parser did not take. `joined` tells that they are the end of `pending`.
void HttpRequestReader::State::keep(std::string_view left, bool joined)
{
    if (!joined || left.empty()) {
        this->pending = std::string(left);
        this->taken = 0;
        return;
    }
    this->taken = this->pending.size() - left.size();
    // Moving the rest to the front for each of many short requests would copy it as many times.
    if (this->taken > left.size()) {
        this->pending = std::string(left);
        this->taken = 0;
    }
}

/// Returns what the parser has come to. `left` is the number of bytes that it did not take.
HttpRequestReader::Progress HttpRequestReader::State::progress(const boost::beast::error_code &error,
                                                               std::size_t left) const
{
    if (error && error != http::error::need_more) {
        return progressOfError(error);
    }
    if (!this->parser->is_done() && left > this->limits.headerBytes) {
        // After the head it is the size line of a chunk, or trailers.
        return this->parser->is_header_done() ? Progress::Malformed : Progress::HeaderTooLarge;
    }
    return this->parser->is_done() ? Progress::Complete : Progress::NeedsMore;
}

HttpRequestReader::HttpRequestReader(HttpRequestLimits limits) : state(std::make_unique<State>())
{
    this->state->limits = limits;
}

HttpRequestReader::~HttpRequestReader() = default;
HttpRequestReader::HttpRequestReader(HttpRequestReader &&) noexcept = default;
HttpRequestReader &HttpRequestReader::operator=(HttpRequestReader &&) noexcept = default;

HttpRequestReader::Progress HttpRequestReader::take(std::string_view bytes)
{
    auto &parser = this->state->parser;
    std::string &pending = this->state->pending;
    const bool joined = !pending.empty();
    if (joined) {
        pending.append(bytes);
        bytes = std::string_view(pending).substr(this->state->taken);
    }
    if (bytes.empty()) {
        return Progress::NeedsMore;
    }
    if (!parser.has_value()) {
        parser.emplace();
        // An eager parser goes on with the body where the head has been found to exceed a bound.
        parser->eager(false);
        parser->header_limit(narrow(this->state->limits.headerBytes));
        parser->body_limit(this->state->limits.bodyBytes);
        this->state->headerBytes = 0;
    }
    boost::beast::error_code error;
    while (!bytes.empty() && !parser->is_done() && !error) {
        bytes.remove_prefix(parser->put(boost::asio::buffer(bytes.data(), bytes.size()), error));
    }
    if (this->state->headerBytes == 0 && parser->is_header_done()) {
        this->state->headerBytes = parsedHeaderBytes(parser->get());
    }
    const std::size_t left = bytes.size();
    this->state->keep(bytes, joined);
    return this->state->progress(error, left);
}

HttpServerRequest HttpRequestReader::release()
{
    http::request_parser<http::string_body> &parser = *this->state->parser;
    HttpServerRequest request;
    const auto method = parser.get().method_string();
    const auto target = parser.get().target();
    request.method = std::string(method.data(), method.size());
    request.target = std::string(target.data(), target.size());
    request.headers = headersOf(parser.get());
    request.keepAlive = parser.keep_alive();
    request.body = std::move(parser.get().body());
    this->state->parser.reset();
    return request;
}

std::size_t HttpRequestReader::keptBytes() const
{
    std::size_t bytes = this->state->pending.capacity();
    const auto &parser = this->state->parser;
    if (parser.has_value()) {
        const auto length = parser->is_header_done() ? parser->content_length() : boost::none;
        const std::size_t announced = length.has_value() ? static_cast<std::size_t>(*length) : 0;
        bytes += this->state->headerBytes + std::max(parser->get().body().capacity(), announced);
    }
    return bytes;
}

std::size_t HttpRequestReader::heldBytes() const
{
    return this->state->pending.size() - this->state->taken;
}

bool HttpRequestReader::hold(std::string_view bytes)
{
    this->state->pending.append(bytes);
    return this->heldBytes() <= this->state->limits.headerBytes + this->state->limits.bodyBytes;
}

void HttpRequestReader::setLimits(HttpRequestLimits limits)
{
    this->state->limits = limits;
}

bool HttpRequestReader::hasBegun() const
{
    return this->state->parser.has_value() || !this->state->pending.empty();
}

} // namespace hickoryshore
