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
    const Duration longest = this->settings.maximumWait;
    const Duration wait = request.waitLimit > Duration(0) ? std::min(request.waitLimit, longest) : longest;
    this->waiting.push_back({std::move(request), this->settings.nextToken(), now + wait});
    this->advance(now, actions);
}

void LedgerPartitionState::lookUp(Instant now, LedgerLookUp lookUp, std::vector<LedgerAction> &actions)
{
    if (now < this->pausedUntil) {
        actions.emplace_back(DecideSubmission{lookUp.submission, failedLookUpDecision(this->pausedUntil - now)});
        return;
    }
    this->lookUps.push_back({std::move(lookUp), now + this->settings.maximumWait});
    this->advance(now, actions);
}

bool LedgerPartitionState::hasDueWork(Instant now) const
{
    return !this->waiting.empty() || !this->lookUps.empty()
        || std::ranges::any_of(this->pending, [now](const PendingOutcome &outcome) {
               return outcome.due <= now;
           });
}

void LedgerPartitionState::advance(Instant now, std::vector<LedgerAction> &actions)
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
        this->known = index == 0 ? LedgerRecord{} : parseLedgerRecord(content);
    } catch (const LedgerRecordError &) {
        // What cannot be read must not be overwritten: refuse until an operator or a newer version mends it.
        this->fail(now, actions);
        return;
    }
    this->failuresInRow = 0;
    this->resolveUnknown(index, actions);
    this->answerLookUps(actions);
    this->decideWaiting(now, wall, actions);
    this->refuseLateWrites(now, actions);
    this->writeGroup(now, wall, index, actions);
}

void LedgerPartitionState::refuseLateWrites(Instant now, std::vector<LedgerAction> &actions)
{
    // Refused before the write, it needs no second write that marks it as not run.
    std::erase_if(this->waiting, [&](const Waiting &intent) {
        const bool late = intent.giveUpAt < now + this->recentWrite;
        if (late) {
            this->refuse(now, intent, this->settings.firstRetryAfter, actions);
        }
        return late;
    });
    if (this->waiting.empty()) {
        this->recentWrite /= 2; // So that one slow write is forgotten even if nothing is written.
    }
}

void LedgerPartitionState::onReadFailed(Instant now, std::vector<LedgerAction> &actions)
{
    this->operation = Operation::None;
    this->fail(now, actions);
}

void LedgerPartitionState::resolveUnknown(std::uint64_t index, std::vector<LedgerAction> &actions)
{
    std::erase_if(this->waiting, [&](Waiting &intent) {
        if (this->known.findOwn(intent.request.id, intent.token) != nullptr) {
            this->accept(intent, actions);
            return true;
        }
        if (intent.unknownAt != index) {
            // The index moved on without the intent, so the write against the older one can never take effect.
            intent.unknownAt.reset();
        }
        return false;
    });
    std::erase_if(this->pending, [&](PendingOutcome &outcome) {
        if (this->known.findOwn(outcome.id, outcome.token) != nullptr) {
            outcome.unknownAt.reset();
            return false;
        }
        return outcome.unknownAt != index;
    });
}

