// Reports violations as errors of the running test.
#pragma once

#include <boost/test/unit_test.hpp>

#include <span>
#include <string>

namespace hickoryshore {

/// Reports each violation as an error.
inline void expectNone(std::span<const std::string> violations)
{
    for (const std::string &violation : violations) {
        BOOST_ERROR(violation);
    }
}

} // namespace hickoryshore
