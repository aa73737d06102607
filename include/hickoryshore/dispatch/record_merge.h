// Merging of results that are records of one size, in the order of their bytes.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace hickoryshore {

/// Returns the greatest records of all parts, at most `count`, greatest first, compared byte by byte. Equal records all
/// count. What is left at the end of a part and is shorter than a record is none.
std::string greatestRecords(std::span<const std::string_view> parts, std::size_t recordBytes, std::size_t count);

} // namespace hickoryshore
