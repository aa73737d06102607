// Waits until a revision is in force at every VM.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/ctl/command.h"

namespace hickoryshore {

/// Asks the VM of the options until every serving VM has the revision. Returns false where the time ran out, after
/// naming the VMs that lag behind.
bool waitInForce(Revision revision, const CommandCall &call);

} // namespace hickoryshore
