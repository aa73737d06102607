#include "hickoryshore/traffic/entry_side.h"

#include <algorithm>
#include <map>
#include <utility>

namespace hickoryshore {

namespace {

std::vector<ShardId> shardNames(const Index &index)
{
    std::vector<ShardId> names;
    names.reserve(index.shards.size());
    for (const Shard &shard : index.shards) {
        names.push_back(shard.name);
    }
    return names;
}

SubReply subReplyOf(const wire::SubReplyMessage &message)
{
    SubReply reply;
    reply.id = {message.id()};
    reply.shard = {message.shard()};
    reply.code = resultCodeFromNumber(message.result_code()).value_or(ResultCode::InternalError);
    reply.payload = message.payload();
    reply.snapshot = {message.snapshot()};
    for (const std::uint64_t snapshot : message.snapshots_held()) {
        reply.snapshotsHeld.push_back({snapshot});
    }
    reply.retryAfter = std::chrono::milliseconds(message.retry_after_ms());
    reply.layout = {message.layout()};
    return reply;
}

wire::SubRequestMessage messageOf(const QueryRequest &request, const SendSubRequest &action, Duration remaining)
{
    wire::SubRequestMessage message;
    message.set_id(action.id.value);
    message.set_index(request.index.value);
    message.set_shard(action.shard.value);
    message.set_caller(request.caller.value);
    message.set_request_id(request.requestId.value);
    message.set_query(request.query);
    message.set_snapshot(action.snapshot.value);
    message.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, ceilMilliseconds(remaining))));
    message.set_idempotent(request.idempotent);
    return message;
}

QueryAnswer refusal(ResultCode code)
{
    QueryAnswer answer;
    answer.resultCode = code;
    answer.execution = resultCodeInfo(code).execution;
    return answer;
}

} // namespace

EntrySide::EntrySide(EntryHooks hooks, Metrics &metrics) : hooks(std::move(hooks)), metrics(metrics)
{ }

void EntrySide::setDirectory(ShardDirectory &newDirectory)
{
    this->directory = &newDirectory;
}

QuerySettings EntrySide::settingsOf(const QueryRequest &request, const Index &index)
{
    QuerySettings settings;
    settings.deadline = request.deadline;
    settings.softDeadline = request.deadline;
    settings.idempotent = request.idempotent;
    settings.shardsOfLayout = prefixLayouts(shardNames(index));
    settings.reserveIds = [this](std::size_t count) {
        const SubRequestId first{this->lastSubRequest + 1};
        this->lastSubRequest += count;
        return first;
    };
    const Policy *policy = findPolicy(*this->directory->view().deployment, index.policy.value);
    if (policy != nullptr) {
        settings.minimumCoverage = policy->minimumCoverage;
        if (policy->softDeadline > Duration(0)) {
            settings.softDeadline = std::min(request.deadline, request.arrival + policy->softDeadline);
        }
    }
    return settings;
}

void EntrySide::submit(Instant now, QueryNumber number, const QueryRequest &request, QueryCompletion completion)
{
    this->metrics.count(Count::Queries);
    if (this->directory == nullptr || this->directory->view().deployment == nullptr) {
        completion(refusal(ResultCode::NoConfiguration));
        return;
    }
    const Index *index = findIndex(*this->directory->view().deployment, request.index.value);
    if (index == nullptr) {
        completion(refusal(ResultCode::UnknownIndex));
        return;
    }
    RunningQuery query{request,
                       QueryCoordinator(this->settingsOf(request, *index), this->trackers[request.index]),
                       std::move(completion)};
    RunningQuery &running = this->queries.emplace(number, std::move(query)).first->second;
    running.coordinator.start(now, this->actions);
    this->perform(now, number);
}

void EntrySide::abandon(Instant now, QueryNumber number)
{
    const auto found = this->queries.find(number);
    if (found == this->queries.end() || !found->second.request.idempotent) {
        return;
    }
    const QueryCompletion completion = std::move(found->second.completion);
    found->second.coordinator.abandon(now, this->actions);
    this->perform(now, number);
    completion(refusal(ResultCode::Cancelled));
}

void EntrySide::onSubReply(Instant now, const wire::SubReplyMessage &message)
{
    const auto found = this->sent.find({message.id()});
    if (found == this->sent.end()) {
        this->metrics.count(Count::LateReplies);
        return;
    }
    const SentSubRequest subRequest = found->second;
    this->forget({message.id()});
    const auto query = this->queries.find(subRequest.query);
    if (query == this->queries.end()) {
        return;
    }
    this->metrics.observe(Latency::SubRequest, now - subRequest.sentAt);
    query->second.slowestPart = std::max(query->second.slowestPart, now - subRequest.sentAt);
    query->second.coordinator.onSubReply(now, subReplyOf(message), this->actions);
    this->perform(now, subRequest.query);
}

void EntrySide::onHeard(Instant now, const VmId &vm)
{
    this->peers.onHeard(now, vm);
}

