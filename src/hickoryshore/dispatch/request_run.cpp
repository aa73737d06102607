#include "hickoryshore/dispatch/request_run.h"

#include "hickoryshore/shard/retry_policy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// A part whose replicas all refused work is sent again after this time: about one service time.
constexpr Duration refusalPause = 25ms;
/// When a caller may come back whose request no replica could take.
constexpr Duration usualComeBack = 200ms;
/// A share such as 0.7 of 10 parts is 7, also where it is not exact in binary.
constexpr double roundingSlack = 1e-9;
/// Hedges of one part.
constexpr std::size_t mostHedges = 2;
/// A hedge that found no budget or no replica is tried again after this time.
constexpr Duration hedgePause = 15ms;

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
    const auto least
        = static_cast<std::size_t>(std::ceil(share * static_cast<double>(this->parts.size()) - roundingSlack));
    return std::max<std::size_t>(1, least);
}

void RequestRun::start(Instant now, std::vector<RunAction> &actions)
{
    for (std::size_t group = 0; group < this->settings.groups.size(); ++group) {
        this->sendGroup(now, group, actions);
    }
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        if (this->parts[number].count > 0) {
            continue; // The VM that is asked for it counts it.
        }
        this->table->countRequest(now, this->settings.services[number]);
        if (!this->send(now, number, DirectAttempt::First, actions)) {
            const bool allRefuse = this->table->untilAccepted(now, this->settings.services[number]).has_value();
            this->parts[number].last = allRefuse ? ResultCode::UpstreamShed : ResultCode::NoReplica;
            this->give(this->parts[number]);
        }
    }
    this->finishIfDue(now, actions);
}

/// Asks for the parts of a group. The VM that is asked hedges and retries them: all replicas that a part may run on are
/// its to choose.
void RequestRun::sendGroup(Instant now, std::size_t group, std::vector<RunAction> &actions)
{
    const std::vector<std::size_t> &numbers = this->settings.groups[group].parts;
    const std::size_t mayMiss = this->parts.size() - this->needed();
    const Duration left = this->settings.answerBy - now - this->settings.groupTravel[group] - groupMargin;
    SendGroup action{.group = group,
                     .attempts = {},
                     .answerWithin = std::max(left, Duration(1ms)),
                     .remaining = this->settings.deadline - now,
                     .needed = numbers.size() - std::min(numbers.size(), mayMiss)};
    for (const std::size_t number : numbers) {
        Part &part = this->parts[number];
        const AttemptId id{++*this->lastAttempt};
        part.attempts[part.count++]
            = {.id = id, .endpoint = {}, .sentAt = now, .live = true, .runs = this->settings.maximumAttempts};
        part.arrived = true;
        action.attempts.push_back(id);
    }
    actions.emplace_back(std::move(action));
}

std::optional<EndpointId> RequestRun::untried(Instant now, std::size_t number)
{
    const Part &part = this->parts[number];
    std::array<EndpointId, mostAttempts> tried;
    std::ranges::transform(part.made(), tried.begin(), &Attempt::endpoint);
    const ServiceId &service = this->settings.services[number];
    return this->table->choose(now, service, *this->latency, std::span(tried).first(part.count));
}

/// The replica for the next attempt: one that was not tried, otherwise one whose attempts have ended.
std::optional<EndpointId> RequestRun::endpointFor(Instant now, std::size_t number)
{
    const Part &part = this->parts[number];
    const auto fresh = this->untried(now, number);
    if (fresh.has_value() || part.count == 0) {
        return fresh;
    }
    std::array<EndpointId, mostAttempts> busy;
    std::size_t busyCount = 0;
    for (const Attempt &attempt : part.made()) {
        if (attempt.live) {
            busy[busyCount++] = attempt.endpoint;
        }
    }
    const ServiceId &service = this->settings.services[number];
    return this->table->choose(now, service, *this->latency, std::span(busy).first(busyCount));
}

std::span<RequestRun::Attempt> RequestRun::Part::made()
{
    return std::span(this->attempts).first(this->count);
}

std::span<const RequestRun::Attempt> RequestRun::Part::made() const
{
    return std::span(this->attempts).first(this->count);
}

int RequestRun::runsOf(const Part &part)
{
    int runs = 0;
    for (const Attempt &attempt : part.made()) {
        runs += attempt.runs;
    }
    return runs;
}

bool RequestRun::mayRunAgain(const Part &part) const
{
    return part.count < mostAttempts && runsOf(part) < this->settings.maximumAttempts;
}

