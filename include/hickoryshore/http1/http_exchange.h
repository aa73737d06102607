// HTTP/1.1 as event-driven connections need it: messages as bytes, and messages read from bytes as they come.
//
//     send(formatHttpRequest("POST", "/v1/sub-requests", "10.0.0.1:80", body));
//     HttpResponseReader reader;
//     if (reader.take(received) == HttpResponseReader::Progress::Complete) { use(reader.release()); }
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/http/http_message.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// Returns the bytes of an HTTP/1.1 request with this body.
std::string formatHttpRequest(std::string_view method,
                              std::string_view path,
                              std::string_view host,
                              std::string_view body);

/// Whether a header field concerns a single connection and is not passed on. `connectionOptions` is the value of the
/// message's Connection field, which can name further ones.
bool isHopByHop(std::string_view name, std::string_view connectionOptions);

/// Appends "name: value" as a header line.
void appendHeader(std::string &message, std::string_view name, std::string_view value);

/// Returns a duration as the value of a Retry-After field: seconds, with a fraction.
std::string formatSeconds(Duration duration);

/// The parts of a response that the upstreams' protocol uses.
struct UpstreamHttpResponse
{
    int status = 0;
    std::string reason;
    std::vector<HttpHeader> headers; ///< As received; empty where the reader does not keep them.
    std::string body;
    bool keepAlive = false; ///< The server takes a further request on this connection.
    std::optional<Duration> idleTimeout; ///< After which the server closes the idle connection, where it told.
};

/// What a reader of responses accepts.
struct HttpResponseRules
{
    bool withoutLength = false; ///< A response may end with its connection; see HttpResponseReader::end().
    bool excess = false; ///< Bytes beyond the response are left in excess() instead of making it malformed.
    bool keepHeaders = false; ///< Gives the header fields out.
    std::size_t headBytes = std::size_t{16} * 1024; ///< Of a head, of a chunk's size line, and of the trailers.
    std::size_t bodyBytes = std::size_t{16} * 1024 * 1024;
};

/// Reads one response within the bounds of its rules: what goes beyond them is malformed.
class HttpResponseReader
{
public:
    enum class Progress { NeedsMore, Complete, Malformed };

    explicit HttpResponseReader(HttpResponseRules rules = {});
    ~HttpResponseReader();
    HttpResponseReader(HttpResponseReader &&) noexcept;
    HttpResponseReader &operator=(HttpResponseReader &&) noexcept;

    /// Says that the next response answers a HEAD request, and so has no body.
    void expectNoBody();

    /// Bounds the body of the next response, where the rules allow more.
    void limitBody(std::size_t bytes);

    /// Bytes that are kept of a response that is not complete.
    std::size_t buffered() const;

    /// Takes what was received. Bytes beyond the response make it malformed unless the rules allow them: nothing more
    /// was asked for.
    Progress take(std::string_view bytes);

    /// The server closed the connection in order. Complete only where the response ends with its connection.
    Progress end();

    /// Gives the response out, after Complete.
    UpstreamHttpResponse release();

    /// The bytes that followed the response, after Complete; valid until the next take().
    std::string_view excess() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/// Bounds of what a client may send.
struct HttpRequestLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{1024} * 1024;
};

/// A request as a server receives it.
struct HttpServerRequest
{
    std::string method;
    std::string target; ///< Path and query, as sent.
    std::vector<HttpHeader> headers;
    std::string body;
    bool keepAlive = true;
};

/// The path of a request target, without the query.
std::string_view pathOf(std::string_view target);

/// The query of a request target, without the question mark.
std::string_view queryOf(std::string_view target);

/// Reads requests that follow each other on one connection.
class HttpRequestReader
{
public:
    enum class Progress { NeedsMore, Complete, Malformed, HeaderTooLarge, BodyTooLarge };

    explicit HttpRequestReader(HttpRequestLimits limits);
    ~HttpRequestReader();
    HttpRequestReader(HttpRequestReader &&) noexcept;
    HttpRequestReader &operator=(HttpRequestReader &&) noexcept;

    /// Takes what was received. After Complete, release() gives the request out; bytes beyond it are kept for the next.
    Progress take(std::string_view bytes);

    /// Gives the request out, after Complete, and begins the next one with the bytes that are left: call take("") to
    /// learn whether it is complete already.
    HttpServerRequest release();

    /// Keeps bytes for the next take(), while the request before is still being answered. Returns false where they are
    /// more than one request may have.
    bool hold(std::string_view bytes);

    /// Changes the bounds, from the next request on.
    void setLimits(HttpRequestLimits limits);

    /// Whether a part of a request has been received.
    bool hasBegun() const;

    /// Returns the bytes of memory that the request being read takes, with its parsed header and the whole body that it
    /// announces, and what is held for the next one.
    std::size_t keptBytes() const;

    /// Returns the number of received bytes that belong to no complete request and that the parser has not taken.
    std::size_t heldBytes() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace hickoryshore
