// Feeds arbitrary bytes to the reader of frames: what it takes must survive being written again.
#include "hickoryshore/wire/frame.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hickoryshore;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    try {
        wire::Frame frame = decodeFrame(text);
        decodeFrame(encodeFrame(frame));
    } catch (const FrameError &) {
        return 0;
    }
    return 0;
}