void EntrySide::onPeerLost(Instant now, const VmId &vm)
{
    this->peers.onLost(now, vm);
    std::vector<std::pair<SubRequestId, QueryNumber>> lost;
    for (const auto &[id, subRequest] : this->sent) {
        if (subRequest.vm == vm) {
            lost.emplace_back(id, subRequest.query);
        }
    }
    for (const auto &[id, number] : lost) {
        this->forget(id);
        const auto query = this->queries.find(number);
        if (query != this->queries.end()) {
            query->second.coordinator.onOwnerLost(now, id, this->actions);
            this->perform(now, number);
        }
    }
}

void EntrySide::onTimer(Instant now)
{
    for (const PeerDue &due : this->peers.takeDue(now)) {
        if (due.reconnect) {
            this->hooks.reconnect(due.vm);
        }
        if (due.silent) {
            this->onPeerLost(now, due.vm);
        } else {
            this->hooks.probe(due.vm);
        }
    }
    while (!this->timers.empty() && this->timers.begin()->due <= now) {
        const QueryNumber number = this->timers.begin()->query;
        this->timers.erase(this->timers.begin());
        RunningQuery &query = this->queries.at(number);
        query.timer.reset();
        query.coordinator.onTimer(now, this->actions);
        this->perform(now, number);
    }
}

std::optional<Instant> EntrySide::nextTimer() const
{
    std::optional<Instant> next = this->peers.nextTimer();
    if (!this->timers.empty() && (!next.has_value() || this->timers.begin()->due < *next)) {
        next = this->timers.begin()->due;
    }
    return next;
}

std::size_t EntrySide::inFlight() const
{
    return this->queries.size();
}

void EntrySide::perform(Instant now, QueryNumber number)
{
    // Taken out first: a hook may lead back here, and a failed send gives further actions.
    std::vector<QueryAction> taken;
    taken.swap(this->actions);
    RunningQuery &query = this->queries.at(number);
    for (const QueryAction &action : taken) {
        if (const auto *sending = std::get_if<SendSubRequest>(&action)) {
            this->send(now, number, query, *sending);
        } else if (const auto *cancelled = std::get_if<CancelSubRequests>(&action)) {
            this->cancel(cancelled->ids);
        } else {
            this->finish(now, query, std::get<FinishQuery>(action).answer);
        }
    }
    if (!this->actions.empty()) {
        this->perform(now, number);
        return;
    }
    if (query.coordinator.finished()) {
        this->timers.erase({query.timer.value_or(Instant{}), number});
        this->queries.erase(number);
        return;
    }
    this->schedule(number, query);
}

std::optional<VmId> EntrySide::chooseOwner(const ShardId &shard, bool resend) const
{
    const std::vector<VmId> &owners = this->directory->owners(shard);
    if (owners.empty()) {
        return std::nullopt;
    }
    if (owners.size() == 1) {
        return owners[0];
    }
    const bool toSecond = this->peers.isSilent(owners[0]) || (resend && !this->peers.isSilent(owners[1]));
    return toSecond ? owners[1] : owners[0];
}

void EntrySide::send(Instant now, QueryNumber number, RunningQuery &query, const SendSubRequest &action)
{
    const std::optional<VmId> owner = this->chooseOwner(action.shard, action.resend);
    if (!owner.has_value()) {
        SubReply reply;
        reply.id = action.id;
        reply.shard = action.shard;
        reply.code = ResultCode::NoOwner;
        query.coordinator.onSubReply(now, reply, this->actions);
        return;
    }
    this->metrics.count(Count::SubRequests);
    ++query.sent;
    this->sent.emplace(action.id, SentSubRequest{number, *owner, now});
    if (*owner != this->directory->view().self) {
        this->peers.onSent(now, *owner);
    }
    this->hooks.send(*owner, messageOf(query.request, action, query.request.deadline - now));
}

void EntrySide::cancel(std::span<const SubRequestId> ids)
{
    std::map<VmId, std::vector<std::uint64_t>> idsByVm;
    for (const SubRequestId id : ids) {
        const auto found = this->sent.find(id);
        if (found != this->sent.end()) {
            idsByVm[found->second.vm].push_back(id.value);
            this->forget(id);
        }
    }
    for (const auto &[vm, vmIds] : idsByVm) {
        this->hooks.cancel(vm, vmIds);
    }
}

void EntrySide::finish(Instant now, RunningQuery &query, const QueryAnswer &answer)
{
    const Duration whole = now - query.request.arrival;
    this->metrics.observe(Latency::Query, whole);
    if (answer.resultCode == ResultCode::Ok) {
        this->metrics.observe(Latency::EntryOverhead, whole - query.slowestPart);
    }
    this->metrics.count(Count::QueryRestarts, static_cast<std::uint64_t>(answer.restarts));
    query.completion(answer);
}

void EntrySide::forget(SubRequestId id)
{
    const auto found = this->sent.find(id);
    if (found == this->sent.end()) {
        return;
    }
    if (found->second.vm != this->directory->view().self) {
        this->peers.onSettled(found->second.vm);
    }
    this->sent.erase(found);
}

void EntrySide::schedule(QueryNumber number, RunningQuery &query)
{
    const std::optional<Instant> next = query.coordinator.nextTimer();
    if (next == query.timer) {
        return;
    }
    if (query.timer.has_value()) {
        this->timers.erase({*query.timer, number});
    }
    query.timer = next;
    if (next.has_value()) {
        this->timers.insert({*next, number});
    }
}

} // namespace hickoryshore
