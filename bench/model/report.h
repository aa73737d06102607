// The results of one run, and functions to print them.
#pragma once

#include "model/run_statistics.h"

#include <iosfwd>
#include <span>
#include <string>

namespace hickoryshore::bench {

/// The results of one caller. Latencies are from the arrival at the entry VM to the answer there.
struct CallerReport
{
    std::string caller;
    std::uint64_t queries = 0;
    Duration p50{0};
    Duration p99{0};
    Duration p999{0};
    Duration strictP99{0}; ///< The p99 if a query that misses a shard counts with its full deadline.
    double coverage = 0; ///< Mean share of a query's parts that were answered Ok.
    double complete = 0; ///< Share of the queries that covered every shard.
};

/// The number of answers with one result code.
struct CodeCount
{
    std::string code;
    std::uint64_t count = 0;
};

/// Latency of the idempotent sub-requests that had the same number of attempts on silent connections.
struct SilentLatency
{
    int silentConnections = 0; ///< Attempts on silent connections.
    std::uint64_t subRequests = 0;
    Duration longest{0};
};

/// The results of one run.
struct RunReport
{
    std::string service;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    CallerReport all;
    std::vector<CallerReport> callers;
    std::uint64_t subRequests = 0;
    double extraLoad = 0; ///< Extra attempts per dispatched sub-request.
    double retryAmplification = 1; ///< First attempts and retries per dispatched sub-request.
    double goodput = 0; ///< Sub-requests answered in time, as a share of the capacity.
    std::vector<CodeCount> refusals;
    std::vector<CodeCount> failures;
    Duration refusalP99{0};
    Duration refusalLongest{0};
    std::uint64_t refusalsWithoutRetryAfter = 0;
    double lateShare = 0; ///< Share of the slot time used by work that finished after its deadline.
    double cancelledShare = 0; ///< Share of the slot time used by work that was cancelled while it ran.
    int peakConnections = 0; ///< Largest number of connections to one replica.
    int peakInFlight = 0; ///< Largest number of attempts running or queued at one replica at the same time.
    /// Share of the time with more attempts running or queued than slots, at the replica where it is largest.
    double aboveSlots = 0;
    Duration subRequestP95{0};
    Duration subRequestP999{0};
    Duration hedgeDelayP50{0};
    /// Idempotent sub-requests with an attempt on a silent connection that were answered.
    std::uint64_t silentSubRequests = 0;
    std::vector<SilentLatency> silentLatencies; ///< By the number of silent connections.
    std::uint64_t silentNonIdempotent = 0; ///< Non-idempotent attempts sent on a silent connection.
    int maxSends = 0; ///< How often one non-idempotent sub-request was sent, at most.
    int maxRuns = 0; ///< How often one non-idempotent sub-request started to run, at most.
    std::uint64_t incompleteAfterSettling = 0; ///< Queries that arrived 2 s or more after the fault and missed a shard.
    std::vector<Duration> lastReceived; ///< By replica: when the last work arrived.
};

/// Writes a table for each service and scenario, with one row for each run.
void printTable(std::ostream &out, std::span<const RunReport> reports);

/// Writes the reports as one JSON array.
void printJson(std::ostream &out, std::span<const RunReport> reports);

} // namespace hickoryshore::bench
