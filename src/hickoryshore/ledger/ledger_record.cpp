#include "hickoryshore/ledger/ledger_record.h"

#include <algorithm>

#include <ledger.pb.h>
#include <xxhash.h>

namespace hickoryshore {

namespace {

constexpr std::uint32_t recordVersion = 1;
/// Covers the numbers, tags and lengths of one entry, but not its strings.
constexpr std::size_t entryOverheadBytes = 96;
/// Lower bound, because the computed wait is negative if a caller's clock is behind: its entries outlive the retention.
constexpr Duration minimumWaitForSpace = std::chrono::milliseconds(250);

wire::LedgerState toWireState(LedgerState state)
{
    switch (state) {
    case LedgerState::Done:
        return wire::DONE;
    case LedgerState::NotRun:
        return wire::NOT_RUN;
    case LedgerState::Intent:
        break;
    }
    return wire::INTENT;
}

LedgerState parseState(wire::LedgerState state)
{
    switch (state) {
    case wire::INTENT:
        return LedgerState::Intent;
    case wire::DONE:
        return LedgerState::Done;
    case wire::NOT_RUN:
        return LedgerState::NotRun;
    default:
        throw LedgerRecordError("a ledger entry has an unknown state");
    }
}

LedgerEntry parseEntry(const wire::LedgerEntry &stored)
{
    const std::optional<ResultCode> code = resultCodeFromNumber(stored.result_code());
    if (!code.has_value()) {
        throw LedgerRecordError("a ledger entry has an unknown result code");
    }
    return {.id = {stored.request_id()},
            .caller = {stored.caller()},
            .bodyHash = stored.body_hash(),
            .issuedAt = {static_cast<std::int64_t>(stored.issued_at_ms())},
            .writer = stored.writer(),
            .token = stored.token(),
            .state = parseState(stored.state()),
            .resultCode = *code,
            .outcome = stored.outcome()};
}

void storeEntry(const LedgerEntry &entry, wire::LedgerEntry &stored)
{
    stored.set_request_id(entry.id.value);
    stored.set_caller(entry.caller.value);
    stored.set_body_hash(entry.bodyHash);
    stored.set_issued_at_ms(static_cast<std::uint64_t>(entry.issuedAt.milliseconds));
    stored.set_writer(entry.writer);
    stored.set_token(entry.token);
    stored.set_state(toWireState(entry.state));
    stored.set_result_code(static_cast<int>(entry.resultCode));
    stored.set_outcome(entry.outcome);
}

} // namespace

const LedgerEntry *LedgerRecord::find(const RequestId &id) const
{
    const auto entry = this->entries.find(id);
    return entry == this->entries.end() ? nullptr : &entry->second;
}

LedgerEntry *LedgerRecord::findByToken(const RequestId &id, std::uint64_t token)
{
    const auto entry = this->entries.find(id);
    const bool own = entry != this->entries.end() && entry->second.token == token;
    return own ? &entry->second : nullptr;
}

void LedgerRecord::pruneBefore(WallTime time)
{
    this->prunedBefore = std::max(this->prunedBefore, time);
    std::erase_if(this->entries, [this](const auto &entry) {
        return entry.second.issuedAt < this->prunedBefore;
    });
}

WallTime pruningLimit(const LedgerRecord &record, WallTime newestToRecord, WallTime wall, Duration retention)
{
    WallTime newest = newestToRecord;
    for (const auto &[id, entry] : record.entries) {
        newest = std::max(newest, entry.issuedAt);
    }
    return {std::min(wall, newest).milliseconds
            - std::chrono::duration_cast<std::chrono::milliseconds>(retention).count()};
}

Duration timeUntilOldestPruned(const LedgerRecord &record, WallTime wall, Duration retention)
{
    WallTime oldest = wall;
    for (const auto &[id, entry] : record.entries) {
        oldest = std::min(oldest, entry.issuedAt);
    }
    const Duration age = std::chrono::milliseconds(wall.milliseconds - oldest.milliseconds);
    return std::max(retention - age, minimumWaitForSpace);
}

std::size_t storedSizeBound(const LedgerEntry &entry)
{
    return entryOverheadBytes + entry.id.value.size() + entry.caller.value.size() + entry.writer.size()
        + entry.outcome.size();
}

std::size_t storedSizeBound(const LedgerRecord &record)
{
    std::size_t size = entryOverheadBytes;
    for (const auto &[id, entry] : record.entries) {
        size += storedSizeBound(entry);
    }
    return size;
}

std::string serializeLedgerRecord(const LedgerRecord &record)
{
    wire::LedgerPartition partition;
    partition.set_version(recordVersion);
    partition.set_pruned_before_ms(static_cast<std::uint64_t>(record.prunedBefore.milliseconds));
    for (const auto &[id, entry] : record.entries) {
        storeEntry(entry, *partition.add_entries());
    }
    return partition.SerializeAsString();
}

LedgerRecord parseLedgerRecord(std::string_view content)
{
    wire::LedgerPartition partition;
    if (!partition.ParseFromArray(content.data(), static_cast<int>(content.size()))) {
        throw LedgerRecordError("a ledger partition cannot be parsed");
    }
    if (partition.version() != recordVersion) {
        throw LedgerRecordError("a ledger partition has the unknown version " + std::to_string(partition.version()));
    }
    LedgerRecord record;
    record.prunedBefore = {static_cast<std::int64_t>(partition.pruned_before_ms())};
    for (const wire::LedgerEntry &stored : partition.entries()) {
        LedgerEntry entry = parseEntry(stored);
        RequestId id = entry.id;
        // Entries are stored in ascending order of their ids, so the end is the right hint.
        record.entries.emplace_hint(record.entries.end(), std::move(id), std::move(entry));
    }
    return record;
}

std::size_t ledgerPartitionOf(const RequestId &id, std::size_t partitions)
{
    return static_cast<std::size_t>(XXH3_64bits(id.value.data(), id.value.size()) % partitions);
}

} // namespace hickoryshore
