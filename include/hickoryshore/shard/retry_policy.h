// Which results may be retried, and which result is final when there is no further retry.
#pragma once

#include "hickoryshore/result/result_code.h"

#include <optional>

namespace hickoryshore {

/// Returns whether an attempt that ended with this code certainly did not run at the replica.
bool certainlyNotRun(ResultCode code);

/// Returns whether a sub-request may be sent again after an attempt that ended with this code. Unless the code rules
/// out retries, a sub-request that certainly did not run may be retried; one that may have run only if it is
/// idempotent.
bool mayRetry(ResultCode code, bool idempotent);

/// Returns the final code of a sub-request that will not be attempted again. A code that means "not run" is returned
/// only if no attempt may have run; otherwise the code of the earlier attempt that may have run takes precedence.
ResultCode finalCode(std::optional<ResultCode> earlierMayHaveRun, ResultCode last);

} // namespace hickoryshore
