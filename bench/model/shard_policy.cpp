#include "model/shard_policy.h"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace hickoryshore::bench {

namespace {

struct BaselineAttempt
{
    SubRequest subRequest;
    std::size_t replica = 0;
    int attemptNumber = 1;
};

/// Dispatches every sub-request at once, without a queue or hedges. Retries an attempt once if it certainly did not
/// run.
class BaselinePolicy
{
public:
    BaselinePolicy(ShardSettings settings, std::uint64_t seed, bool leastInFlight)
        : settings(std::move(settings)),
          inFlight(this->settings.replicas.size()),
          leastInFlight(leastInFlight),
          nextReplica(seed % this->inFlight.size())
    { }

    void submit(Instant now, const SubRequest &subRequest, Actions &actions)
    {
        this->dispatch(now, {subRequest, this->chooseReplica(), 1}, ResultCode::Ok, actions);
    }

    void onReply(Instant now, AttemptId id, const AttemptReply &reply, Actions &actions)
    {
        const auto found = this->attempts.find(id);
        if (found == this->attempts.end()) {
            return;
        }
        BaselineAttempt attempt = found->second;
        this->attempts.erase(found);
        --this->inFlight[attempt.replica];
        if (reply.draining) {
            this->settings.replicas[attempt.replica].draining = true;
        }
        const bool notRun = resultCodeInfo(reply.code).execution == Execution::NotRun;
        if (notRun && attempt.attemptNumber == 1 && now < attempt.subRequest.deadline) {
            attempt.replica = (attempt.replica + 1) % this->inFlight.size();
            ++attempt.attemptNumber;
            this->dispatch(now, attempt, reply.code, actions);
            return;
        }
        actions.push_back(AnswerAction{attempt.subRequest.id, reply.code, id, Duration(0), attempt.attemptNumber});
    }

    void cancel(SubRequestId subRequest, Actions &actions)
    {
        const auto found = std::ranges::find_if(this->attempts, [subRequest](const auto &entry) {
            return entry.second.subRequest.id == subRequest;
        });
        if (found != this->attempts.end()) {
            --this->inFlight[found->second.replica];
            actions.push_back(CancelAction{found->first, this->settings.replicas[found->second.replica].id});
            this->attempts.erase(found);
        }
    }

    void markDraining(const ReplicaId &replica, bool draining)
    {
        for (ReplicaSettings &candidate : this->settings.replicas) {
            if (candidate.id == replica) {
                candidate.draining = draining;
            }
        }
    }

private:
    std::size_t chooseReplica()
    {
        const std::size_t count = this->inFlight.size();
        std::size_t best = this->nextReplica;
        bool found = false;
        for (std::size_t step = 0; step < count; ++step) {
            const std::size_t candidate = (this->nextReplica + step) % count;
            if (this->settings.replicas[candidate].draining) {
                continue;
            }
            if (!found || (this->leastInFlight && this->inFlight[candidate] < this->inFlight[best])) {
                best = candidate;
                found = true;
            }
        }
        this->nextReplica = (best + 1) % count;
        return best;
    }

    void dispatch(Instant now, const BaselineAttempt &attempt, ResultCode cause, Actions &actions)
    {
        const AttemptId id{++this->lastAttempt};
        this->attempts.emplace(id, attempt);
        ++this->inFlight[attempt.replica];
        actions.push_back(
            DispatchAction{.attempt = id,
                           .subRequest = attempt.subRequest.id,
                           .replica = this->settings.replicas[attempt.replica].id,
                           .reason = attempt.attemptNumber == 1 ? AttemptReason::First : AttemptReason::RetryNotRun,
                           .retryCause = cause,
                           .remaining = attempt.subRequest.deadline - now,
                           .provenConnection = !attempt.subRequest.idempotent});
    }

