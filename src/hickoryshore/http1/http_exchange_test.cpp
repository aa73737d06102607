#include "hickoryshore/http1/http_exchange.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>
#include <vector>

using namespace hickoryshore;
using Progress = HttpResponseReader::Progress;

namespace {

constexpr std::size_t longHeader = 1'000'000;

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\nhello";

Progress progressOf(std::string_view bytes)
{
    HttpResponseReader reader;
    return reader.take(bytes);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_has_its_parts)
{
    BOOST_TEST(formatHttpRequest("POST", "/v1/sub-requests", "10.0.0.1:80", "{}")
               == "POST /v1/sub-requests HTTP/1.1\r\nHost: 10.0.0.1:80\r\nContent-Length: 2\r\n\r\n{}");
    BOOST_TEST(
        formatHttpRequest("DELETE", "/v1/sub-requests/a", "10.0.0.1:80", "").starts_with("DELETE /v1/sub-requests/a "));
}

BOOST_AUTO_TEST_CASE(a_response_is_read_wherever_it_is_cut)
{
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        HttpResponseReader reader;
        BOOST_TEST((reader.take(std::string_view(whole).substr(0, cut)) == Progress::NeedsMore));
        BOOST_TEST((reader.take(std::string_view(whole).substr(cut)) == Progress::Complete));
        const UpstreamHttpResponse response = reader.release();
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.body == "hello");
        BOOST_TEST(response.keepAlive);
    }
}

BOOST_AUTO_TEST_CASE(a_response_is_read_byte_by_byte_and_the_reader_again)
{
    HttpResponseReader reader;
    for (int round = 0; round < 2; ++round) {
        for (std::size_t at = 0; at + 1 < whole.size(); ++at) {
            BOOST_TEST((reader.take(std::string_view(whole).substr(at, 1)) == Progress::NeedsMore));
        }
        BOOST_TEST((reader.take("o") == Progress::Complete));
        BOOST_TEST(reader.release().body == "hello");
    }
}

BOOST_AUTO_TEST_CASE(a_response_may_say_that_the_connection_ends)
{
    HttpResponseReader reader;
    const std::string_view closing = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    BOOST_TEST((reader.take(closing) == Progress::Complete));
    const UpstreamHttpResponse response = reader.release();
    BOOST_TEST(response.status == 503);
    BOOST_TEST(!response.keepAlive);
}

BOOST_AUTO_TEST_CASE(what_is_no_usable_response_is_malformed)
{
    BOOST_TEST((progressOf("\x01\x02\x03 garbage\r\n\r\n") == Progress::Malformed));
    BOOST_TEST((progressOf("HTTP/1.1 200 OK\r\n\r\nwithout a length") == Progress::Malformed));
    BOOST_TEST((progressOf("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n") == Progress::Malformed));
    BOOST_TEST((progressOf("HTTP/1.1 200 OK\r\nContent-Length: 16777217\r\n\r\n") == Progress::Malformed));
    BOOST_TEST((progressOf(whole + "HTTP/1.1 200 OK") == Progress::Malformed));
    BOOST_TEST((progressOf("HTTP/1.1 200 OK\r\nX: " + std::string(longHeader, 'x')) == Progress::Malformed));
}

BOOST_AUTO_TEST_CASE(bytes_beyond_a_response_are_set_apart_where_the_rules_say_so)
{
    HttpResponseReader reader({.excess = true, .keepHeaders = true});
    BOOST_TEST((reader.take(whole + "HTTP/1.1 2") == Progress::Complete));
    BOOST_TEST(reader.excess() == "HTTP/1.1 2");
    const UpstreamHttpResponse response = reader.release();
    BOOST_TEST(response.body == "hello");
    BOOST_TEST(findHeader(response.headers, "content-length").value() == "5");
}

BOOST_AUTO_TEST_CASE(a_response_without_a_length_ends_with_its_connection_where_the_rules_say_so)
{
    HttpResponseReader reader({.withoutLength = true});
    BOOST_TEST((reader.take("HTTP/1.1 200 OK\r\n\r\nwithout") == Progress::NeedsMore));
    BOOST_TEST((reader.end() == Progress::Complete));
    BOOST_TEST(reader.release().body == "without");
    HttpResponseReader cut({.withoutLength = true});
    BOOST_TEST((cut.take(std::string_view(whole).substr(0, whole.size() - 1)) == Progress::NeedsMore));
    BOOST_TEST((cut.end() == Progress::Malformed));
}

