// Which results may be retried, and what the final answer is when none helps.
#pragma once

#include "hickoryshore/result/result_code.h"

#include <optional>

namespace hickoryshore {

/// Whether the attempt that ended with this code surely did not run at the replica.
bool certainlyNotRun(ResultCode code);

/// Whether a sub-request may be sent again after an attempt that ended with this code. What surely did not run may
/// always be sent again, what may have run only where it is idempotent.
bool mayRetry(ResultCode code, bool idempotent);

/// The final code of a sub-request that will not be attempted again. It claims "not run" only where every attempt
/// surely did not run: an earlier attempt that may have run goes before the last code.
ResultCode finalCode(std::optional<ResultCode> earlierMayHaveRun, ResultCode last);

} // namespace hickoryshore
