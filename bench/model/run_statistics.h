// Counters and latency samples of one run.
#pragma once

#include "hickoryshore/shard/shard_scheduler.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace hickoryshore::bench {

/// A collection of durations.
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

    /// Returns the percentile for `share`, from 0 to 1. Returns zero if there are no samples.
    Duration percentile(double share) const;

private:
    std::vector<Duration> values;
};

/// Counters of one caller's queries.
struct CallerStatistics
{
    Samples latency; ///< From arrival at the entry VM to the answer there.
    Samples strictLatency; ///< The same, but a query that misses a shard counts with its full deadline.
    std::uint64_t complete = 0; ///< Queries that covered every shard.
    double coverage = 0; ///< Sum of the shares of parts that were answered Ok.
};

/// Counters of one run, from the end of its warm-up.
struct RunStatistics
{
    std::map<CallerId, CallerStatistics> callers;
    Samples subRequestLatency; ///< From arrival at the scheduler to the answer there, if it is Ok.
    /// Latency of idempotent sub-requests, answered Ok or not, by the number of their attempts on silent connections.
    std::map<int, Samples> silentLatency;
    Samples hedgeDelay; ///< From the first attempt to the hedge.
    Samples refusalLatency; ///< From arrival at the scheduler to the refusal.
    std::map<ResultCode, std::uint64_t> refusals; ///< Answers whose result code means "not run".
    std::map<ResultCode, std::uint64_t> failures; ///< Answers with any other result code than Ok.
    std::uint64_t refusalsWithoutRetryAfter = 0;
    std::uint64_t subRequests = 0;
    std::uint64_t answeredInTime = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t silentNonIdempotent = 0; ///< Non-idempotent attempts sent on a silent connection.
    std::uint64_t incompleteAfterSettling = 0; ///< Queries that arrived 2 s or more after the fault and missed a shard.
    std::unordered_map<SubRequestId, int> nonIdempotentSent; ///< How often each non-idempotent sub-request was sent.
    std::unordered_map<SubRequestId, int> nonIdempotentRuns; ///< How often each of them started to run at a replica.
};

/// Returns the largest count, or zero if there are none.
int largestCount(const std::unordered_map<SubRequestId, int> &counts);

} // namespace hickoryshore::bench