bool RequestRun::send(Instant now, std::size_t number, DirectAttempt reason, std::vector<RunAction> &actions)
{
    Part &part = this->parts[number];
    const auto endpoint = this->endpointFor(now, number);
    if (!endpoint.has_value()) {
        return false;
    }
    const bool isHedge = reason == DirectAttempt::Hedge;
    if (part.arrived && !this->table->takeRepeat(now, this->settings.services[number], isHedge)) {
        return false;
    }
    const AttemptId id{++*this->lastAttempt};
    const Duration age = part.count > 0 ? now - part.attempts[part.count - 1].sentAt : Duration(0);
    part.attempts[part.count++] = {.id = id, .endpoint = *endpoint, .sentAt = now, .live = true, .runs = 1};
    part.arrived = true;
    this->table->countSent(now, *endpoint);
    this->scheduleHedge(part, now, *endpoint);
    const bool suspect = part.last == ResultCode::ConnectionLost || part.last == ResultCode::ConnectionSilent;
    actions.emplace_back(SendAttempt{.attempt = id,
                                     .endpoint = *endpoint,
                                     .reason = reason,
                                     .cause = part.last,
                                     .age = age,
                                     .remaining = this->settings.deadline - now,
                                     .provenConnection = !this->settings.idempotent || suspect});
    return true;
}

void RequestRun::scheduleHedge(Part &part, Instant now, EndpointId endpoint)
{
    part.hedgeAt.reset();
    if (!this->settings.idempotent || !this->mayRunAgain(part) || part.count > mostHedges) {
        return;
    }
    const Distance distance = this->table->distanceOf(endpoint);
    const Instant usual = now + this->latency->hedgeDelay(distance);
    const Instant lastUseful = this->settings.answerBy - this->latency->likelyLongest();
    part.hedgeAt = std::max(std::min(usual, lastUseful), std::min(usual, now + this->latency->earliestHedge(distance)));
}

void RequestRun::hedge(Instant now, std::size_t number, std::vector<RunAction> &actions)
{
    Part &part = this->parts[number];
    part.hedgeAt.reset();
    for (const Attempt &attempt : part.made()) {
        if (attempt.live) {
            this->table->countOverdue(now, attempt.endpoint, *this->latency);
        }
    }
    if (this->mayRunAgain(part) && !this->send(now, number, DirectAttempt::Hedge, actions)) {
        part.hedgeAt = now + hedgePause;
    }
}

/// Sends a part again whose attempts have all ended, or gives it up.
void RequestRun::retry(Instant now, std::size_t number, std::vector<RunAction> &actions)
{
    Part &part = this->parts[number];
    part.hedgeAt.reset();
    const bool notRun = certainlyNotRun(part.last);
    if (!mayRetry(part.last, this->settings.idempotent) || !this->mayRunAgain(part)) {
        this->give(part);
        return;
    }
    const bool refusedByAll
        = part.last == ResultCode::UpstreamShed && !part.retryAt.has_value() && !this->untried(now, number).has_value();
    // Where the replicas have told their pauses, the part is given up now.
    if (refusedByAll && now + refusalPause < this->settings.deadline
        && !this->table->untilAccepted(now, this->settings.services[number]).has_value()) {
        part.retryAt = now + refusalPause;
        return;
    }
    part.retryAt.reset();
    if (!this->send(now, number, notRun ? DirectAttempt::RetryNotRun : DirectAttempt::RetryMayHaveRun, actions)) {
        this->give(part);
    }
}

void RequestRun::give(Part &part)
{
    part.state = PartState::Missing;
    part.hedgeAt.reset();
    part.retryAt.reset();
    ++this->missing;
}