std::optional<LedgerEntry> LedgerPartitionState::currentEntry(const RequestId &id) const
{
    const LedgerEntry *stored = this->known.find(id);
    if (stored == nullptr) {
        return std::nullopt;
    }
    LedgerEntry entry = *stored;
    const auto outcome = std::ranges::find_if(this->pending, [&entry](const PendingOutcome &candidate) {
        return candidate.token == entry.token && candidate.id == entry.id;
    });
    if (outcome != this->pending.end()) {
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
    if (request.issuedAt < this->known.prunedBefore || age > wholeMilliseconds(this->settings.retention)) {
        return LedgerDecision{.code = ResultCode::RequestExpired, .execution = executionWithoutRecord(request)};
    }
    return std::nullopt;
}

void LedgerPartitionState::decideWaiting(Instant now, WallTime wall, std::vector<LedgerAction> &actions)
{
    std::erase_if(this->waiting, [&](const Waiting &intent) {
        std::optional<LedgerDecision> decision = this->decideFromRecord(intent.request, wall);
        if (!decision.has_value()) {
            return false;
        }
        ++this->counted.repeats;
        this->disown(now, intent);
        actions.emplace_back(DecideSubmission{intent.request.submission, std::move(*decision)});
        return true;
    });
}

void LedgerPartitionState::answerLookUps(std::vector<LedgerAction> &actions)
{
    for (const WaitingLookUp &waitingLookUp : this->lookUps) {
        const LedgerLookUp &lookUp = waitingLookUp.lookUp;
        actions.emplace_back(DecideSubmission{
            lookUp.submission, decideLookUp(lookUp, this->currentEntry(lookUp.id), this->known.prunedBefore)});
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
    LedgerRecord next = this->known;
    WallTime newestToRecord;
    for (const Waiting &intent : this->waiting) {
        newestToRecord = std::max(newestToRecord, intent.request.issuedAt);
    }
    next.pruneBefore(pruningLimit(next, newestToRecord, wall, this->settings.retention));
    this->recordIntents(now, wall, next, actions);
    this->recordOutcomes(next);
    const bool fenced = std::ranges::any_of(this->pending, &PendingOutcome::inWrite);
    if (this->inWrite.empty() && !fenced) {
        return;
    }
    this->operation = Operation::Writing;
    this->writeIndex = index;
    this->writeStarted = now;
    ++this->counted.writes;
    actions.emplace_back(WritePartition{serializeLedgerRecord(next), index});
    this->writing = std::move(next);
}

void LedgerPartitionState::recordIntents(Instant now,
                                         WallTime wall,
                                         LedgerRecord &next,
                                         std::vector<LedgerAction> &actions)
{
    std::vector<Waiting> left;
    std::set<RequestId> ids;
    std::size_t size = storedSizeBound(next);
    for (Waiting &intent : this->waiting) {
        const RequestId &id = intent.request.id;
        if (ids.contains(id) || this->inWrite.size() >= this->settings.maximumGroup) {
            left.push_back(std::move(intent));
            continue;
        }
        LedgerEntry entry = makeIntent(intent.request, intent.token, this->settings.writer);
        const std::size_t entrySize = storedSizeBound(entry);
        if (size + entrySize > this->settings.maximumBytes) {
            ++this->counted.refusedFull;
            this->refuse(now, intent, untilOldestIsPruned(next, wall, this->settings.retention), actions);
            continue;
        }
        size += entrySize;
        ids.insert(id);
        next.entries.insert_or_assign(id, std::move(entry));
        this->inWrite.push_back(std::move(intent));
    }
    this->waiting = std::move(left);
}

void LedgerPartitionState::recordOutcomes(LedgerRecord &next)
{
    std::size_t size = storedSizeBound(next);
    std::size_t room = this->settings.maximumGroup - this->inWrite.size();
    for (PendingOutcome &outcome : this->pending) {
        if (room == 0) {
            return;
        }
        --room;
        // An intent that may still be recorded by a late write is fenced off by this write, whatever else it holds.
        outcome.inWrite = true;
        LedgerEntry *entry = next.findOwn(outcome.id, outcome.token);
        if (entry == nullptr) {
            continue;
        }
        entry->state = outcome.state;
        entry->resultCode = outcome.code;
        if (size + outcome.text.size() <= this->settings.maximumBytes) {
            size += outcome.text.size();
            entry->outcome = outcome.text;
        }
    }
}

void LedgerPartitionState::onWriteResult(Instant now, LedgerWriteResult result, std::vector<LedgerAction> &actions)
{
    this->operation = Operation::None;
    this->recentWrite += (now - this->writeStarted - this->recentWrite) / 4;
    if (result == LedgerWriteResult::Applied) {
        this->takeApplied(actions);
        this->advance(now, actions);
        return;
    }
    for (PendingOutcome &outcome : this->pending) {
        outcome.inWrite = false;
    }
    for (Waiting &intent : this->inWrite) {
        if (result == LedgerWriteResult::Unknown) {
            intent.unknownAt = this->writeIndex;
        }
    }
    this->inWrite.insert(this->inWrite.end(),
                         std::make_move_iterator(this->waiting.begin()),
                         std::make_move_iterator(this->waiting.end()));
    this->waiting = std::exchange(this->inWrite, {});
    if (result == LedgerWriteResult::Conflict) {
        this->pauseAfterConflict(now);
    }
    this->counted.unknownWrites += result == LedgerWriteResult::Unknown ? 1 : 0;
    if (result == LedgerWriteResult::NotSent) {
        this->fail(now, actions);
        return;
    }
    this->advance(now, actions);
}

void LedgerPartitionState::pauseAfterConflict(Instant now)
{
    ++this->counted.conflicts;
    // Random, so that the writers that met do not meet again; what arrives meanwhile joins the group.
    const Duration longest = this->settings.conflictPause * (1 << std::min(this->conflictsInRow, maximumDoublings));
    ++this->conflictsInRow;
    const auto range = static_cast<std::uint64_t>(longest.count()) + 1;
    this->backOffUntil = now + Duration(static_cast<Duration::rep>(this->settings.nextToken() % range));
}

void LedgerPartitionState::takeApplied(std::vector<LedgerAction> &actions)
{
    this->failuresInRow = 0;
    this->conflictsInRow = 0;
    this->known = std::move(this->writing);
    for (const Waiting &intent : std::exchange(this->inWrite, {})) {
        this->accept(intent, actions);
    }
    this->counted.outcomes += std::erase_if(this->pending, [](const PendingOutcome &outcome) {
        return outcome.inWrite;
    });
}

void LedgerPartitionState::accept(const Waiting &intent, std::vector<LedgerAction> &actions)
{
    ++this->counted.intents;
    this->accepted[intent.request.id] = intent.token;
    actions.emplace_back(
        DecideSubmission{intent.request.submission, {.accepted = true, .execution = Execution::MayHaveRun}});
}

void LedgerPartitionState::complete(
    Instant now, const RequestId &id, ResultCode code, std::string_view outcome, std::vector<LedgerAction> &actions)
{
    const auto token = this->accepted.find(id);
    if (token == this->accepted.end()) {
        return;
    }
    PendingOutcome recorded{.id = id, .token = token->second, .code = code, .due = now};
    this->accepted.erase(token);
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
    this->pending.push_back(std::move(recorded));
    this->advance(now, actions);
}

void LedgerPartitionState::disown(Instant now, const Waiting &intent)
{
    if (!intent.unknownAt.has_value()) {
        return;
    }
    this->pending.push_back({.id = intent.request.id,
                             .token = intent.token,
                             .state = LedgerState::NotRun,
                             .code = ResultCode::PlatformUnavailable,
                             .due = now + this->settings.outcomeDelay,
                             .unknownAt = intent.unknownAt});
}

void LedgerPartitionState::refuse(Instant now,
                                  const Waiting &intent,
                                  Duration retryAfter,
                                  std::vector<LedgerAction> &actions)
{
    ++this->counted.refusedUnrecorded;
    this->disown(now, intent);
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

void LedgerPartitionState::fail(Instant now, std::vector<LedgerAction> &actions)
{
    ++this->counted.failures;
    ++this->failuresInRow;
    const Duration pause = this->pauseAfterFailure();
    this->pausedUntil = now + pause;
    for (const Waiting &intent : std::exchange(this->waiting, {})) {
        this->refuse(now, intent, pause, actions);
    }
    for (const WaitingLookUp &lookUp : std::exchange(this->lookUps, {})) {
        actions.emplace_back(DecideSubmission{lookUp.lookUp.submission, failedLookUpDecision(pause)});
    }
}

void LedgerPartitionState::giveUp(Instant now, std::vector<LedgerAction> &actions)
{
    const auto late = [now](const auto &item) {
        return item.giveUpAt <= now;
    };
    const Duration pause = this->settings.firstRetryAfter;
    if (std::ranges::any_of(this->waiting, late) || std::ranges::any_of(this->inWrite, late)) {
        // The service is slower than a request may wait: more of them would only make it slower.
        this->congestedUntil = now + pause;
    }
    std::erase_if(this->waiting, [&](const Waiting &intent) {
        if (late(intent)) {
            this->refuse(now, intent, pause, actions);
        }
        return late(intent);
    });
    std::erase_if(this->inWrite, [&](Waiting &intent) {
        if (late(intent)) {
            intent.unknownAt = this->writeIndex;
            this->refuse(now, intent, pause, actions);
        }
        return late(intent);
    });
    std::erase_if(this->lookUps, [&](const WaitingLookUp &lookUp) {
        if (late(lookUp)) {
            actions.emplace_back(DecideSubmission{lookUp.lookUp.submission, failedLookUpDecision(pause)});
        }
        return late(lookUp);
    });
}

void LedgerPartitionState::onTimer(Instant now, std::vector<LedgerAction> &actions)
{
    this->giveUp(now, actions);
    this->advance(now, actions);
}

std::optional<Instant> LedgerPartitionState::nextTimer() const
{
    std::optional<Instant> next;
    const auto include = [&next](Instant time) {
        next = std::min(next.value_or(time), time);
    };
    for (const Waiting &intent : this->waiting) {
        include(intent.giveUpAt);
    }
    for (const Waiting &intent : this->inWrite) {
        include(intent.giveUpAt);
    }
    for (const WaitingLookUp &lookUp : this->lookUps) {
        include(lookUp.giveUpAt);
    }
    if (this->operation == Operation::None) {
        if (!this->waiting.empty() || !this->lookUps.empty()) {
            include(std::max(this->backOffUntil, this->pausedUntil));
        }
        for (const PendingOutcome &outcome : this->pending) {
            include(std::max({outcome.due, this->pausedUntil, this->backOffUntil}));
        }
    }
    return next;
}

bool LedgerPartitionState::idle() const
{
    return this->flushed() && this->accepted.empty();
}

bool LedgerPartitionState::flushed() const
{
    return this->operation == Operation::None && this->waiting.empty() && this->lookUps.empty()
        && this->pending.empty();
}

const LedgerCounters &LedgerPartitionState::counters() const
{
    return this->counted;
}

} // namespace hickoryshore
