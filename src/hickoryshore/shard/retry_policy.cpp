#include "hickoryshore/shard/retry_policy.h"

namespace hickoryshore {

bool certainlyNotRun(ResultCode code)
{
    return resultCodeInfo(code).execution == Execution::NotRun;
}

bool mayRetry(ResultCode code, bool idempotent)
{
    const ResultCodeInfo &info = resultCodeInfo(code);
    if (info.execution == Execution::Ran || info.retry == RetryAdvice::Never) {
        return false;
    }
    return info.execution == Execution::NotRun || idempotent;
}

ResultCode finalCode(std::optional<ResultCode> earlierMayHaveRun, ResultCode last)
{
    if (earlierMayHaveRun && certainlyNotRun(last)) {
        return *earlierMayHaveRun;
    }
    return last;
}

} // namespace hickoryshore
