#include "scheduler_model.h"

#include "hickoryshore/shard/retry_policy.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

constexpr int replicaCount = 3;
constexpr int slots = 2;
constexpr Duration drainMark = 20s;
constexpr Duration maxBackoff = 70ms;

constexpr std::array replyCodes{ResultCode::Ok,
                                ResultCode::Ok,
                                ResultCode::Ok,
                                ResultCode::UpstreamShed,
                                ResultCode::UpstreamDraining,
                                ResultCode::ConnectFailed,
                                ResultCode::ConnectionLost,
                                ResultCode::ConnectionSilent,
                                ResultCode::UpstreamError,
                                ResultCode::SnapshotUnavailable,
                                ResultCode::MalformedRequest};

ShardSettings modelSettings()
{
    ShardSettings settings{.shard = ShardId{"index/1"}, .maximumQueue = 12};
    for (int number = 0; number < replicaCount; ++number) {
        settings.replicas.push_back({.id = ReplicaId{"replica-" + std::to_string(number)}, .slots = slots});
    }
    settings.callers = {{CallerId{"boards"}, 2.0}, {CallerId{"desk"}, 1.0}};
    settings.retryBudget = 0.5;
    settings.hedgeBudget = 0.5;
    return settings;
}

template<typename Map>
auto pick(Map &map, std::uint32_t choice)
{
    return std::next(map.begin(), static_cast<std::ptrdiff_t>(choice % map.size()));
}

} // namespace

SchedulerModel::SchedulerModel(std::uint64_t seed) : settings(modelSettings()), scheduler(settings, seed)
{ }

std::ostream &operator<<(std::ostream &stream, const ModelEvent &event)
{
    return stream << "{" << static_cast<int>(event.kind) << ", " << event.first << ", " << event.second << "}";
}

void SchedulerModel::require(bool holds, const std::string &what)
{
    if (!holds) {
        this->violated.push_back(what);
    }
}

