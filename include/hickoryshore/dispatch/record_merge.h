// Merges results that consist of fixed-size records, ordered by their bytes.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace hickoryshore {

/// Returns the `count` greatest records of all parts, or all of them if there are fewer, in descending order. Records
/// are compared byte by byte, and equal records are all kept. An incomplete record at the end of a part is ignored.
std::string greatestRecords(std::span<const std::string_view> parts, std::size_t recordBytes, std::size_t count);

} // namespace hickoryshore
