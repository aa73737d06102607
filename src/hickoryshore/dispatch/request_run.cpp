#include "hickoryshore/dispatch/request_run.h"

#include "hickoryshore/shard/retry_policy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Delay before a part is sent again after all its replicas refused it; about one service time.
constexpr Duration allRefusedRetryDelay = 25ms;
/// When a caller should retry if its request could be sent to no replica.
constexpr Duration defaultRetryAfter = 200ms;
/// Tolerance for shares that are inexact in binary, so that 0.7 of 10 parts is 7.
constexpr double roundingTolerance = 1e-9;
/// Maximum number of hedges of one part.
constexpr std::size_t maxHedgesPerPart = 2;
/// Delay before a hedge is tried again after it found no budget or no replica.
constexpr Duration hedgeRetryDelay = 15ms;

} // namespace

RequestRun::RequestRun(RunSettings settings,
                       EndpointTable &table,
                       const RouteLatency &latency,
                       std::uint64_t &lastAttempt)
    : settings(std::move(settings)),
      table(&table),
      latency(&latency),
      lastAttempt(&lastAttempt),
      parts(this->settings.services.size())
{ }

std::size_t RequestRun::needed() const
{
    const double share = this->settings.merged ? this->settings.minimumCoverage : 1.0;
    const auto minParts
        = static_cast<std::size_t>(std::ceil(share * static_cast<double>(this->parts.size()) - roundingTolerance));
    return std::max<std::size_t>(1, minParts);
}

void RequestRun::start(Instant now, std::vector<RunAction> &actions)
{
    for (std::size_t group = 0; group < this->settings.groups.size(); ++group) {
        this->sendGroup(now, group, actions);
    }
    for (std::size_t partIndex = 0; partIndex < this->parts.size(); ++partIndex) {
        if (this->parts[partIndex].count > 0) {
            continue; // The aggregator counts it.
        }
        this->table->countRequest(now, this->settings.services[partIndex]);
        if (!this->send(now, partIndex, DirectAttempt::First, actions)) {
            const bool allRefuse = this->table->timeUntilAccepted(now, this->settings.services[partIndex]).has_value();
            this->parts[partIndex].lastCode = allRefuse ? ResultCode::UpstreamShed : ResultCode::NoReplica;
            this->markMissing(this->parts[partIndex]);
        }
    }
    this->finishIfDue(now, actions);
}

/// Sends the parts of a group to an aggregator. The aggregator hedges and retries them, so all replicas that may run a
/// part count as used.
void RequestRun::sendGroup(Instant now, std::size_t group, std::vector<RunAction> &actions)
{
    const std::vector<std::size_t> &partIndexes = this->settings.groups[group].parts;
    const std::size_t maxMissing = this->parts.size() - this->needed();
    const Duration left = this->settings.softDeadline - now - this->settings.groupRoundTripTimes[group] - groupMargin;
    SendGroup action{.group = group,
                     .attempts = {},
                     .answerWithin = std::max(left, Duration(1ms)),
                     .remaining = this->settings.deadline - now,
                     .needed = partIndexes.size() - std::min(partIndexes.size(), maxMissing)};
    for (const std::size_t partIndex : partIndexes) {
        Part &part = this->parts[partIndex];
        const AttemptId id{++*this->lastAttempt};
        part.attempts[part.count++]
            = {.id = id, .endpoint = {}, .sentAt = now, .live = true, .runs = this->settings.maximumAttempts};
        part.mayHaveArrived = true;
        action.attempts.push_back(id);
    }
    actions.emplace_back(std::move(action));
}

std::optional<EndpointId> RequestRun::chooseUntried(Instant now, std::size_t partIndex)
{
    const Part &part = this->parts[partIndex];
    std::array<EndpointId, maxSendsPerPart> tried;
    std::ranges::transform(part.sentAttempts(), tried.begin(), &Attempt::endpoint);
    const ServiceId &service = this->settings.services[partIndex];
    return this->table->choose(now, service, *this->latency, std::span(tried).first(part.count));
}

/// Returns the replica for the next attempt: an untried one if there is any, otherwise one without an attempt in
/// flight.
std::optional<EndpointId> RequestRun::chooseEndpoint(Instant now, std::size_t partIndex)
{
    const Part &part = this->parts[partIndex];
    const auto untried = this->chooseUntried(now, partIndex);
    if (untried.has_value() || part.count == 0) {
        return untried;
    }
    std::array<EndpointId, maxSendsPerPart> busy;
    std::size_t busyCount = 0;
    for (const Attempt &attempt : part.sentAttempts()) {
        if (attempt.live) {
            busy[busyCount++] = attempt.endpoint;
        }
    }
    const ServiceId &service = this->settings.services[partIndex];
    return this->table->choose(now, service, *this->latency, std::span(busy).first(busyCount));
}

