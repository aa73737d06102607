// What the load generator needs to know, and the queries that follow from it.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickoryshore {

/// The settings of one run, filled from the command line.
struct LoadSettings
{
    std::string entry; ///< "ip:port" of any entry VM; it tells the addresses to use.
    IndexId index;
    CallerId caller{"load"};
    double rate = 10; ///< Queries a second.
    Duration duration{std::chrono::seconds(10)};
    int concurrency = 16; ///< Queries under way at once; further ones wait, and their wait counts.
    Duration deadline{std::chrono::milliseconds(150)};
    double nonIdempotentShare = 0; ///< 0 to 1.
    std::uint64_t seed = 1;
    std::string historyFile; ///< Empty: no history is written.
};

/// One query with the time at which it should be sent.
struct PlannedQuery
{
    RequestId id;
    std::string text;
    Duration intended{0}; ///< Since the start of the run.
    bool idempotent = true;
};

/// Plans all queries of a run: Poisson arrivals at the rate, the same for the same seed. The ids start with
/// `idPrefix`, which must differ between runs against one system.
std::vector<PlannedQuery> planQueries(const LoadSettings &settings, const std::string &idPrefix);

/// Throws std::invalid_argument that names the first setting that is out of range.
void checkLoadSettings(const LoadSettings &settings);

} // namespace hickoryshore
