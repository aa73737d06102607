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

} // namespace

struct HttpRequestReader::State
{
    HttpRequestLimits limits;
    std::optional<http::request_parser<http::string_body>> parser;
    std::string pending; ///< Received, but not taken by the parser yet.
};

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
    pending.append(bytes);
    if (pending.empty()) {
        return Progress::NeedsMore;
    }
    if (!parser.has_value()) {
        parser.emplace();
        // An eager parser goes on with the body where the head has been found to exceed a bound.
        parser->eager(false);
        parser->header_limit(narrow(this->state->limits.headerBytes));
        parser->body_limit(this->state->limits.bodyBytes);
    }
    boost::beast::error_code error;
    std::string_view left = pending;
    while (!left.empty() && !parser->is_done() && !error) {
        left.remove_prefix(parser->put(boost::asio::buffer(left.data(), left.size()), error));
    }
    if (error && error != http::error::need_more) {
        return progressOfError(error);
    }
    const bool tooLong = !parser->is_done() && left.size() > this->state->limits.headerBytes;
    pending.erase(0, pending.size() - left.size());
    if (tooLong) {
        // After the head it is the size line of a chunk, or trailers.
        return parser->is_header_done() ? Progress::Malformed : Progress::HeaderTooLarge;
    }
    return parser->is_done() ? Progress::Complete : Progress::NeedsMore;
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

bool HttpRequestReader::hold(std::string_view bytes)
{
    this->state->pending.append(bytes);
    return this->state->pending.size() <= this->state->limits.headerBytes + this->state->limits.bodyBytes;
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