std::span<RequestRun::Attempt> RequestRun::Part::sentAttempts()
{
    return std::span(this->attempts).first(this->count);
}

std::span<const RequestRun::Attempt> RequestRun::Part::sentAttempts() const
{
    return std::span(this->attempts).first(this->count);
}

int RequestRun::possibleRuns(const Part &part)
{
    int runs = 0;
    for (const Attempt &attempt : part.sentAttempts()) {
        runs += attempt.runs;
    }
    return runs;
}

bool RequestRun::mayRunAgain(const Part &part) const
{
    return part.count < maxSendsPerPart && possibleRuns(part) < this->settings.maximumAttempts;
}

bool RequestRun::send(Instant now, std::size_t partIndex, DirectAttempt reason, std::vector<RunAction> &actions)
{
    Part &part = this->parts[partIndex];
    const auto endpoint = this->chooseEndpoint(now, partIndex);
    if (!endpoint.has_value()) {
        return false;
    }
    const bool isHedge = reason == DirectAttempt::Hedge;
    if (part.mayHaveArrived && !this->table->takeExtraAttempt(now, this->settings.services[partIndex], isHedge)) {
        return false;
    }
    const AttemptId id{++*this->lastAttempt};
    const Duration age = part.count > 0 ? now - part.attempts[part.count - 1].sentAt : Duration(0);
    part.attempts[part.count++] = {.id = id, .endpoint = *endpoint, .sentAt = now, .live = true, .runs = 1};
    part.mayHaveArrived = true;
    this->table->countSent(now, *endpoint);
    this->scheduleHedge(part, now, *endpoint);
    const bool connectionSuspect
        = part.lastCode == ResultCode::ConnectionLost || part.lastCode == ResultCode::ConnectionSilent;
    actions.emplace_back(SendAttempt{.attempt = id,
                                     .endpoint = *endpoint,
                                     .reason = reason,
                                     .cause = part.lastCode,
                                     .age = age,
                                     .remaining = this->settings.deadline - now,
                                     .provenConnection = !this->settings.idempotent || connectionSuspect});
    return true;
}

void RequestRun::scheduleHedge(Part &part, Instant now, EndpointId endpoint)
{
    part.hedgeAt.reset();
    if (!this->settings.idempotent || !this->mayRunAgain(part) || part.count > maxHedgesPerPart) {
        return;
    }
    const Distance distance = this->table->distanceOf(endpoint);
    const Instant usual = now + this->latency->hedgeDelay(distance);
    const Instant lastUseful = this->settings.softDeadline - this->latency->likelyMaxLatency();
    part.hedgeAt = std::max(std::min(usual, lastUseful), std::min(usual, now + this->latency->earliestHedge(distance)));
}

void RequestRun::hedge(Instant now, std::size_t partIndex, std::vector<RunAction> &actions)
{
    Part &part = this->parts[partIndex];
    part.hedgeAt.reset();
    for (const Attempt &attempt : part.sentAttempts()) {
        if (attempt.live) {
            this->table->countOverdue(now, attempt.endpoint, *this->latency);
        }
    }
    if (this->mayRunAgain(part) && !this->send(now, partIndex, DirectAttempt::Hedge, actions)) {
        part.hedgeAt = now + hedgeRetryDelay;
    }
}

/// Sends a part again after all its attempts have ended, or marks it as missing.
void RequestRun::retry(Instant now, std::size_t partIndex, std::vector<RunAction> &actions)
{
    Part &part = this->parts[partIndex];
    part.hedgeAt.reset();
    const bool notRun = certainlyNotRun(part.lastCode);
    if (!mayRetry(part.lastCode, this->settings.idempotent) || !this->mayRunAgain(part)) {
        this->markMissing(part);
        return;
    }
    const bool refusedByAll = part.lastCode == ResultCode::UpstreamShed && !part.retryAt.has_value()
        && !this->chooseUntried(now, partIndex).has_value();
    // Replicas that asked for a pause would refuse the retry, so the part is marked as missing now.
    if (refusedByAll && now + allRefusedRetryDelay < this->settings.deadline
        && !this->table->timeUntilAccepted(now, this->settings.services[partIndex]).has_value()) {
        part.retryAt = now + allRefusedRetryDelay;
        return;
    }
    part.retryAt.reset();
    if (!this->send(now, partIndex, notRun ? DirectAttempt::RetryNotRun : DirectAttempt::RetryMayHaveRun, actions)) {
        this->markMissing(part);
    }
}

