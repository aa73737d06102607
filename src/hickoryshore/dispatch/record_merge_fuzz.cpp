// Merges arbitrary parts and compares the result with a full sort of all their records.
#include "hickoryshore/dispatch/record_merge.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hickoryshore;
    if (size < 3) {
        return 0;
    }
    const std::size_t recordBytes = data[0] % 17 + 1U;
    const std::size_t count = data[1] % 13U;
    const std::size_t partBytes = data[2] + 1U;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 3, size - 3);
    std::vector<std::string_view> parts;
    std::vector<std::string> records;
    for (std::size_t offset = 0; offset < bytes.size(); offset += partBytes) {
        const std::string_view part = bytes.substr(offset, partBytes);
        parts.push_back(part);
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes) {
            records.emplace_back(part.substr(offset, recordBytes));
        }
    }
    std::ranges::sort(records, std::greater<>());
    records.resize(std::min(records.size(), count));
    std::string expected;
    for (const std::string &record : records) {
        expected += record;
    }
    if (greatestRecords(parts, recordBytes, count) != expected) {
        std::abort();
    }
    return 0;
}
