#include "hickoryshore/ledger/ledger_partition.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace hickoryshore {

namespace {

constexpr int maximumDoublings = 5;

std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

LedgerEntry makeIntent(const LedgerRequest &request, std::uint64_t token, std::string_view writer)
{
    return {.id = request.id,
            .caller = request.caller,
            .bodyHash = request.bodyHash,
            .issuedAt = request.issuedAt,
            .writer = std::string(writer),
            .token = token};
}

} // namespace

LedgerPartitionState::LedgerPartitionState(LedgerSettings settings) : settings(std::move(settings))
{ }

void LedgerPartitionState::submit(Instant now, WallTime wall, LedgerRequest request, std::vector<LedgerAction> &actions)
{
    const std::int64_t newestAllowed = wall.milliseconds + wholeMilliseconds(this->settings.maximumClockSkew);
    if (request.issuedAt.milliseconds > newestAllowed) {
        const LedgerDecision refusal{.code = ResultCode::MalformedRequest,
                                     .execution = executionWithoutRecord(request)};
        actions.emplace_back(DecideSubmission{request.submission, refusal});
        return;
    }
    const Instant refuseUntil = std::max(this->pausedUntil, this->congestedUntil);
    if (now < refuseUntil) {
        const std::optional<LedgerEntry> entry = this->currentEntry(request.id);
        const auto recorded = entry.has_value() ? decideFromEntry(request, *entry) : std::nullopt;
        this->counted.refusedUnrecorded += recorded.has_value() ? 0 : 1;
        actions.emplace_back(
            DecideSubmission{request.submission, recorded.value_or(unrecordedDecision(request, refuseUntil - now))});
        return;
    }
    const Duration maximumWait = this->settings.maximumWait;
    const Duration wait = request.waitLimit > Duration(0) ? std::min(request.waitLimit, maximumWait) : maximumWait;
    this->waitingIntents.push_back({std::move(request), this->settings.nextToken(), now + wait});
    this->startReadIfDue(now, actions);
}

void LedgerPartitionState::lookUp(Instant now, LedgerLookUp lookUp, std::vector<LedgerAction> &actions)
{
    if (now < this->pausedUntil) {
        actions.emplace_back(DecideSubmission{lookUp.submission, failedLookUpDecision(this->pausedUntil - now)});
        return;
    }
    this->lookUps.push_back({std::move(lookUp), now + this->settings.maximumWait});
    this->startReadIfDue(now, actions);
}

bool LedgerPartitionState::hasDueWork(Instant now) const
{
    return !this->waitingIntents.empty() || !this->lookUps.empty()
        || std::ranges::any_of(this->pendingOutcomes, [now](const PendingOutcome &outcome) {
               return outcome.due <= now;
           });
}

void LedgerPartitionState::startReadIfDue(Instant now, std::vector<LedgerAction> &actions)
{
    if (this->operation != Operation::None || !this->hasDueWork(now)) {
        return;
    }
    if (now < std::max(this->pausedUntil, this->backOffUntil)) {
        return;
    }
    this->operation = Operation::Reading;
    ++this->counted.reads;
    actions.emplace_back(ReadPartition{});
}

void LedgerPartitionState::onRead(
    Instant now, WallTime wall, std::string_view content, std::uint64_t index, std::vector<LedgerAction> &actions)
{
    this->operation = Operation::None;
    try {
        this->latestRecord = index == 0 ? LedgerRecord{} : parseLedgerRecord(content);
    } catch (const LedgerRecordError &) {
        // Unreadable content must not be overwritten. Requests are refused until an operator or an upgrade fixes it.
        this->handleFailure(now, actions);
        return;
    }
    this->failuresInRow = 0;
    this->resolveUnknownWrites(index, actions);
    this->answerLookUps(actions);
    this->decideWaitingIntents(now, wall, actions);
    this->refuseIntentsLateForWrite(now, actions);
    this->writeGroup(now, wall, index, actions);
}

