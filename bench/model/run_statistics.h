// What one run of the bench counts, and its percentiles.
#pragma once

#include "hickoryshore/shard/shard_scheduler.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace hickoryshore::bench {

/// A set of durations.
class Samples
{
public:
    void add(Duration value)
    {
        this->values.push_back(value);
    }

    void append(const Samples &other)
    {
        this->values.insert(this->values.end(), other.values.begin(), other.values.end());
    }

    std::size_t size() const
    {
        return this->values.size();
    }

    /// Returns the value at this share (0 to 1) of the sorted samples; zero where there are none.
    Duration percentile(double share) const;

private:
    std::vector<Duration> values;
};

/// The queries of one caller.
struct CallerStatistics
{
    Samples latency; ///< From arrival at the entry VM to the answer there.
    Samples strictLatency; ///< The same, where a query that misses a shard counts with its whole deadline.
    std::uint64_t complete = 0; ///< Queries that covered every shard.
    double coverage = 0; ///< Sum of the covered shares.
};

/// What one run counts, after its warm-up.
struct RunStatistics
{
    std::map<CallerId, CallerStatistics> callers;
    Samples subRequestLatency; ///< At the scheduler, of those that were answered Ok.
    std::map<int, Samples> silentLatency; ///< The same, of idempotent ones that met so many silent connections.
    Samples hedgeDelay; ///< From the first attempt to the hedge.
    Samples refusalLatency; ///< From arrival at the scheduler to the refusal.
    std::map<ResultCode, std::uint64_t> refusals; ///< Answers that say "not run".
    std::map<ResultCode, std::uint64_t> failures; ///< Other answers that are not Ok.
    std::uint64_t refusalsWithoutRetryAfter = 0;
    std::uint64_t subRequests = 0;
    std::uint64_t answeredInTime = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t silentNonIdempotent = 0; ///< Non-idempotent attempts that met a silent connection.
    std::uint64_t incompleteAfterSettling = 0; ///< Queries that arrived 2 s after the fault and missed a shard.
    std::unordered_map<SubRequestId, int> nonIdempotentSent;
    std::unordered_map<SubRequestId, int> nonIdempotentRuns;
};

/// Returns the largest count.
int largestCount(const std::unordered_map<SubRequestId, int> &counts);

} // namespace hickoryshore::bench
