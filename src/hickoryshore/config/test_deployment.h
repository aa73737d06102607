// A one-shard deployment for tests.
#pragma once

#include "hickoryshore/config/deployment.h"

namespace hickoryshore {

/// Returns a valid deployment with one shard. Deployments with different values of maximumQueue differ in one chunk.
Deployment deploymentWithQueue(int maximumQueue);

} // namespace hickoryshore
