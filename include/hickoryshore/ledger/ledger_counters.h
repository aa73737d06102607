// Counters of the ledger, for metrics.
#pragma once

#include <cstdint>

namespace hickoryshore {

/// Totals since the process started.
struct LedgerCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t intents = 0; ///< Recorded intents whose requests were accepted.
    std::uint64_t outcomes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknownWrites = 0;
    std::uint64_t failures = 0; ///< Failed reads, writes that were not sent, and unreadable contents.
    std::uint64_t refusedUnrecorded = 0; ///< Refused because the intent could not be recorded in time.
    std::uint64_t refusedPartitionFull = 0; ///< Refused because the partition is full; also in refusedUnrecorded.
    std::uint64_t answeredFromRecord = 0; ///< Repeated, reused or expired requests that were decided without a new run.

    LedgerCounters &operator+=(const LedgerCounters &other);
};

} // namespace hickoryshore
