#include "hickoryshore/api/caller_messages.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace hickoryshore;

namespace {

constexpr Duration longest = std::chrono::seconds(60);

std::optional<ResultCode> errorOf(std::string_view body)
{
    try {
        parseQueryBody(body, longest);
    } catch (const RequestError &error) {
        return error.code;
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_query_is_read)
{
    const QueryBody body = parseQueryBody(
        R"({"requestId":"r","caller":"boards","query":"stop 7","deadlineMs":120,"idempotent":false,"issuedAtMs":5})",
        longest);
    BOOST_TEST(body.requestId.value == "r");
    BOOST_TEST((body.deadline == std::chrono::milliseconds(120)));
    BOOST_TEST(!body.idempotent);
}

BOOST_AUTO_TEST_CASE(faulty_bodies_get_their_code)
{
    BOOST_TEST((errorOf("") == ResultCode::MalformedRequest));
    BOOST_TEST((errorOf("[]") == ResultCode::MalformedRequest));
    BOOST_TEST((errorOf(R"({"caller":7})") == ResultCode::MalformedRequest));
    BOOST_TEST((errorOf(R"({})") == ResultCode::MalformedRequest));
    BOOST_TEST((errorOf(R"({"caller":"a","idempotent":"no"})") == ResultCode::MalformedRequest));
    BOOST_TEST((errorOf(R"({"caller":"a","deadlineMs":1.5})") == ResultCode::MalformedRequest));
    for (const char *deadline : {"0", "-1", "60001", "18446744073709551615"}) {
        const std::string body = R"({"caller":"a","deadlineMs":)" + std::string(deadline) + "}";
        BOOST_TEST((errorOf(body) == ResultCode::InvalidDeadline), deadline);
    }
    BOOST_TEST((errorOf(R"({"caller":"a","idempotent":false,"requestId":"r"})") == ResultCode::MissingRequestId));
    BOOST_TEST((errorOf(R"({"caller":"a","requestId":""})") == ResultCode::MalformedRequest));
    BOOST_TEST((errorOf(R"({"caller":"a","requestId":"r\u0000"})") == ResultCode::MalformedRequest));
    BOOST_TEST((errorOf(R"({"caller":")" + std::string(200, 'x') + "\"}") == ResultCode::RequestTooLarge));
}

BOOST_AUTO_TEST_CASE(an_answer_names_what_it_covers_and_misses)
{
    QueryAnswer answer;
    answer.resultCode = ResultCode::PartialAnswer;
    answer.execution = Execution::Ran;
    answer.snapshot = {7};
    answer.covered = {{"a/1"}};
    answer.missed = {{{"a/2"}, ResultCode::DeadlineExceeded}};
    answer.results = {{{"a/1"}, R"({"bus":"C"})"}};
    const auto json = nlohmann::json::parse(formatAnswerBody({"r-1"}, answer));
    BOOST_TEST(json.at("requestId") == "r-1");
    BOOST_TEST(json.at("execution") == "ran");
    BOOST_TEST(json.at("covered").at(0) == "a/1");
    BOOST_TEST(json.at("missed").at(0).at("resultCode") == 300);
    BOOST_TEST(json.at("results").at(0).at("result").at("bus") == "C");
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_to_come_back)
{
    const HttpResponse response
        = refusalResponse({"r"}, makeRefusal(ResultCode::WouldMissDeadline, std::chrono::milliseconds(1200)));
    BOOST_TEST(response.status == 503);
    BOOST_TEST(findHeader(response.headers, "Retry-After").value() == "2");
    BOOST_TEST(nlohmann::json::parse(response.body).at("retryAfterMs") == 1200);
    BOOST_TEST(nlohmann::json::parse(response.body).at("execution") == "notRun");
}
