// Feeds arbitrary text to the readers of the upstream's protocol, and of the HTTP responses that carry it.
#include "hickoryshore/http1/http_exchange.h"
#include "hickoryshore/upstream/upstream_protocol.h"

#include <stdexcept>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hickoryshore;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    parseUpstreamReply("attempt-1", 200, text);
    HttpResponseReader whole;
    if (whole.take(text) == HttpResponseReader::Progress::Complete) {
        whole.release();
    }
    HttpResponseReader halves;
    if (halves.take(text.substr(0, size / 2)) == HttpResponseReader::Progress::NeedsMore) {
        halves.take(text.substr(size / 2));
    }
    try {
        parseUpstreamHealth(text);
        parseUpstreamRequest(text);
    } catch (const std::invalid_argument &) {
        return 0;
    }
    return 0;
}