void SchedulerModel::run(const ModelEvent &event)
{
    switch (event.kind) {
    case ModelEvent::Kind::Submit:
        this->submit(event);
        break;
    case ModelEvent::Kind::Reply:
        this->reply(event);
        break;
    case ModelEvent::Kind::Cancel:
        this->cancel(event);
        break;
    case ModelEvent::Kind::Advance:
        this->advance(Duration(event.first % 20'000));
        break;
    case ModelEvent::Kind::MarkDraining: {
        const ReplicaId replica = this->settings.replicas[event.first % replicaCount].id;
        const bool draining = event.second % 3 == 0;
        if (draining) {
            this->signalled.insert(replica);
        } else {
            this->signalled.erase(replica);
        }
        this->scheduler.markDraining(replica, draining);
        break;
    }
    case ModelEvent::Kind::Update:
        this->update(event);
        break;
    }
    this->checkActions();
}

void SchedulerModel::submit(const ModelEvent &event)
{
    const SubRequest subRequest{.id = SubRequestId{++this->lastSubRequest},
                                .caller = CallerId{event.first % 3 == 0 ? "desk" : "boards"},
                                .arrival = this->now,
                                .deadline = this->now + 5ms + Duration(event.second % 100'000),
                                .idempotent = event.first % 4 != 0,
                                .snapshot = SnapshotId{event.second % 5 == 0 ? 7U + event.second % 2 : 0U}};
    this->subRequests[subRequest.id].subRequest = subRequest;
    this->scheduler.submit(this->now, subRequest, this->actions);
}

void SchedulerModel::reply(const ModelEvent &event)
{
    if (this->attempts.empty()) {
        return;
    }
    const auto found = pick(this->attempts, event.first);
    const AttemptId id = found->first;
    const KnownAttempt attempt = found->second;
    this->attempts.erase(found);
    AttemptReply reply{.code = replyCodes[event.second % replyCodes.size()],
                       .inFlight = static_cast<int>(event.second % 7),
                       .draining = event.second % 41 == 0,
                       .coldStart = event.second % 13 == 0};
    if (event.second % 6 == 0) {
        reply.snapshotsHeld = {SnapshotId{7}};
    }
    KnownSubRequest &known = this->subRequests.at(attempt.subRequest);
    if (!attempt.cancelled) {
        --this->live[attempt.replica];
        known.open.erase(id);
    }
    known.mayHaveRun = known.mayHaveRun || !certainlyNotRun(reply.code);
    // The scheduler may already have dropped a cancelled attempt, and then ignores its reply.
    if (!attempt.cancelled && (reply.draining || reply.code == ResultCode::UpstreamDraining)) {
        this->markedUntil[attempt.replica] = this->now + drainMark;
    } else if (reply.coldStart) {
        this->markedUntil.erase(attempt.replica);
    }
    this->scheduler.onReply(this->now, id, reply, this->actions);
}

void SchedulerModel::cancel(const ModelEvent &event)
{
    if (this->subRequests.empty()) {
        return;
    }
    KnownSubRequest &known = pick(this->subRequests, event.first)->second;
    if (known.answers == 0) {
        known.cancelled = true;
    }
    this->scheduler.cancel(this->now, known.subRequest.id, this->actions);
}

void SchedulerModel::advance(Duration step)
{
    const Instant target = this->now + step;
    for (auto due = this->scheduler.nextTimer(); due && *due <= target; due = this->scheduler.nextTimer()) {
        this->now = std::max(this->now, *due);
        this->scheduler.onTimer(this->now, this->actions);
        this->checkActions();
    }
    this->now = target;
    for (const auto &[id, known] : this->subRequests) {
        const bool open = known.answers == 0 && !known.cancelled;
        this->require(!open || known.subRequest.deadline > this->now, "a sub-request has no answer at its deadline");
    }
}

void SchedulerModel::update(const ModelEvent &event)
{
    for (int number = 0; number < replicaCount; ++number) {
        this->settings.replicas[static_cast<std::size_t>(number)].draining = (event.first >> number) % 4 == 0;
    }
    this->scheduler.update(this->now, this->settings, this->actions);
}

void SchedulerModel::finish()
{
    this->advance(10min);
    for (const auto &[id, known] : this->subRequests) {
        this->require(known.answers == (known.cancelled ? 0 : 1),
                      "a sub-request got no answer or several, or one after it was cancelled");
    }
    this->require(this->scheduler.inFlight() == 0, "an attempt still holds its slot after all deadlines");
    this->require(this->scheduler.queued() == 0, "a sub-request is still queued after all deadlines");
}

bool SchedulerModel::isDraining(const ReplicaId &replica) const
{
    const auto configured = std::ranges::find(this->settings.replicas, replica, &ReplicaSettings::id);
    const auto marked = this->markedUntil.find(replica);
    return configured->draining || this->signalled.contains(replica)
        || (marked != this->markedUntil.end() && marked->second > this->now);
}

void SchedulerModel::checkActions()
{
    for (const ShardAction &action : this->actions) {
        std::visit(
            [this](const auto &what) {
                this->checkActions(what);
            },
            action);
    }
    this->actions.clear();
    for (const ReplicaView &view : this->scheduler.replicas()) {
        this->require(view.inFlight <= slots, "a replica has more attempts than slots");
    }
    if (this->scheduler.inFlight() > 0 || this->scheduler.queued() == 0) {
        this->lastBusy = this->now;
    }
    this->require(this->now - this->lastBusy <= maxBackoff, "work waits while every replica is idle");
}

void SchedulerModel::checkActions(const DispatchAction &action)
{
    this->log += "dispatch " + std::to_string(action.attempt.value) + " to " + action.replica.value + "\n";
    KnownSubRequest &known = this->subRequests.at(action.subRequest);
    this->require(known.answers == 0 && !known.cancelled, "a dispatch after the answer or the cancellation");
    this->require(!this->isDraining(action.replica), "a dispatch to a draining replica");
    this->require(action.remaining > Duration(0), "a dispatch past the deadline");
    if (!known.subRequest.idempotent) {
        this->require(known.open.empty() && !known.mayHaveRun, "a non-idempotent sub-request was sent twice");
        this->require(action.provenConnection && action.reason != AttemptReason::Hedge,
                      "a non-idempotent sub-request was hedged or sent over an unproven connection");
    }
    this->require(++this->live[action.replica] <= slots, "more live attempts than slots");
    ++known.dispatches;
    known.open.insert(action.attempt);
    this->attempts[action.attempt] = {action.subRequest, action.replica};
}

void SchedulerModel::checkActions(const CancelAction &action)
{
    this->log += "cancel " + std::to_string(action.attempt.value) + "\n";
    KnownAttempt &attempt = this->attempts.at(action.attempt);
    this->require(!attempt.cancelled, "an attempt was cancelled twice");
    attempt.cancelled = true;
    --this->live[action.replica];
}

void SchedulerModel::checkActions(const AnswerAction &action)
{
    this->log += "answer " + std::to_string(action.subRequest.value) + " "
        + std::string(resultCodeInfo(action.code).name) + "\n";
    KnownSubRequest &known = this->subRequests.at(action.subRequest);
    ++known.answers;
    this->require(!known.cancelled, "an answer after the caller left");
    this->require(action.attempts == known.dispatches, "the answer counts a wrong number of attempts");
    if (certainlyNotRun(action.code)) {
        const bool open = known.dispatches > 0 && !known.open.empty();
        this->require(!open && !known.mayHaveRun, "the answer's code means 'not run', but an attempt may have run");
    }
}

const std::vector<std::string> &SchedulerModel::violations() const
{
    return this->violated;
}

const std::string &SchedulerModel::transcript() const
{
    return this->log;
}

} // namespace hickoryshore
