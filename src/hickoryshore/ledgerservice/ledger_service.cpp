#include "hickoryshore/ledgerservice/ledger_service.h"
#include "hickoryshore/clock/clock.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>

namespace hickoryshore {

namespace {

/// What a blocking read left for its completion.
struct ReadOutcome
{
    bool failed = true;
    StoredValue stored; ///< An index of zero: the key does not exist.
};

std::uint64_t randomToken()
{
    thread_local std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

LedgerServiceSettings withDefaults(LedgerServiceSettings settings)
{
    if (!settings.wallTime) {
        settings.wallTime = wallNow;
    }
    if (!settings.ledger.nextToken) {
        settings.ledger.nextToken = randomToken;
    }
    return settings;
}

LedgerWriteResult ledgerResult(WriteResult result)
{
    switch (result) {
    case WriteResult::Applied:
        return LedgerWriteResult::Applied;
    case WriteResult::Conflict:
        return LedgerWriteResult::Conflict;
    case WriteResult::Unknown:
        break;
    }
    return LedgerWriteResult::Unknown;
}

} // namespace

std::string ledgerKey(std::string_view prefix, std::size_t partition)
{
    const std::string number = std::to_string(partition);
    return std::string(prefix) + (number.size() < 2 ? "0" : "") + number;
}

LedgerService::LedgerService(EventLoop &loop, LedgerServiceSettings settings)
    : loop(&loop), settings(withDefaults(std::move(settings))), turns(this->settings.turnsAtOnce)
{
    for (std::size_t number = 0; number < this->settings.partitions; ++number) {
        this->partitions.push_back(
            {LedgerPartitionState(this->settings.ledger), ledgerKey(this->settings.keyPrefix, number), {}});
    }
}

std::size_t LedgerService::partitionOf(const RequestId &id) const
{
    return ledgerPartitionOf(id, this->partitions.size());
}

void LedgerService::submit(LedgerRequest request, OnDecision onDecision)
{
    this->loop->post([this, request = std::move(request), onDecision = std::move(onDecision)]() mutable {
        if (this->refuseForLoad(request, onDecision)) {
            return;
        }
        request.submission = SubmissionId{++this->lastSubmission};
        this->callbacks.emplace(request.submission, std::move(onDecision));
        this->drive(this->partitionOf(request.id),
                    [&](Instant now, LedgerPartitionState &state, std::vector<LedgerAction> &actions) {
                        state.submit(now, this->settings.wallTime(), std::move(request), actions);
                    });
    });
}

bool LedgerService::refuseForLoad(const LedgerRequest &request, const OnDecision &onDecision)
{
    const Duration wait = this->turns.estimatedWait();
    if (wait <= this->settings.ledger.maximumWait / 2) {
        return false;
    }
    ++this->refusedForLoad;
    onDecision(unrecordedDecision(request, wait));
    return true;
}

void LedgerService::complete(RequestId id, ResultCode code, std::string outcome)
{
    this->loop->post([this, id = std::move(id), code, outcome = std::move(outcome)] {
        this->drive(this->partitionOf(id),
                    [&](Instant now, LedgerPartitionState &state, std::vector<LedgerAction> &actions) {
                        state.complete(now, id, code, outcome, actions);
                    });
    });
}

void LedgerService::lookUp(RequestId id, std::optional<WallTime> issuedAt, OnDecision onDecision)
{
    this->loop->post([this, id = std::move(id), issuedAt, onDecision = std::move(onDecision)]() mutable {
        const SubmissionId submission{++this->lastSubmission};
        this->callbacks.emplace(submission, std::move(onDecision));
        this->drive(this->partitionOf(id),
                    [&](Instant now, LedgerPartitionState &state, std::vector<LedgerAction> &actions) {
                        state.lookUp(now, {submission, std::move(id), issuedAt}, actions);
                    });
    });
}

void LedgerService::drive(std::size_t partition, const Event &event, Call call)
{
    const Instant now = monotonicNow();
    std::vector<LedgerAction> actions;
    event(now, this->partitions[partition].state, actions);
    const bool writes = std::ranges::any_of(actions, [](const LedgerAction &action) {
        return std::holds_alternative<WritePartition>(action);
    });
    if (call == Call::Ended && !writes) {
        this->beginTurn(this->turns.release(now, partition));
    }
    for (const LedgerAction &action : actions) {
        this->perform(partition, action);
    }
    this->setTimer(partition, now);
}

void LedgerService::beginTurn(std::optional<std::size_t> partition)
{
    if (partition.has_value()) {
        this->startRead(*partition);
    }
}

void LedgerService::perform(std::size_t partition, const LedgerAction &action)
{
    if (const auto *decision = std::get_if<DecideSubmission>(&action)) {
        this->decide(*decision);
    } else if (const auto *write = std::get_if<WritePartition>(&action)) {
        this->startWrite(partition, *write);
    } else if (this->turns.request(monotonicNow(), partition)) {
        this->startRead(partition);
    }
}

void LedgerService::decide(const DecideSubmission &decide)
{
    auto callback = this->callbacks.extract(decide.submission);
    if (!callback.empty()) {
        callback.mapped()(decide.decision);
    }
}

void LedgerService::startRead(std::size_t partition)
{
    auto outcome = std::make_shared<ReadOutcome>();
    // The job holds all that it needs, since a pool thread may outlast this service.
    const auto job = [read = this->settings.read, key = this->partitions[partition].key, outcome] {
        try {
            outcome->stored = read(key).value_or(StoredValue{});
            outcome->failed = false;
        } catch (const std::exception &) {
            outcome->failed = true;
        }
    };
    this->loop->runBlocking(job, [this, partition, outcome] {
        const auto event = [&](Instant now, LedgerPartitionState &state, std::vector<LedgerAction> &actions) {
            if (outcome->failed) {
                state.onReadFailed(now, actions);
                return;
            }
            const StoredValue &stored = outcome->stored;
            state.onRead(now, this->settings.wallTime(), stored.value, stored.modifyIndex, actions);
        };
        this->drive(partition, event, Call::Ended);
    });
}

void LedgerService::startWrite(std::size_t partition, const WritePartition &write)
{
    // Any other failure than PlatformError says nothing of the effect.
    auto result = std::make_shared<LedgerWriteResult>(LedgerWriteResult::Unknown);
    const auto job = [swap = this->settings.compareAndSwap, key = this->partitions[partition].key, result, write] {
        try {
            *result = ledgerResult(swap(key, write.content, write.expectedIndex));
        } catch (const PlatformError &) {
            *result = LedgerWriteResult::NotSent;
        } catch (const std::exception &) {
            *result = LedgerWriteResult::Unknown;
        }
    };
    this->loop->runBlocking(job, [this, partition, result] {
        const auto event = [&](Instant now, LedgerPartitionState &state, std::vector<LedgerAction> &actions) {
            state.onWriteResult(now, *result, actions);
        };
        this->drive(partition, event, Call::Ended);
    });
}

void LedgerService::setTimer(std::size_t partition, Instant from)
{
    Partition &driven = this->partitions[partition];
    const std::optional<Instant> next = driven.state.nextTimer();
    // The loop cannot cancel a timer: an earlier one that is set wakes the partition and sets the next.
    if (!next.has_value() || (driven.wakeUpAt.has_value() && *driven.wakeUpAt <= *next)) {
        return;
    }
    driven.wakeUpAt = next;
    this->loop->after(std::max(*next - from, Duration(0)), [this, partition, time = *next] {
        Partition &due = this->partitions[partition];
        if (due.wakeUpAt == time) {
            due.wakeUpAt.reset();
        }
        this->drive(partition, [](Instant now, LedgerPartitionState &state, std::vector<LedgerAction> &actions) {
            state.onTimer(now, actions);
        });
    });
}

LedgerCounters LedgerService::counters() const
{
    LedgerCounters sum;
    for (const Partition &partition : this->partitions) {
        sum += partition.state.counters();
    }
    sum.refusedUnrecorded += this->refusedForLoad;
    return sum;
}

bool LedgerService::idle() const
{
    return std::ranges::all_of(this->partitions, [](const Partition &partition) {
        return partition.state.idle();
    });
}

bool LedgerService::flushed() const
{
    return std::ranges::all_of(this->partitions, [](const Partition &partition) {
        return partition.state.flushed();
    });
}

} // namespace hickoryshore