void RequestRun::markMissing(Part &part)
{
    part.state = PartState::Missing;
    part.hedgeAt.reset();
    part.retryAt.reset();
    ++this->missing;
}

std::optional<std::pair<std::size_t, RequestRun::Attempt *>> RequestRun::findAttempt(AttemptId attempt)
{
    for (std::size_t partIndex = 0; partIndex < this->parts.size(); ++partIndex) {
        for (Attempt &each : this->parts[partIndex].sentAttempts()) {
            if (each.id == attempt) {
                return std::pair(partIndex, &each);
            }
        }
    }
    return std::nullopt;
}

void RequestRun::onAttemptEnd(
    Instant now, AttemptId attempt, const AttemptEnd &end, bool isReply, std::vector<RunAction> &actions)
{
    const auto found = this->ended ? std::nullopt : this->findAttempt(attempt);
    if (!found.has_value() || this->parts[found->first].state != PartState::Waiting) {
        return;
    }
    const auto [partIndex, attemptState] = *found;
    Part &part = this->parts[partIndex];
    attemptState->live = false;
    attemptState->runs = certainlyNotRun(end.code) ? 0 : 1;
    part.lastCode = end.code;
    if (end.code == ResultCode::Ok) {
        this->acceptResult(part, attempt, actions);
    } else {
        // Other replies don't tell what became of the request: the replica did not run it, or the reply may belong to
        // another request.
        if (isReply && end.code == ResultCode::UpstreamError) {
            part.failureReply = attempt;
        }
        this->handleFailure(now, partIndex, end.sent, actions);
    }
    this->finishIfDue(now, actions);
}

void RequestRun::acceptResult(Part &part, AttemptId attempt, std::vector<RunAction> &actions)
{
    this->answered += part.state == PartState::Answered ? 0 : 1;
    this->missing -= part.state == PartState::Missing ? 1 : 0;
    part.state = PartState::Answered;
    part.answeredBy = attempt;
    part.hedgeAt.reset();
    part.retryAt.reset();
    this->dropLive(part, false, actions);
}

/// Retries the part unless another of its attempts is in flight.
void RequestRun::handleFailure(Instant now, std::size_t partIndex, bool sent, std::vector<RunAction> &actions)
{
    Part &part = this->parts[partIndex];
    if (!sent) {
        part.mayHaveArrived = std::ranges::any_of(part.sentAttempts(), [](const Attempt &each) {
            return each.live || each.runs > 0;
        });
    }
    if (std::ranges::none_of(part.sentAttempts(), &Attempt::live)) {
        this->retry(now, partIndex, actions);
    }
}

void RequestRun::onGroupEnd(Instant now, std::span<const GroupedEnd> ends, std::vector<RunAction> &actions)
{
    for (const GroupedEnd &each : ends) {
        if (!this->ended) {
            this->applyGroupedEnd(now, each, actions);
        }
    }
    this->finishIfDue(now, actions);
}

void RequestRun::applyGroupedEnd(Instant now, const GroupedEnd &end, std::vector<RunAction> &actions)
{
    const auto found = this->findAttempt(end.attempt);
    if (!found.has_value()) {
        return;
    }
    const auto [partIndex, attempt] = *found;
    Part &part = this->parts[partIndex];
    attempt->live = false;
    attempt->runs = end.runs;
    if (!end.taken) {
        this->table->countRequest(now, this->settings.services[partIndex]);
    }
    if (end.end.code == ResultCode::Ok && !end.stillRunning) {
        this->acceptResult(part, end.attempt, actions);
        return;
    }
    if (part.state != PartState::Waiting) {
        return;
    }
    if (!end.stillRunning) {
        part.lastCode = end.end.code;
        this->handleFailure(now, partIndex, end.end.sent, actions);
        return;
    }
    if (std::ranges::any_of(part.sentAttempts(), &Attempt::live)) {
        return;
    }
    if (this->mayRunAgain(part)) {
        this->hedge(now, partIndex, actions);
    } else {
        this->markMissing(part);
    }
}

void RequestRun::dropLive(Part &part, bool callerLeft, std::vector<RunAction> &actions)
{
    for (Attempt &attempt : part.sentAttempts()) {
        if (attempt.live) {
            attempt.live = false;
            actions.emplace_back(DropAttempt{.attempt = attempt.id, .callerLeft = callerLeft});
        }
    }
}

