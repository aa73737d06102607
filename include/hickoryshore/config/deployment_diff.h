// Computes the differences between two deployments, by object and field.
#pragma once

#include "hickoryshore/config/deployment.h"

namespace hickoryshore {

enum class ChangeKind { Added, Removed, Changed };

/// Returns "added", "removed" or "changed".
std::string_view changeKindName(ChangeKind kind);

/// One difference. An object or shard that is added or removed as a whole is one difference without values.
struct DeploymentChange
{
    ChangeKind kind = ChangeKind::Changed;
    std::string object; ///< Kind and name, for instance "Policy boards".
    std::string path; ///< Path within the object, for instance "shards/03/replicas/127.0.0.1:19104/draining".
    std::string before; ///< As JSON; empty if something was added.
    std::string after; ///< As JSON; empty if something was removed.
};

/// Returns the changes from `before` to `after`, ordered by object. Shards are matched by name and replicas by address,
/// so a different order is not a change.
std::vector<DeploymentChange> diffDeployments(const Deployment &before, const Deployment &after);

} // namespace hickoryshore