    ShardSettings settings;
    std::vector<int> inFlight;
    std::unordered_map<AttemptId, BaselineAttempt> attempts;
    bool leastInFlight = false;
    std::size_t nextReplica = 0;
    std::uint64_t lastAttempt = 0;
};

ShardPolicy baselinePolicy(ShardSettings settings, std::uint64_t seed, bool leastInFlight)
{
    const auto baseline = std::make_shared<BaselinePolicy>(std::move(settings), seed, leastInFlight);
    return {[baseline](Instant now, const SubRequest &subRequest, Actions &actions) {
                baseline->submit(now, subRequest, actions);
            },
            [baseline](Instant now, AttemptId attempt, const AttemptReply &reply, Actions &actions) {
                baseline->onReply(now, attempt, reply, actions);
            },
            [baseline](Instant, SubRequestId subRequest, Actions &actions) {
                baseline->cancel(subRequest, actions);
            },
            [](Instant, Actions &) {},
            []() -> std::optional<Instant> {
                return std::nullopt;
            },
            [baseline](const ReplicaId &replica, bool draining) {
                baseline->markDraining(replica, draining);
            },
            [](Instant, const ShardSettings &, Actions &) {}};
}

ShardPolicy schedulerPolicy(ShardSettings settings, std::uint64_t seed)
{
    const auto scheduler = std::make_shared<ShardScheduler>(std::move(settings), seed);
    return {[scheduler](Instant now, const SubRequest &subRequest, Actions &actions) {
                scheduler->submit(now, subRequest, actions);
            },
            [scheduler](Instant now, AttemptId attempt, const AttemptReply &reply, Actions &actions) {
                scheduler->onReply(now, attempt, reply, actions);
            },
            [scheduler](Instant now, SubRequestId subRequest, Actions &actions) {
                scheduler->cancel(now, subRequest, actions);
            },
            [scheduler](Instant now, Actions &actions) {
                scheduler->onTimer(now, actions);
            },
            [scheduler] {
                return scheduler->nextTimer();
            },
            [scheduler](const ReplicaId &replica, bool draining) {
                scheduler->markDraining(replica, draining);
            },
            [scheduler](Instant now, const ShardSettings &changed, Actions &actions) {
                scheduler->update(now, changed, actions);
            }};
}

} // namespace

std::span<const PolicyName> policyNames()
{
    static constexpr std::array names{PolicyName{PolicyKind::DirectRoundRobin, "direct-round-robin"},
                                      PolicyName{PolicyKind::DirectLeastInFlight, "direct-least-in-flight"},
                                      PolicyName{PolicyKind::DirectScheduler, "direct-scheduler"},
                                      PolicyName{PolicyKind::OwnerWithoutHedging, "owner-without-hedging"},
                                      PolicyName{PolicyKind::Owner, "owner"},
                                      PolicyName{PolicyKind::OwnerPerRegion, "owner-per-region"}};
    return names;
}

bool routesThroughOwner(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::DirectRoundRobin:
    case PolicyKind::DirectLeastInFlight:
    case PolicyKind::DirectScheduler:
        return false;
    case PolicyKind::OwnerWithoutHedging:
    case PolicyKind::Owner:
    case PolicyKind::OwnerPerRegion:
        return true;
    }
    return false;
}

ShardPolicy makeShardPolicy(PolicyKind kind, ShardSettings settings, std::uint64_t seed)
{
    switch (kind) {
    case PolicyKind::DirectRoundRobin:
        return baselinePolicy(std::move(settings), seed, false);
    case PolicyKind::DirectLeastInFlight:
        return baselinePolicy(std::move(settings), seed, true);
    case PolicyKind::OwnerWithoutHedging:
        settings.hedgeBudget = 0;
        break;
    case PolicyKind::DirectScheduler:
    case PolicyKind::Owner:
    case PolicyKind::OwnerPerRegion:
        break;
    }
    return schedulerPolicy(std::move(settings), seed);
}

} // namespace hickoryshore::bench
