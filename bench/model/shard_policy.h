// The policies that the bench compares, behind one interface: ShardScheduler and two simple baselines.
#pragma once

#include "hickoryshore/shard/shard_scheduler.h"

#include <functional>
#include <span>
#include <string_view>

namespace hickoryshore::bench {

/// The policies. "Direct" runs one scheduler for each shard on every entry VM, "owner" a single one for each shard.
/// "Owner per region" runs one for each shard in each region that has a replica of it, and equals "owner" if there is
/// only one region.
enum class PolicyKind {
    DirectRoundRobin,
    DirectLeastInFlight,
    DirectScheduler,
    OwnerWithoutHedging,
    Owner,
    OwnerPerRegion,
};

/// A policy with the name that the report prints.
struct PolicyName
{
    PolicyKind kind = PolicyKind::Owner;
    std::string_view name;
};

std::span<const PolicyName> policyNames();

/// Returns whether entry VMs send sub-requests to the owner of the shard under this policy.
bool routesThroughOwner(PolicyKind kind);

using Actions = std::vector<ShardAction>;

/// The interface of a policy for one shard. The members match those of ShardScheduler.
struct ShardPolicy
{
    std::function<void(Instant, const SubRequest &, Actions &)> submit;
    std::function<void(Instant, AttemptId, const AttemptReply &, Actions &)> onReply;
    std::function<void(Instant, SubRequestId, Actions &)> cancel;
    std::function<void(Instant, Actions &)> onTimer;
    std::function<std::optional<Instant>()> nextTimer;
    std::function<void(const ReplicaId &, bool)> markDraining;
    std::function<void(Instant, const ShardSettings &, Actions &)> update;
};

/// Creates the policy for one shard.
ShardPolicy makeShardPolicy(PolicyKind kind, ShardSettings settings, std::uint64_t seed);

} // namespace hickoryshore::bench
