// Seeding of the generators that the decision modules draw from.
#pragma once

#include <cstdint>
#include <random>

namespace hickoryshore {

/// Returns a generator for this seed, of which any value will do.
inline std::minstd_rand seededGenerator(std::uint64_t seed)
{
    return std::minstd_rand(static_cast<std::minstd_rand::result_type>(seed % (std::minstd_rand::modulus - 1) + 1));
}

} // namespace hickoryshore
