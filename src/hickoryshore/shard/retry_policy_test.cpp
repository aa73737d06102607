#include "hickoryshore/shard/retry_policy.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;

BOOST_AUTO_TEST_CASE(a_non_idempotent_sub_request_is_retried_only_if_it_certainly_did_not_run)
{
    for (const ResultCodeInfo &info : resultCodes()) {
        const bool expected = info.execution == Execution::NotRun && info.retry != RetryAdvice::Never;
        BOOST_TEST(mayRetry(info.code, false) == expected);
    }
    BOOST_TEST(mayRetry(ResultCode::UpstreamShed, false));
    BOOST_TEST(!mayRetry(ResultCode::ConnectionSilent, false));
}

BOOST_AUTO_TEST_CASE(an_idempotent_sub_request_is_retried_unless_it_would_fail_again)
{
    BOOST_TEST(mayRetry(ResultCode::ConnectionSilent, true));
    BOOST_TEST(mayRetry(ResultCode::UpstreamError, true));
    BOOST_TEST(!mayRetry(ResultCode::MalformedRequest, true));
    BOOST_TEST(!mayRetry(ResultCode::Ok, true));
}

BOOST_AUTO_TEST_CASE(the_final_code_is_not_run_only_if_no_attempt_may_have_run)
{
    BOOST_TEST((finalCode(std::nullopt, ResultCode::UpstreamShed) == ResultCode::UpstreamShed));
    BOOST_TEST((finalCode(ResultCode::ConnectionLost, ResultCode::UpstreamShed) == ResultCode::ConnectionLost));
    BOOST_TEST((finalCode(ResultCode::ConnectionLost, ResultCode::UpstreamError) == ResultCode::UpstreamError));
}