std::optional<std::pair<std::size_t, RequestRun::Attempt *>> RequestRun::findAttempt(AttemptId attempt)
{
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        for (Attempt &each : this->parts[number].made()) {
            if (each.id == attempt) {
                return std::pair(number, &each);
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
    const auto [number, known] = *found;
    Part &part = this->parts[number];
    known->live = false;
    known->runs = certainlyNotRun(end.code) ? 0 : 1;
    part.last = end.code;
    if (end.code == ResultCode::Ok) {
        this->takeResult(part, attempt, actions);
    } else {
        part.failureReply = isReply ? attempt : part.failureReply;
        this->afterFailure(now, number, end.sent, actions);
    }
    this->finishIfDue(now, actions);
}

void RequestRun::takeResult(Part &part, AttemptId attempt, std::vector<RunAction> &actions)
{
    this->answered += part.state == PartState::Answered ? 0 : 1;
    this->missing -= part.state == PartState::Missing ? 1 : 0;
    part.state = PartState::Answered;
    part.answeredBy = attempt;
    part.hedgeAt.reset();
    part.retryAt.reset();
    this->dropLive(part, false, actions);
}

/// Tries a part again whose attempt has failed, unless another one is under way.
void RequestRun::afterFailure(Instant now, std::size_t number, bool sent, std::vector<RunAction> &actions)
{
    Part &part = this->parts[number];
    if (!sent) {
        part.arrived = std::ranges::any_of(part.made(), [](const Attempt &each) {
            return each.live || each.runs > 0;
        });
    }
    if (std::ranges::none_of(part.made(), &Attempt::live)) {
        this->retry(now, number, actions);
    }
}

void RequestRun::onGroupEnd(Instant now, std::span<const GroupedEnd> ends, std::vector<RunAction> &actions)
{
    for (const GroupedEnd &each : ends) {
        if (!this->ended) {
            this->takeGrouped(now, each, actions);
        }
    }
    this->finishIfDue(now, actions);
}

void RequestRun::takeGrouped(Instant now, const GroupedEnd &end, std::vector<RunAction> &actions)
{
    const auto found = this->findAttempt(end.attempt);
    if (!found.has_value()) {
        return;
    }
    const auto [number, attempt] = *found;
    Part &part = this->parts[number];
    attempt->live = false;
    attempt->runs = end.runs;
    if (end.end.code == ResultCode::Ok && !end.stillAtWork) {
        this->takeResult(part, end.attempt, actions);
        return;
    }
    if (part.state != PartState::Waiting) {
        return;
    }
    if (!end.stillAtWork) {
        part.last = end.end.code;
        this->afterFailure(now, number, end.end.sent, actions);
        return;
    }
    if (std::ranges::any_of(part.made(), &Attempt::live)) {
        return;
    }
    if (this->mayRunAgain(part)) {
        this->hedge(now, number, actions);
    } else {
        this->give(part);
    }
}

void RequestRun::dropLive(Part &part, bool callerLeft, std::vector<RunAction> &actions)
{
    for (Attempt &attempt : part.made()) {
        if (attempt.live) {
            attempt.live = false;
            actions.emplace_back(DropAttempt{.attempt = attempt.id, .callerLeft = callerLeft});
        }
    }
}

void RequestRun::onTimer(Instant now, std::vector<RunAction> &actions)
{
    // First, since a VM that stood still must not send what is no longer waited for.
    this->finishIfDue(now, actions);
    for (std::size_t number = 0; number < this->parts.size() && !this->ended; ++number) {
        Part &part = this->parts[number];
        if (part.state == PartState::Waiting && part.retryAt.has_value() && *part.retryAt <= now) {
            this->retry(now, number, actions);
        } else if (part.state == PartState::Waiting && part.hedgeAt.has_value() && *part.hedgeAt <= now) {
            this->hedge(now, number, actions);
        }
    }
    this->finishIfDue(now, actions);
}

std::optional<Instant> RequestRun::nextTimer() const
{
    if (this->ended) {
        return std::nullopt;
    }
    // Once the soft answer time is past, only the deadline can end the wait without a reply.
    const bool enough = this->settings.merged && this->answered >= this->needed();
    Instant next = enough ? std::min(this->settings.answerBy, this->settings.deadline) : this->settings.deadline;
    for (const Part &part : this->parts) {
        next = std::min({next, part.hedgeAt.value_or(next), part.retryAt.value_or(next)});
    }
    return next;
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
    } else if (enough && (this->answered + this->missing == all || now >= this->settings.answerBy)) {
        this->finish(now, ResultCode::PartialAnswer, actions);
    } else if (all - this->missing < this->needed() || now >= this->settings.deadline) {
        this->finish(now, this->failureCode(), actions);
    }
}

/// What to tell a caller whose request has no answer: the certain "not run" only where nothing ran.
ResultCode RequestRun::failureCode() const
{
    ResultCode code = ResultCode::DeadlineBeforeDispatch;
    bool ran = false;
    for (const Part &part : this->parts) {
        const bool mayRun = runsOf(part) > 0;
        if (part.state == PartState::Missing && (!ran || mayRun)) {
            code = part.last;
        }
        ran = ran || mayRun;
    }
    if (ran && certainlyNotRun(code)) {
        return this->missing > 0 && this->settings.merged ? ResultCode::CoverageTooLow : ResultCode::DeadlineExceeded;
    }
    return code;
}

/// When a request that nothing has run may come back: once enough of the parts that it misses have a replica that takes
/// requests again.
Duration RequestRun::comeBackAfter(Instant now) const
{
    std::vector<Duration> waits;
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        if (this->parts[number].state == PartState::Missing) {
            const auto wait = this->table->untilAccepted(now, this->settings.services[number]);
            waits.push_back(wait.value_or(usualComeBack));
        }
    }
    const std::size_t possible = this->parts.size() - this->missing;
    if (waits.empty() || possible >= this->needed()) {
        return usualComeBack;
    }
    std::ranges::sort(waits);
    return waits[this->needed() - possible - 1];
}

void RequestRun::finish(Instant now, ResultCode code, std::vector<RunAction> &actions)
{
    this->ended = true;
    FinishRun answer{.code = code};
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        Part &part = this->parts[number];
        answer.sent = answer.sent || part.arrived;
        if (part.answeredBy.has_value()) {
            answer.answered.push_back(*part.answeredBy);
        } else {
            const bool inFlight = part.state == PartState::Waiting && part.count > 0 && !part.retryAt.has_value();
            answer.missed.push_back({.service = this->settings.services[number],
                                     .code = inFlight ? ResultCode::Ok : part.last,
                                     .runs = runsOf(part)});
            answer.failureReply = part.failureReply.has_value() ? part.failureReply : answer.failureReply;
        }
        this->dropLive(part, false, actions);
    }
    answer.retryAfter = certainlyNotRun(code) ? this->comeBackAfter(now) : Duration(0);
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