void LedgerPartitionState::refuseIntentsLateForWrite(Instant now, std::vector<LedgerAction> &actions)
{
    // An intent refused before the write needs no second write to mark it as not run.
    std::erase_if(this->waitingIntents, [&](const WaitingIntent &intent) {
        const bool late = intent.waitDeadline < now + this->recentWriteDuration;
        if (late) {
            this->refuse(now, intent, this->settings.firstRetryAfter, actions);
        }
        return late;
    });
    if (this->waitingIntents.empty()) {
        this->recentWriteDuration /= 2; // Decays the effect of one slow write even if nothing is written.
    }
}

void LedgerPartitionState::onReadFailed(Instant now, std::vector<LedgerAction> &actions)
{
    this->operation = Operation::None;
    this->handleFailure(now, actions);
}

void LedgerPartitionState::resolveUnknownWrites(std::uint64_t index, std::vector<LedgerAction> &actions)
{
    std::erase_if(this->waitingIntents, [&](WaitingIntent &intent) {
        if (this->latestRecord.findByToken(intent.request.id, intent.token) != nullptr) {
            this->accept(intent, actions);
            return true;
        }
        if (intent.unknownWriteIndex != index) {
            // The index changed and the intent is not stored, so the write that expects the old index can never apply.
            intent.unknownWriteIndex.reset();
        }
        return false;
    });
    std::erase_if(this->pendingOutcomes, [&](PendingOutcome &outcome) {
        if (this->latestRecord.findByToken(outcome.id, outcome.token) != nullptr) {
            outcome.unknownWriteIndex.reset();
            return false;
        }
        return outcome.unknownWriteIndex != index;
    });
}

std::optional<LedgerEntry> LedgerPartitionState::currentEntry(const RequestId &id) const
{
    const LedgerEntry *stored = this->latestRecord.find(id);
    if (stored == nullptr) {
        return std::nullopt;
    }
    LedgerEntry entry = *stored;
    const auto outcome = std::ranges::find_if(this->pendingOutcomes, [&entry](const PendingOutcome &candidate) {
        return candidate.token == entry.token && candidate.id == entry.id;
    });
    if (outcome != this->pendingOutcomes.end()) {
        entry.state = outcome->state;
        entry.resultCode = outcome->code;
        entry.outcome = outcome->text;
    }
    return entry;
}

std::optional<LedgerDecision> LedgerPartitionState::decideFromRecord(const LedgerRequest &request, WallTime wall) const
{
    if (const std::optional<LedgerEntry> entry = this->currentEntry(request.id)) {
        std::optional<LedgerDecision> decision = decideFromEntry(request, *entry);
        if (decision.has_value()) {
            return decision;
        }
    }
    const std::int64_t age = wall.milliseconds - request.issuedAt.milliseconds;
    if (request.issuedAt < this->latestRecord.prunedBefore || age > wholeMilliseconds(this->settings.retention)) {
        return LedgerDecision{.code = ResultCode::RequestExpired, .execution = executionWithoutRecord(request)};
    }
    return std::nullopt;
}

void LedgerPartitionState::decideWaitingIntents(Instant now, WallTime wall, std::vector<LedgerAction> &actions)
{
    std::erase_if(this->waitingIntents, [&](const WaitingIntent &intent) {
        std::optional<LedgerDecision> decision = this->decideFromRecord(intent.request, wall);
        if (!decision.has_value()) {
            return false;
        }
        ++this->counted.answeredFromRecord;
        this->ensureMarkedNotRun(now, intent);
        actions.emplace_back(DecideSubmission{intent.request.submission, std::move(*decision)});
        return true;
    });
}

void LedgerPartitionState::answerLookUps(std::vector<LedgerAction> &actions)
{
    for (const WaitingLookUp &waitingLookUp : this->lookUps) {
        const LedgerLookUp &lookUp = waitingLookUp.lookUp;
        actions.emplace_back(DecideSubmission{
            lookUp.submission, decideLookUp(lookUp, this->currentEntry(lookUp.id), this->latestRecord.prunedBefore)});
    }
    this->lookUps.clear();
}

