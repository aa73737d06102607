// Feeds arbitrary bytes to the reader of responses, whole and in pieces: both must take the same ones, within the
// bounds, and a body that is taken must be the one that a plain reader finds.
#include "hickoryshore/http1/http_exchange.h"

#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <optional>

using namespace hickoryshore;

namespace {

using Progress = HttpResponseReader::Progress;

constexpr HttpResponseRules rules
    = {.withoutLength = true, .excess = true, .keepHeaders = true, .headBytes = 512, .bodyBytes = 1024};
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

struct Outcome
{
    Progress progress = Progress::NeedsMore;
    UpstreamHttpResponse response;
};

Outcome readInPieces(std::string_view bytes, std::size_t pieceSize)
{
    HttpResponseReader reader(rules);
    Outcome outcome;
    while (!bytes.empty() && outcome.progress == Progress::NeedsMore) {
        const std::string_view piece = bytes.substr(0, pieceSize);
        bytes.remove_prefix(piece.size());
        outcome.progress = reader.take(piece);
        require(outcome.progress != Progress::NeedsMore
                || reader.buffered() <= rules.headBytes + rules.bodyBytes + pieceSize);
    }
    if (outcome.progress == Progress::NeedsMore) {
        outcome.progress = reader.end();
    }
    if (outcome.progress == Progress::Complete) {
        outcome.response = reader.release();
    }
    return outcome;
}

/// The body of chunks as a plain reader finds it; nothing where they end early or are none.
std::optional<std::string> plainChunks(std::string_view bytes)
{
    std::string body;
    while (true) {
        std::size_t size = 0;
        const auto [end, error] = std::from_chars(bytes.data(), bytes.data() + bytes.size(), size, 16);
        const std::size_t line = bytes.find(lineEnd);
        if (error != std::errc() || line == std::string_view::npos) {
            return std::nullopt;
        }
        bytes.remove_prefix(line + lineEnd.size());
        if (size == 0) {
            // Trailers, then an empty line.
            return bytes.starts_with(lineEnd) || bytes.find("\r\n\r\n") != std::string_view::npos ? std::optional(body)
                                                                                                  : std::nullopt;
        }
        if (bytes.size() < size + lineEnd.size() || bytes.substr(size, lineEnd.size()) != lineEnd) {
            return std::nullopt;
        }
        body += bytes.substr(0, size);
        bytes.remove_prefix(size + lineEnd.size());
    }
}

void checkLength(std::size_t length, std::string_view bytes)
{
    const Outcome outcome = readInPieces(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(bytes), 7);
    if (bytes.size() >= length) {
        require(outcome.progress == Progress::Complete && outcome.response.body == bytes.substr(0, length));
    } else {
        require(outcome.progress != Progress::Complete);
    }
}

void checkChunks(std::string_view bytes)
{
    const Outcome outcome = readInPieces(std::string(chunkedHead) + std::string(bytes), 5);
    require(outcome.progress != Progress::Complete || outcome.response.body == plainChunks(bytes));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 2, size - 2);
    checkLength(data[0], bytes);
    checkChunks(bytes);
    const Outcome whole = readInPieces(bytes, bytes.size());
    const Outcome pieces = readInPieces(bytes, data[1] % 16 + 1U);
    // In pieces a malformed head is found out once it is whole; what is complete is so either way.
    require((whole.progress == Progress::Complete) == (pieces.progress == Progress::Complete));
    require(whole.response.status == pieces.response.status && whole.response.body == pieces.response.body);
    require(whole.response.body.size() <= rules.bodyBytes);
    return 0;
}
