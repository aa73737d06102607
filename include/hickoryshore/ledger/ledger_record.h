// The content of one ledger partition in the platform's service: the record of non-idempotent requests.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/result/result_code.h"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hickoryshore {

/// The recorded state of a request.
enum class LedgerState {
    Intent, ///< About to be dispatched, or dispatched. It may run or have run.
    Done, ///< It ran; the outcome is recorded.
    NotRun, ///< It certainly did not run; the request may be sent again under the same id.
};

/// The record of one request.
struct LedgerEntry
{
    RequestId id;
    CallerId caller;
    std::uint64_t bodyHash = 0;
    WallTime issuedAt;
    std::string writer; ///< The VM and process that wrote the intent.
    std::uint64_t token = 0; ///< Random; identifies the writer's own intent when it reads the partition again.
    LedgerState state = LedgerState::Intent;
    ResultCode resultCode = ResultCode::Ok;
    std::string outcome; ///< The answer as JSON text if the state is Done.
};

/// Thrown if a stored partition cannot be parsed. Such a partition must not be overwritten.
class LedgerRecordError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// All entries of one partition.
struct LedgerRecord
{
    std::map<RequestId, LedgerEntry> entries;
    WallTime prunedBefore; ///< Entries issued before this were removed, so requests issued before it must not run.

    /// Returns the entry of the request, or nullptr if it has none.
    const LedgerEntry *find(const RequestId &id) const;

    /// Returns the entry of the request if it has this token, or nullptr otherwise.
    LedgerEntry *findByToken(const RequestId &id, std::uint64_t token);

    /// Permanently removes the entries issued before the time.
    void pruneBefore(WallTime time);
};

/// Returns the time before which entries may be removed. It is also bounded by the newest issue time, so that a VM
/// whose clock is ahead cannot remove entries that must be kept. The newest issue time includes requests to be
/// recorded: without them, a full partition would never be pruned.
WallTime pruningLimit(const LedgerRecord &record, WallTime newestToRecord, WallTime wall, Duration retention);

/// Returns how long it takes until the oldest entry is pruned and there is space again, at least 250 ms.
Duration timeUntilOldestPruned(const LedgerRecord &record, WallTime wall, Duration retention);

/// Returns an upper bound on the stored size of the entry, in bytes.
std::size_t storedSizeBound(const LedgerEntry &entry);

/// Returns an upper bound on the stored size of the record, in bytes.
std::size_t storedSizeBound(const LedgerRecord &record);

/// Returns the stored form (protobuf).
std::string serializeLedgerRecord(const LedgerRecord &record);

/// Parses the stored form. Throws LedgerRecordError if it is malformed or has an unknown version, state or code.
LedgerRecord parseLedgerRecord(std::string_view content);

/// Returns the number of the partition, from zero, that records the request.
std::size_t ledgerPartitionOf(const RequestId &id, std::size_t partitions);

} // namespace hickoryshore