void LedgerPartitionState::writeGroup(Instant now,
                                      WallTime wall,
                                      std::uint64_t index,
                                      std::vector<LedgerAction> &actions)
{
    if (!this->hasDueWork(now)) {
        return;
    }
    LedgerRecord next = this->latestRecord;
    WallTime newestToRecord;
    for (const WaitingIntent &intent : this->waitingIntents) {
        newestToRecord = std::max(newestToRecord, intent.request.issuedAt);
    }
    next.pruneBefore(pruningLimit(next, newestToRecord, wall, this->settings.retention));
    this->recordIntents(now, wall, next, actions);
    this->recordOutcomes(next);
    const bool fenced = std::ranges::any_of(this->pendingOutcomes, &PendingOutcome::inWrite);
    if (this->intentsInWrite.empty() && !fenced) {
        return;
    }
    this->operation = Operation::Writing;
    this->expectedWriteIndex = index;
    this->writeStarted = now;
    ++this->counted.writes;
    actions.emplace_back(WritePartition{serializeLedgerRecord(next), index});
    this->recordInWrite = std::move(next);
}

void LedgerPartitionState::recordIntents(Instant now,
                                         WallTime wall,
                                         LedgerRecord &next,
                                         std::vector<LedgerAction> &actions)
{
    std::vector<WaitingIntent> remaining;
    std::set<RequestId> ids;
    std::size_t size = storedSizeBound(next);
    for (WaitingIntent &intent : this->waitingIntents) {
        const RequestId &id = intent.request.id;
        if (ids.contains(id) || this->intentsInWrite.size() >= this->settings.maximumGroup) {
            remaining.push_back(std::move(intent));
            continue;
        }
        LedgerEntry entry = makeIntent(intent.request, intent.token, this->settings.writer);
        const std::size_t entrySize = storedSizeBound(entry);
        if (size + entrySize > this->settings.maximumPartitionBytes) {
            ++this->counted.refusedPartitionFull;
            this->refuse(now, intent, timeUntilOldestPruned(next, wall, this->settings.retention), actions);
            continue;
        }
        size += entrySize;
        ids.insert(id);
        next.entries.insert_or_assign(id, std::move(entry));
        this->intentsInWrite.push_back(std::move(intent));
    }
    this->waitingIntents = std::move(remaining);
}

void LedgerPartitionState::recordOutcomes(LedgerRecord &next)
{
    std::size_t size = storedSizeBound(next);
    std::size_t remainingSlots = this->settings.maximumGroup - this->intentsInWrite.size();
    for (PendingOutcome &outcome : this->pendingOutcomes) {
        if (remainingSlots == 0) {
            return;
        }
        --remainingSlots;
        // Any write changes the index, so it also fences off a late write that could still record the intent.
        outcome.inWrite = true;
        LedgerEntry *entry = next.findByToken(outcome.id, outcome.token);
        if (entry == nullptr) {
            continue;
        }
        entry->state = outcome.state;
        entry->resultCode = outcome.code;
        if (size + outcome.text.size() <= this->settings.maximumPartitionBytes) {
            size += outcome.text.size();
            entry->outcome = outcome.text;
        }
    }
}

