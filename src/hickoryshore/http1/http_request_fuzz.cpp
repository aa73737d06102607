// Feeds arbitrary bytes to the reader of requests, whole and in pieces: both must find the same requests, and a body of
// a told length must be just the bytes that follow its head.
#include "hickoryshore/http1/http_exchange.h"

#include <cstdint>
#include <cstdlib>

using namespace hickoryshore;

namespace {

using Progress = HttpRequestReader::Progress;

constexpr HttpRequestLimits limits = {.headerBytes = 512, .bodyBytes = 1024};

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

struct Outcome
{
    Progress progress = Progress::NeedsMore;
    std::vector<HttpServerRequest> requests;
};

Outcome readInPieces(std::string_view bytes, std::size_t pieceSize)
{
    HttpRequestReader reader(limits);
    Outcome outcome;
    while (!bytes.empty() && outcome.progress == Progress::NeedsMore) {
        const std::string_view piece = bytes.substr(0, pieceSize);
        bytes.remove_prefix(piece.size());
        outcome.progress = reader.take(piece);
        while (outcome.progress == Progress::Complete) {
            outcome.requests.push_back(reader.release());
            require(outcome.requests.back().body.size() <= limits.bodyBytes);
            outcome.progress = reader.take("");
        }
    }
    return outcome;
}

void checkLength(std::size_t length, std::string_view bytes)
{
    const Outcome outcome = readInPieces("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length)
                                             + "\r\n\r\n" + std::string(bytes),
                                         7);
    if (bytes.size() >= length) {
        require(!outcome.requests.empty() && outcome.requests.front().body == bytes.substr(0, length));
    } else {
        require(outcome.requests.empty());
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 2, size - 2);
    checkLength(data[0], bytes);
    const Outcome whole = readInPieces(bytes, bytes.size());
    const Outcome pieces = readInPieces(bytes, data[1] % 16 + 1U);
    require(whole.requests.size() == pieces.requests.size());
    for (std::size_t number = 0; number < whole.requests.size(); ++number) {
        require(whole.requests[number].method == pieces.requests[number].method);
        require(whole.requests[number].target == pieces.requests[number].target);
        require(whole.requests[number].body == pieces.requests[number].body);
    }
    return 0;
}
