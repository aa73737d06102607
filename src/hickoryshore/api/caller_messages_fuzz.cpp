// Feeds arbitrary text to the reader of callers' bodies, and to the writer of answers as an upstream's result.
#include "hickoryshore/api/caller_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hickoryshore;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    QueryAnswer answer;
    answer.resultCode = ResultCode::Ok;
    answer.results.push_back({{"a/1"}, std::string(text)});
    formatAnswerBody({std::string(text)}, answer);
    try {
        parseQueryBody(text, std::chrono::seconds(60));
    } catch (const RequestError &) {
        return 0;
    }
    return 0;
}