void LedgerPartitionState::onWriteResult(Instant now, LedgerWriteResult result, std::vector<LedgerAction> &actions)
{
    this->operation = Operation::None;
    this->recentWriteDuration += (now - this->writeStarted - this->recentWriteDuration) / 4;
    if (result == LedgerWriteResult::Applied) {
        this->handleApplied(actions);
        this->startReadIfDue(now, actions);
        return;
    }
    for (PendingOutcome &outcome : this->pendingOutcomes) {
        outcome.inWrite = false;
    }
    for (WaitingIntent &intent : this->intentsInWrite) {
        if (result == LedgerWriteResult::Unknown) {
            intent.unknownWriteIndex = this->expectedWriteIndex;
        }
    }
    this->intentsInWrite.insert(this->intentsInWrite.end(),
                                std::make_move_iterator(this->waitingIntents.begin()),
                                std::make_move_iterator(this->waitingIntents.end()));
    this->waitingIntents = std::exchange(this->intentsInWrite, {});
    if (result == LedgerWriteResult::Conflict) {
        this->pauseAfterConflict(now);
    }
    this->counted.unknownWrites += result == LedgerWriteResult::Unknown ? 1 : 0;
    if (result == LedgerWriteResult::NotSent) {
        this->handleFailure(now, actions);
        return;
    }
    this->startReadIfDue(now, actions);
}

void LedgerPartitionState::pauseAfterConflict(Instant now)
{
    ++this->counted.conflicts;
    // The pause is random so that the same writers do not conflict again. Arrivals during the pause join the group.
    const Duration longestPause
        = this->settings.conflictPause * (1 << std::min(this->conflictsInRow, maximumDoublings));
    ++this->conflictsInRow;
    const auto range = static_cast<std::uint64_t>(longestPause.count()) + 1;
    this->backOffUntil = now + Duration(static_cast<Duration::rep>(this->settings.nextToken() % range));
}

void LedgerPartitionState::handleApplied(std::vector<LedgerAction> &actions)
{
    this->failuresInRow = 0;
    this->conflictsInRow = 0;
    this->latestRecord = std::move(this->recordInWrite);
    for (const WaitingIntent &intent : std::exchange(this->intentsInWrite, {})) {
        this->accept(intent, actions);
    }
    this->counted.outcomes += std::erase_if(this->pendingOutcomes, [](const PendingOutcome &outcome) {
        return outcome.inWrite;
    });
}

void LedgerPartitionState::accept(const WaitingIntent &intent, std::vector<LedgerAction> &actions)
{
    ++this->counted.intents;
    this->acceptedTokens[intent.request.id] = intent.token;
    actions.emplace_back(
        DecideSubmission{intent.request.submission, {.accepted = true, .execution = Execution::MayHaveRun}});
}

void LedgerPartitionState::complete(
    Instant now, const RequestId &id, ResultCode code, std::string_view outcome, std::vector<LedgerAction> &actions)
{
    const auto token = this->acceptedTokens.find(id);
    if (token == this->acceptedTokens.end()) {
        return;
    }
    PendingOutcome recorded{.id = id, .token = token->second, .code = code, .due = now};
    this->acceptedTokens.erase(token);
    const Execution execution = resultCodeInfo(code).execution;
    if (execution == Execution::MayHaveRun) {
        return;
    }
    if (execution == Execution::NotRun) {
        recorded.state = LedgerState::NotRun;
    } else {
        recorded.due = now + this->settings.outcomeDelay;
        recorded.text = outcome.size() <= this->settings.maximumOutcomeBytes ? outcome : std::string_view{};
    }
    this->pendingOutcomes.push_back(std::move(recorded));
    this->startReadIfDue(now, actions);
}

void LedgerPartitionState::ensureMarkedNotRun(Instant now, const WaitingIntent &intent)
{
    if (!intent.unknownWriteIndex.has_value()) {
        return;
    }
    this->pendingOutcomes.push_back({.id = intent.request.id,
                                     .token = intent.token,
                                     .state = LedgerState::NotRun,
                                     .code = ResultCode::PlatformUnavailable,
                                     .due = now + this->settings.outcomeDelay,
                                     .unknownWriteIndex = intent.unknownWriteIndex});
}

void LedgerPartitionState::refuse(Instant now,
                                  const WaitingIntent &intent,
                                  Duration retryAfter,
                                  std::vector<LedgerAction> &actions)
{
    ++this->counted.refusedUnrecorded;
    this->ensureMarkedNotRun(now, intent);
    actions.emplace_back(DecideSubmission{intent.request.submission, unrecordedDecision(intent.request, retryAfter)});
}