BOOST_AUTO_TEST_CASE(a_response_may_state_its_idle_time_and_follow_an_interim_one)
{
    HttpResponseReader reader;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    BOOST_TEST((reader.take(interim + "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 0\r\n\r\n")
                == Progress::Complete));
    const UpstreamHttpResponse response = reader.release();
    BOOST_TEST(response.status == 200);
    BOOST_TEST((response.idleTimeout == Duration(std::chrono::seconds(7))));
}

BOOST_AUTO_TEST_CASE(bytes_without_end_are_malformed_before_they_take_memory)
{
    // Where a server may go on for ever: each is sent in pieces until the reader gives up.
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> endless = {
        {"", "x"},
        {"HTTP/1.1 200 ", "x"},
        {head + "X: ", "x"},
        {head, "X: y\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {chunked + "5;", "x"},
        {chunked, "0"},
        {chunked + "0\r\n", "X: y\r\n"},
        {chunked, "4\r\nabcd\r\n"},
        {head + "\r\n", "x"},
    };
    constexpr std::size_t mostBody = 4096;
    constexpr std::size_t patience = 10'000'000;
    for (const auto &[begin, again] : endless) {
        for (const std::size_t times : {std::size_t{1}, std::size_t{1000}}) {
            BOOST_TEST_INFO(begin << " then " << again << ", " << times << " at a time");
            HttpResponseReader reader({.withoutLength = true, .excess = true, .bodyBytes = mostBody});
            std::string piece;
            for (std::size_t each = 0; each < times; ++each) {
                piece += again;
            }
            Progress progress = begin.empty() ? Progress::NeedsMore : reader.take(begin);
            std::size_t sent = 0;
            std::size_t kept = 0;
            while (progress == Progress::NeedsMore && sent < patience) {
                progress = reader.take(piece);
                sent += piece.size();
                kept = std::max(kept, reader.buffered());
            }
            BOOST_TEST((progress == Progress::Malformed));
            BOOST_TEST(sent <= 64 * 1024U);
            BOOST_TEST(kept <= 32 * 1024U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_bound_of_one_response_does_not_hold_for_the_next)
{
    HttpResponseReader reader;
    reader.limitBody(4);
    BOOST_TEST((reader.take(whole) == Progress::Malformed));
    HttpResponseReader other;
    other.limitBody(5);
    BOOST_TEST((other.take(whole) == Progress::Complete));
    static_cast<void>(other.release());
    BOOST_TEST((other.take("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello!") == Progress::Complete));
}

BOOST_AUTO_TEST_CASE(a_length_beyond_the_bound_is_refused_also_where_the_body_comes_with_the_head)
{
    for (const char *length : {"16777217", "4000000000000000000", "18446744073709551615"}) {
        const std::string head = std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length + "\r\n\r\n";
        BOOST_TEST((progressOf(head) == Progress::Malformed));
        BOOST_TEST((progressOf(head + "x") == Progress::Malformed));
    }
}

// Guards against a response that is no answer and is taken for one, or for an interim response before the answer.
BOOST_AUTO_TEST_CASE(a_status_that_no_final_response_has_is_malformed)
{
    for (const char *status : {"000", "001", "099", "101", "600", "999"}) {
        for (const std::string &rest : {std::string("\r\n"), "Content-Length: 5\r\n\r\nhello" + whole}) {
            BOOST_TEST_INFO(status);
            HttpResponseReader reader({.withoutLength = true, .excess = true});
            const std::string head = std::string("HTTP/1.1 ") + status + " Status\r\n";
            BOOST_TEST((reader.take(head + rest) == Progress::Malformed));
        }
    }
}

BOOST_AUTO_TEST_CASE(interim_responses_before_the_answer_are_passed_over)
{
    HttpResponseReader reader;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
    BOOST_TEST((reader.take(interim + whole) == Progress::Complete));
    BOOST_TEST(reader.release().status == 200);
}
