#include "hickoryshore/dispatch/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace hickoryshore {

std::string greatestRecords(std::span<const std::string_view> parts, std::size_t recordBytes, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes) {
            records.push_back(part.substr(offset, recordBytes));
        }
    }
    const std::size_t kept = std::min(count, records.size());
    // string_view compares bytes as unsigned.
    std::partial_sort(
        records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (std::size_t index = 0; index < kept; ++index) {
        merged.append(records[index]);
    }
    return merged;
}

} // namespace hickoryshore
