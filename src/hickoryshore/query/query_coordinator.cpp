#include "hickoryshore/query/query_coordinator.h"

#include <algorithm>

namespace hickoryshore {

namespace {

bool certainlyNotRun(ResultCode code)
{
    return resultCodeInfo(code).execution == Execution::NotRun;
}

/// Returns the code of the refusal with the longest retryAfter, because the query cannot succeed before then.
ResultCode longestRefusal(std::span<const MissedShard> missed, std::span<const Duration> retryAfter)
{
    ResultCode code = ResultCode::NoReplica;
    Duration longest{-1};
    for (std::size_t number = 0; number < missed.size(); ++number) {
        if (retryAfter[number] > longest) {
            longest = retryAfter[number];
            code = missed[number].code;
        }
    }
    return code;
}

/// Returns the code of the missed shards if they agree on one that does not exclude a run, or else CoverageTooLow.
ResultCode commonFailure(std::span<const MissedShard> missed)
{
    const ResultCode first = missed.front().code;
    const bool allSame = std::ranges::all_of(missed, [first](const MissedShard &shard) {
        return shard.code == first;
    });
    return allSame && !certainlyNotRun(first) ? first : ResultCode::CoverageTooLow;
}

} // namespace

double QueryCoordinator::QueryAttempt::coverage() const
{
    if (this->parts.empty()) {
        return 0.0;
    }
    return static_cast<double>(this->covered) / static_cast<double>(this->parts.size());
}

bool QueryCoordinator::QueryAttempt::noShardRan() const
{
    return std::ranges::all_of(this->parts, [](const Part &part) {
        return part.state == PartState::Missed && certainlyNotRun(part.code);
    });
}

QueryCoordinator::QueryCoordinator(QuerySettings settings, SnapshotTracker &tracker)
    : settings(std::move(settings)), tracker(&tracker)
{ }

QueryCoordinator::QueryAttempt QueryCoordinator::makeAttempt(PinnedSnapshot pin) const
{
    QueryAttempt attempt;
    attempt.requestedSnapshot = pin.snapshot;
    attempt.merge = SnapshotMerge(pin);
    for (ShardId &shard : this->settings.shardsOfLayout(pin.layout)) {
        attempt.parts.push_back({std::move(shard)});
    }
    attempt.pending = attempt.parts.size();
    return attempt;
}

void QueryCoordinator::start(Instant now, std::vector<QueryAction> &actions)
{
    this->currentAttempt = this->makeAttempt(this->tracker->pin(this->settings.shardsOfLayout));
    if (now >= this->settings.deadline) {
        for (Part &part : this->currentAttempt.parts) {
            this->markMissed(part, ResultCode::DeadlineBeforeDispatch, Duration(0));
        }
    }
    if (this->currentAttempt.pending == 0) {
        this->finish(ResultCode::DeadlineBeforeDispatch, actions);
        return;
    }
    this->sendSubRequests(actions);
}

void QueryCoordinator::sendSubRequests(std::vector<QueryAction> &actions)
{
    QueryAttempt &attempt = this->currentAttempt;
    this->triedSnapshots.push_back({attempt.requestedSnapshot, LayoutId{attempt.parts.size()}});
    attempt.firstId = this->settings.reserveIds(attempt.parts.size());
    std::uint64_t next = attempt.firstId.value;
    for (Part &part : attempt.parts) {
        part.id = SubRequestId{next++};
        actions.emplace_back(SendSubRequest{part.id, part.shard, attempt.requestedSnapshot});
    }
}

QueryCoordinator::Part *QueryCoordinator::findPending(SubRequestId id)
{
    std::vector<Part> &parts = this->currentAttempt.parts;
    const std::uint64_t position = id.value - this->currentAttempt.firstId.value;
    auto part = parts.end();
    if (position < parts.size()) {
        part = parts.begin() + static_cast<std::ptrdiff_t>(position);
    } else if (this->resends > 0) {
        part = std::ranges::find(parts, id, &Part::id);
    }
    if (part == parts.end() || part->id != id || part->state != PartState::Pending) {
        return nullptr;
    }
    return &*part;
}

void QueryCoordinator::updateTracker(const SubReply &reply)
{
    this->tracker->report(reply.shard, reply.snapshotsHeld);
    if (reply.code == ResultCode::Ok) {
        this->tracker->reportHeld(reply.shard, reply.snapshot);
        this->tracker->reportLayout(reply.snapshot, reply.layout);
    }
}

void QueryCoordinator::onSubReply(Instant now, SubReply reply, std::vector<QueryAction> &actions)
{
    this->updateTracker(reply);
    Part *part = this->done ? nullptr : this->findPending(reply.id);
    if (part == nullptr || part->shard != reply.shard) {
        return;
    }
    if (reply.code == ResultCode::Ok) {
        this->handleResult(now, *part, std::move(reply), actions);
    } else {
        this->handleFailure(now, *part, reply, actions);
    }
    this->restartOrFinish(now, actions);
}

bool QueryCoordinator::belongsToMerge(const SubReply &reply) const
{
    const QueryAttempt &attempt = this->currentAttempt;
    if (!attempt.merge.accepts({reply.snapshot, reply.layout})) {
        return false;
    }
    if (reply.layout.value == 0 || attempt.merge.pin().layout.value != 0) {
        return true;
    }
    const std::vector<ShardId> shards = this->settings.shardsOfLayout(reply.layout);
    return std::ranges::equal(shards, attempt.parts, {}, {}, &Part::shard);
}

void QueryCoordinator::handleResult(Instant now, Part &part, SubReply reply, std::vector<QueryAction> &actions)
{
    if (!this->belongsToMerge(reply)) {
        const bool restarted = this->settings.idempotent && this->restart(now, actions);
        if (!restarted) {
            this->markMissed(part, ResultCode::EchoMismatch, Duration(0));
        }
        return;
    }
    this->currentAttempt.merge.add({std::move(reply.shard), reply.snapshot, reply.layout, std::move(reply.payload)});
    part.state = PartState::Covered;
    --this->currentAttempt.pending;
    ++this->currentAttempt.covered;
}

void QueryCoordinator::handleFailure(Instant now, Part &part, const SubReply &reply, std::vector<QueryAction> &actions)
{
    if (reply.code == ResultCode::SnapshotUnavailable) {
        this->tracker->reportMissing(part.shard, this->currentAttempt.requestedSnapshot);
        if (this->settings.idempotent && this->restart(now, actions)) {
            return;
        }
    }
    const bool wrongOwner = reply.code == ResultCode::NotOwner || reply.code == ResultCode::NoOwner;
    if (wrongOwner && this->resend(now, part, actions)) {
        return;
    }
    this->markMissed(part, reply.code, reply.retryAfter);
}

void QueryCoordinator::onOwnerLost(Instant now, SubRequestId id, std::vector<QueryAction> &actions)
{
    Part *part = this->done ? nullptr : this->findPending(id);
    if (part == nullptr) {
        return;
    }
    part->ownerLost = true;
    if (!this->resend(now, *part, actions)) {
        this->markMissed(*part, ResultCode::OwnerLost, Duration(0));
    }
    this->restartOrFinish(now, actions);
}

void QueryCoordinator::markMissed(Part &part, ResultCode code, Duration retryAfter)
{
    part.state = PartState::Missed;
    part.code = part.ownerLost && certainlyNotRun(code) ? ResultCode::OwnerLost : code;
    part.retryAfter = retryAfter;
    --this->currentAttempt.pending;
}

bool QueryCoordinator::resend(Instant now, Part &part, std::vector<QueryAction> &actions)
{
    if (!this->settings.idempotent || part.resent || now >= this->settings.deadline) {
        return false;
    }
    part.resent = true;
    part.id = this->settings.reserveIds(1);
    ++this->resends;
    actions.emplace_back(SendSubRequest{part.id, part.shard, this->currentAttempt.requestedSnapshot, true});
    return true;
}

bool QueryCoordinator::restart(Instant now, std::vector<QueryAction> &actions)
{
    const PinnedSnapshot pin = this->tracker->pin(this->settings.shardsOfLayout);
    const bool allowed = this->restarts < this->settings.maximumRestarts && now < this->settings.deadline;
    if (!allowed || pin.snapshot.value == 0) {
        return false;
    }
    QueryAttempt next = this->makeAttempt(pin);
    const PinnedSnapshot nextKey{next.requestedSnapshot, LayoutId{next.parts.size()}};
    const PinnedSnapshot currentKey{this->currentAttempt.merge.pin().snapshot,
                                    LayoutId{this->currentAttempt.parts.size()}};
    if (nextKey == currentKey || std::ranges::find(this->triedSnapshots, nextKey) != this->triedSnapshots.end()) {
        return false;
    }
    this->earlierAttemptMayHaveRun = this->earlierAttemptMayHaveRun || !this->currentAttempt.noShardRan();
    this->cancelPending(ResultCode::Cancelled, actions);
    if (!this->bestEarlierAttempt.has_value()
        || this->bestEarlierAttempt->coverage() < this->currentAttempt.coverage()) {
        this->bestEarlierAttempt = std::move(this->currentAttempt);
    }
    this->currentAttempt = std::move(next);
    ++this->restarts;
    this->sendSubRequests(actions);
    return true;
}

bool QueryCoordinator::canRestartNonIdempotent() const
{
    const bool unavailable = std::ranges::any_of(this->currentAttempt.parts, [](const Part &part) {
        return part.code == ResultCode::SnapshotUnavailable;
    });
    return !this->settings.idempotent && unavailable && this->currentAttempt.noShardRan();
}

bool QueryCoordinator::coverageUnreachable() const
{
    const QueryAttempt &attempt = this->currentAttempt;
    const double reachable
        = static_cast<double>(attempt.covered + attempt.pending) / static_cast<double>(attempt.parts.size());
    const bool earlierSuffices = this->bestEarlierAttempt.has_value()
        && this->bestEarlierAttempt->coverage() >= this->settings.minimumCoverage;
    return reachable < this->settings.minimumCoverage && !earlierSuffices;
}

void QueryCoordinator::restartOrFinish(Instant now, std::vector<QueryAction> &actions)
{
    if (this->currentAttempt.pending == 0) {
        if (!this->canRestartNonIdempotent() || !this->restart(now, actions)) {
            this->finish(ResultCode::DeadlineExceeded, actions);
        }
        return;
    }
    if (now >= this->settings.deadline) {
        this->finish(ResultCode::DeadlineExceeded, actions);
        return;
    }
    if (!this->settings.idempotent) {
        return;
    }
    const QueryAttempt &best = this->bestAttempt();
    const bool suffices = best.covered > 0 && best.coverage() >= this->settings.minimumCoverage;
    if (now >= this->settings.softDeadline && suffices) {
        this->finish(ResultCode::DeadlineExceeded, actions);
    } else if (this->coverageUnreachable()) {
        this->finish(ResultCode::Cancelled, actions);
    }
}

void QueryCoordinator::onTimer(Instant now, std::vector<QueryAction> &actions)
{
    if (!this->done) {
        this->restartOrFinish(now, actions);
    }
}

void QueryCoordinator::abandon(Instant, std::vector<QueryAction> &actions)
{
    if (!this->done) {
        this->cancelPending(ResultCode::Cancelled, actions);
        this->done = true;
    }
}

std::optional<Instant> QueryCoordinator::nextTimer() const
{
    if (this->done) {
        return std::nullopt;
    }
    const QueryAttempt &best = this->bestAttempt();
    const bool suffices = best.covered > 0 && best.coverage() >= this->settings.minimumCoverage;
    // With too little coverage no timer is needed at softDeadline: the reply that completes the coverage ends the
    // query.
    const bool softDeadlineApplies = this->settings.idempotent && suffices;
    return softDeadlineApplies ? std::min(this->settings.softDeadline, this->settings.deadline)
                               : this->settings.deadline;
}

bool QueryCoordinator::finished() const
{
    return this->done;
}

void QueryCoordinator::cancelPending(ResultCode code, std::vector<QueryAction> &actions)
{
    CancelSubRequests cancel;
    for (Part &part : this->currentAttempt.parts) {
        if (part.state == PartState::Pending) {
            cancel.ids.push_back(part.id);
            this->markMissed(part, code, Duration(0));
        }
    }
    if (!cancel.ids.empty()) {
        actions.emplace_back(std::move(cancel));
    }
}

const QueryCoordinator::QueryAttempt &QueryCoordinator::bestAttempt() const
{
    const bool earlierCoversMore = this->bestEarlierAttempt.has_value()
        && this->bestEarlierAttempt->coverage() > this->currentAttempt.coverage();
    return earlierCoversMore ? *this->bestEarlierAttempt : this->currentAttempt;
}

void QueryCoordinator::finish(ResultCode pendingCode, std::vector<QueryAction> &actions)
{
    this->cancelPending(pendingCode, actions);
    const QueryAttempt &source = this->bestAttempt();
    QueryAnswer answer;
    answer.snapshot = source.merge.pin().snapshot;
    answer.layout = source.merge.pin().layout;
    if (answer.layout.value == 0) {
        answer.layout = LayoutId{source.parts.size()};
    }
    for (const Part &part : source.parts) {
        if (part.state == PartState::Covered) {
            answer.covered.push_back(part.shard);
        } else {
            answer.missed.push_back({part.shard, part.code});
        }
    }
    answer.results = source.merge.results(answer.covered);
    answer.restarts = this->restarts;
    answer.resends = this->resends;
    this->setOutcome(source, answer);
    actions.emplace_back(FinishQuery{std::move(answer)});
    this->done = true;
}

void QueryCoordinator::setOutcome(const QueryAttempt &source, QueryAnswer &answer) const
{
    std::vector<Duration> retryAfter;
    for (const Part &part : source.parts) {
        if (part.state == PartState::Missed) {
            retryAfter.push_back(part.retryAfter);
        }
    }
    const bool notRun = source.noShardRan() && !this->earlierAttemptMayHaveRun;
    if (source.covered > 0 && answer.missed.empty()) {
        answer.resultCode = ResultCode::Ok;
    } else if (source.covered > 0 && source.coverage() >= this->settings.minimumCoverage) {
        answer.resultCode = ResultCode::PartialAnswer;
    } else if (notRun) {
        answer.resultCode = longestRefusal(answer.missed, retryAfter);
    } else {
        answer.resultCode = source.covered > 0 ? ResultCode::CoverageTooLow : commonFailure(answer.missed);
    }
    answer.execution = resultCodeInfo(answer.resultCode).execution;
    if (!retryAfter.empty()) {
        answer.retryAfter = *std::ranges::max_element(retryAfter);
    }
}

} // namespace hickoryshore
