// The figures of one run, and how they are printed.
#pragma once

#include "model/run_statistics.h"

#include <iosfwd>
#include <span>
#include <string>

namespace hickoryshore::bench {

/// The figures of one caller. Latencies are from the arrival at the entry VM to the answer there.
struct CallerReport
{
    std::string caller;
    std::uint64_t queries = 0;
    Duration p50{0};
    Duration p99{0};
    Duration p999{0};
    Duration strictP99{0}; ///< A query that misses a shard counts with its whole deadline.
    double coverage = 0; ///< Mean share of the shards.
    double complete = 0; ///< Share of the queries that covered every shard.
};

/// A result code with its count.
struct CodeCount
{
    std::string code;
    std::uint64_t count = 0;
};

/// Idempotent sub-requests that met the same number of silent connections.
struct SilentLatency
{
    int silentConnections = 0;
    std::uint64_t subRequests = 0;
    Duration longest{0};
};

/// The figures of one run.
struct RunReport
{
    std::string service;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    CallerReport all;
    std::vector<CallerReport> callers;
    std::uint64_t subRequests = 0;
    double extraLoad = 0; ///< Attempts beyond one for each dispatched sub-request, as a share.
    double retryAmplification = 1; ///< First attempts and retries, for each dispatched sub-request.
    double goodput = 0; ///< Sub-requests answered in time, as a share of the capacity.
    std::vector<CodeCount> refusals;
    std::vector<CodeCount> failures;
    Duration refusalP99{0};
    Duration refusalLongest{0};
    std::uint64_t refusalsWithoutRetryAfter = 0;
    double lateShare = 0; ///< Of the slot time: work that finished after its deadline.
    double cancelledShare = 0; ///< Of the slot time: work that was cancelled while it ran.
    int peakConnections = 0; ///< Largest number at one replica.
    int peakInFlight = 0; ///< Attempts at one replica at once, running or queued.
    double aboveSlots = 0; ///< Share of the time with more attempts at a replica than slots, of the worst replica.
    Duration subRequestP95{0};
    Duration subRequestP999{0};
    Duration hedgeDelayP50{0};
    std::uint64_t silentSubRequests = 0; ///< Idempotent ones that met a silent connection and were answered.
    std::vector<SilentLatency> silentLatencies; ///< Of these, by the silent connections that they met.
    std::uint64_t silentNonIdempotent = 0;
    int maxSends = 0; ///< Of one non-idempotent sub-request.
    int maxRuns = 0; ///< Of one non-idempotent sub-request.
    std::uint64_t incompleteAfterSettling = 0;
    std::vector<Duration> lastReceived; ///< By replica: when the last new work arrived.
};

/// Writes one row for each run, under a heading for each service and scenario.
void printTable(std::ostream &out, std::span<const RunReport> reports);

/// Writes the reports as one JSON array.
void printJson(std::ostream &out, std::span<const RunReport> reports);

} // namespace hickoryshore::bench