void RequestRun::onTimer(Instant now, std::vector<RunAction> &actions)
{
    // Checked first so that a VM resuming after a pause sends nothing for a request that has already ended.
    this->finishIfDue(now, actions);
    for (std::size_t partIndex = 0; partIndex < this->parts.size() && !this->ended; ++partIndex) {
        Part &part = this->parts[partIndex];
        if (part.state == PartState::Waiting && part.retryAt.has_value() && *part.retryAt <= now) {
            this->retry(now, partIndex, actions);
        } else if (part.state == PartState::Waiting && part.hedgeAt.has_value() && *part.hedgeAt <= now) {
            this->hedge(now, partIndex, actions);
        }
    }
    this->finishIfDue(now, actions);
}

std::optional<Instant> RequestRun::nextTimer() const
{
    if (this->ended) {
        return std::nullopt;
    }
    // Once the soft deadline has passed, only a reply or the deadline can end the wait.
    const bool enough = this->settings.merged && this->answered >= this->needed();
    Instant next = enough ? std::min(this->settings.softDeadline, this->settings.deadline) : this->settings.deadline;
    for (const Part &part : this->parts) {
        next = std::min({next, part.hedgeAt.value_or(next), part.retryAt.value_or(next)});
    }
    return next;
}

void RequestRun::limitDeadline(Instant latest)
{
    this->settings.deadline = std::min(this->settings.deadline, latest);
    this->settings.softDeadline = std::min(this->settings.softDeadline, latest);
}

void RequestRun::finishIfDue(Instant now, std::vector<RunAction> &actions)
{
    if (this->ended) {
        return;
    }
    const std::size_t all = this->parts.size();
    const bool enough = this->answered >= this->needed();
    if (this->answered == all) {
        this->finish(now, ResultCode::Ok, actions);
    } else if (enough && (this->answered + this->missing == all || now >= this->settings.softDeadline)) {
        this->finish(now, ResultCode::PartialAnswer, actions);
    } else if (all - this->missing < this->needed() || now >= this->settings.deadline) {
        this->finish(now, this->failureCode(), actions);
    }
}

/// Returns the code for a request without an answer. A code that means "not run" is returned only if nothing may have
/// run.
ResultCode RequestRun::failureCode() const
{
    ResultCode code = ResultCode::DeadlineBeforeDispatch;
    bool ran = false;
    for (const Part &part : this->parts) {
        const bool mayRun = possibleRuns(part) > 0;
        if (part.state == PartState::Missing && (!ran || mayRun)) {
            code = part.lastCode;
        }
        ran = ran || mayRun;
    }
    if (ran && certainlyNotRun(code)) {
        return this->missing > 0 && this->settings.merged ? ResultCode::CoverageTooLow : ResultCode::DeadlineExceeded;
    }
    return code;
}

/// Returns when to retry a request that no replica ran: when enough of its missing parts have a replica that accepts
/// requests again.
Duration RequestRun::computeRetryAfter(Instant now) const
{
    std::vector<Duration> waits;
    for (std::size_t partIndex = 0; partIndex < this->parts.size(); ++partIndex) {
        if (this->parts[partIndex].state == PartState::Missing) {
            const auto wait = this->table->timeUntilAccepted(now, this->settings.services[partIndex]);
            waits.push_back(wait.value_or(defaultRetryAfter));
        }
    }
    const std::size_t possible = this->parts.size() - this->missing;
    if (waits.empty() || possible >= this->needed()) {
        return defaultRetryAfter;
    }
    std::ranges::sort(waits);
    return waits[this->needed() - possible - 1];
}

void RequestRun::finish(Instant now, ResultCode code, std::vector<RunAction> &actions)
{
    this->ended = true;
    FinishRun answer{.code = code};
    for (std::size_t partIndex = 0; partIndex < this->parts.size(); ++partIndex) {
        Part &part = this->parts[partIndex];
        answer.sent = answer.sent || part.mayHaveArrived;
        if (part.answeredBy.has_value()) {
            answer.answered.push_back(*part.answeredBy);
        } else {
            const bool inFlight = part.state == PartState::Waiting && part.count > 0 && !part.retryAt.has_value();
            answer.missed.push_back({.service = this->settings.services[partIndex],
                                     .code = inFlight ? ResultCode::Ok : part.lastCode,
                                     .runs = possibleRuns(part)});
            answer.failureReply = part.failureReply.has_value() ? part.failureReply : answer.failureReply;
        }
        this->dropLive(part, false, actions);
    }
    answer.retryAfter = certainlyNotRun(code) ? this->computeRetryAfter(now) : Duration(0);
    actions.emplace_back(std::move(answer));
}

void RequestRun::abandon(std::vector<RunAction> &actions)
{
    this->ended = true;
    for (Part &part : this->parts) {
        this->dropLive(part, true, actions);
    }
}

} // namespace hickoryshore