Duration LedgerPartitionState::pauseAfterFailure() const
{
    Duration pause = this->settings.firstRetryAfter;
    for (int failure = 1; failure < this->failuresInRow && pause < this->settings.maximumRetryAfter; ++failure) {
        pause *= 2;
    }
    return std::min(pause, this->settings.maximumRetryAfter);
}

void LedgerPartitionState::handleFailure(Instant now, std::vector<LedgerAction> &actions)
{
    ++this->counted.failures;
    ++this->failuresInRow;
    const Duration pause = this->pauseAfterFailure();
    this->pausedUntil = now + pause;
    for (const WaitingIntent &intent : std::exchange(this->waitingIntents, {})) {
        this->refuse(now, intent, pause, actions);
    }
    for (const WaitingLookUp &lookUp : std::exchange(this->lookUps, {})) {
        actions.emplace_back(DecideSubmission{lookUp.lookUp.submission, failedLookUpDecision(pause)});
    }
}

void LedgerPartitionState::refuseOverdue(Instant now, std::vector<LedgerAction> &actions)
{
    const auto isOverdue = [now](const auto &item) {
        return item.waitDeadline <= now;
    };
    const Duration pause = this->settings.firstRetryAfter;
    if (std::ranges::any_of(this->waitingIntents, isOverdue) || std::ranges::any_of(this->intentsInWrite, isOverdue)) {
        // The service is slower than the wait limit, and more requests would slow it down further.
        this->congestedUntil = now + pause;
    }
    std::erase_if(this->waitingIntents, [&](const WaitingIntent &intent) {
        if (isOverdue(intent)) {
            this->refuse(now, intent, pause, actions);
        }
        return isOverdue(intent);
    });
    std::erase_if(this->intentsInWrite, [&](WaitingIntent &intent) {
        if (isOverdue(intent)) {
            intent.unknownWriteIndex = this->expectedWriteIndex;
            this->refuse(now, intent, pause, actions);
        }
        return isOverdue(intent);
    });
    std::erase_if(this->lookUps, [&](const WaitingLookUp &lookUp) {
        if (isOverdue(lookUp)) {
            actions.emplace_back(DecideSubmission{lookUp.lookUp.submission, failedLookUpDecision(pause)});
        }
        return isOverdue(lookUp);
    });
}

void LedgerPartitionState::onTimer(Instant now, std::vector<LedgerAction> &actions)
{
    this->refuseOverdue(now, actions);
    this->startReadIfDue(now, actions);
}

std::optional<Instant> LedgerPartitionState::nextTimer() const
{
    std::optional<Instant> next;
    const auto include = [&next](Instant time) {
        next = std::min(next.value_or(time), time);
    };
    for (const WaitingIntent &intent : this->waitingIntents) {
        include(intent.waitDeadline);
    }
    for (const WaitingIntent &intent : this->intentsInWrite) {
        include(intent.waitDeadline);
    }
    for (const WaitingLookUp &lookUp : this->lookUps) {
        include(lookUp.waitDeadline);
    }
    if (this->operation == Operation::None) {
        if (!this->waitingIntents.empty() || !this->lookUps.empty()) {
            include(std::max(this->backOffUntil, this->pausedUntil));
        }
        for (const PendingOutcome &outcome : this->pendingOutcomes) {
            include(std::max({outcome.due, this->pausedUntil, this->backOffUntil}));
        }
    }
    return next;
}

bool LedgerPartitionState::idle() const
{
    return this->flushed() && this->acceptedTokens.empty();
}

bool LedgerPartitionState::flushed() const
{
    return this->operation == Operation::None && this->waitingIntents.empty() && this->lookUps.empty()
        && this->pendingOutcomes.empty();
}

const LedgerCounters &LedgerPartitionState::counters() const
{
    return this->counted;
}

} // namespace hickoryshore
