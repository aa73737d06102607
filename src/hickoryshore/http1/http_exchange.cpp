#include "hickoryshore/http1/http_exchange.h"

#include "http_fields.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

namespace hickoryshore {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion = 11;
/// Interim responses (1xx) come before the final one.
constexpr int firstInterimStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastFinalStatus = 599;
/// Ends HTTP on the connection; no request asks for it.
constexpr int statusSwitchingProtocols = 101;
/// Before a final response; a server that sends more of them sends no answer.
constexpr int mostInterimResponses = 8;

/// Returns whether a response may have this status. RFC 9110, section 15, has a client treat any other one as invalid.
bool isStatus(int status)
{
    return status >= firstInterimStatus && status <= lastFinalStatus && status != statusSwitchingProtocols;
}

boost::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string formatHttpRequest(std::string_view method,
                              std::string_view path,
                              std::string_view host,
                              std::string_view body)
{
    http::request<http::span_body<const char>> request{http::string_to_verb(viewOf(method)), viewOf(path), httpVersion};
    request.set(http::field::host, viewOf(host));
    request.body() = {body.data(), body.size()};
    request.content_length(body.size());
    http::request_serializer<http::span_body<const char>> serializer(request);
    std::string bytes;
    boost::beast::error_code error;
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&](auto & /*error*/, const auto &buffers) {
            std::size_t size = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            serializer.consume(size);
        });
    }
    return bytes;
}

struct HttpResponseReader::State
{
    HttpResponseRules rules;
    bool bodiless = false;
    std::size_t mostBody = 0; ///< Bytes, of the next response.
    int interim = 0; ///< Interim responses before it.
    std::optional<http::response_parser<http::string_body>> parser;
    std::string pending; ///< Received, but not enough for the parser to go on.
    std::string excess;

    void begin();
    Progress progress(std::string_view left);
};

void HttpResponseReader::State::begin()
{
    this->parser.emplace();
    // An eager parser goes on with the body where the head has been found to exceed a bound.
    this->parser->eager(false);
    this->parser->header_limit(static_cast<std::uint32_t>(this->rules.headBytes));
    this->parser->body_limit(this->mostBody);
    this->parser->skip(this->bodiless);
}

/// What the parser has come to, with the bytes that it did not take.
HttpResponseReader::Progress HttpResponseReader::State::progress(std::string_view left)
{
    const auto &reading = *this->parser;
    // Without a length the end of the response is the end of the connection.
    const bool endless = reading.is_header_done() && !reading.is_done() && reading.need_eof();
    if (endless && !this->rules.withoutLength) {
        return Progress::Malformed;
    }
    if (!reading.is_done()) {
        return Progress::NeedsMore;
    }
    if (!left.empty() && !this->rules.excess) {
        return Progress::Malformed;
    }
    this->excess = std::string(left);
    return Progress::Complete;
}

HttpResponseReader::HttpResponseReader(HttpResponseRules rules) : state(std::make_unique<State>())
{
    this->state->rules = rules;
    this->state->mostBody = rules.bodyBytes;
}

HttpResponseReader::~HttpResponseReader() = default;
HttpResponseReader::HttpResponseReader(HttpResponseReader &&) noexcept = default;
HttpResponseReader &HttpResponseReader::operator=(HttpResponseReader &&) noexcept = default;

void HttpResponseReader::expectNoBody()
{
    this->state->bodiless = true;
}

void HttpResponseReader::limitBody(std::size_t bytes)
{
    this->state->mostBody = std::min(bytes, this->state->rules.bodyBytes);
}

std::size_t HttpResponseReader::buffered() const
{
    const auto &parser = this->state->parser;
    return this->state->pending.size() + (parser.has_value() ? parser->get().body().size() : 0);
}

HttpResponseReader::Progress HttpResponseReader::take(std::string_view bytes)
{
    auto &parser = this->state->parser;
    if (!parser.has_value()) {
        this->state->begin();
    }
    std::string &pending = this->state->pending;
    const bool hadPending = !pending.empty();
    if (hadPending) {
        pending.append(bytes);
        bytes = pending;
    }
    boost::beast::error_code error;
    while (!bytes.empty() && !parser->is_done() && !error) {
        bytes.remove_prefix(parser->put(boost::asio::buffer(bytes.data(), bytes.size()), error));
        if (parser->is_header_done() && !isStatus(static_cast<int>(parser->get().result_int()))) {
            return Progress::Malformed;
        }
        if (parser->is_done() && static_cast<int>(parser->get().result_int()) < firstFinalStatus) {
            if (++this->state->interim > mostInterimResponses) {
                return Progress::Malformed;
            }
            this->state->begin();
        }
    }
    if (error && error != http::error::need_more) {
        return Progress::Malformed;
    }
    if (error == http::error::need_more) {
        // The parser bounds a head, but neither a chunk's size line nor the trailers.
        if (bytes.size() > this->state->rules.headBytes) {
            return Progress::Malformed;
        }
        pending = std::string(bytes);
        return Progress::NeedsMore;
    }
    const Progress progress = this->state->progress(bytes);
    pending.clear();
    return progress;
}

HttpResponseReader::Progress HttpResponseReader::end()
{
    auto &parser = this->state->parser;
    if (!parser.has_value() || !parser->is_header_done() || !parser->need_eof()) {
        return Progress::Malformed;
    }
    boost::beast::error_code error;
    parser->put_eof(error);
    return error || !parser->is_done() ? Progress::Malformed : Progress::Complete;
}

UpstreamHttpResponse HttpResponseReader::release()
{
    http::response_parser<http::string_body> &parser = *this->state->parser;
    UpstreamHttpResponse response;
    response.status = static_cast<int>(parser.get().result_int());
    response.keepAlive = parser.keep_alive();
    response.idleTimeout = idleTimeoutOf(parser.get());
    if (this->state->rules.keepHeaders) {
        const auto reason = parser.get().reason();
        response.reason = std::string(reason.data(), reason.size());
        response.headers = headersOf(parser.get());
    }
    response.body = std::move(parser.get().body());
    this->state->parser.reset();
    this->state->pending.clear();
    this->state->bodiless = false;
    this->state->mostBody = this->state->rules.bodyBytes;
    this->state->interim = 0;
    return response;
}

std::string_view HttpResponseReader::excess() const
{
    return this->state->excess;
}

} // namespace hickoryshore
