#include "hickoryshore/http1/http_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;
using Progress = HttpRequestReader::Progress;

namespace {

const std::string simple = "GET /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 1\r\n\r\n";
const std::string chunked
    = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

Progress progressOf(std::string_view bytes, HttpRequestLimits limits = {})
{
    HttpRequestReader reader(limits);
    return reader.take(bytes);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_read_wherever_it_is_cut)
{
    for (const std::string &whole : {simple, chunked}) {
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            HttpRequestReader reader({});
            BOOST_TEST((reader.take(std::string_view(whole).substr(0, cut)) == Progress::NeedsMore));
            BOOST_TEST(reader.hasBegun() == (cut > 0));
            BOOST_TEST((reader.take(std::string_view(whole).substr(cut)) == Progress::Complete));
            BOOST_TEST(reader.release().keepAlive);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_received_request_has_its_parts)
{
    HttpRequestReader reader({});
    BOOST_TEST((reader.take(simple) == Progress::Complete));
    const HttpServerRequest request = reader.release();
    BOOST_TEST(request.method == "GET");
    BOOST_TEST(pathOf(request.target) == "/a/b");
    BOOST_TEST(queryOf(request.target) == "c=d");
    BOOST_TEST(findHeader(request.headers, "request-id").value() == "1");
    BOOST_TEST((reader.take(chunked) == Progress::Complete));
    BOOST_TEST(reader.release().body == "abcde");
}

BOOST_AUTO_TEST_CASE(requests_that_come_together_are_given_out_one_by_one)
{
    HttpRequestReader reader({});
    BOOST_TEST((reader.take(simple + chunked + simple.substr(0, 9)) == Progress::Complete));
    BOOST_TEST(reader.release().method == "GET");
    BOOST_TEST((reader.take("") == Progress::Complete));
    BOOST_TEST(reader.release().method == "POST");
    BOOST_TEST((reader.take("") == Progress::NeedsMore));
    BOOST_TEST((reader.take(simple.substr(9)) == Progress::Complete));
}

BOOST_AUTO_TEST_CASE(a_request_past_its_bounds_is_told_apart)
{
    const std::string longHeader = "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n";
    BOOST_TEST((progressOf(longHeader, {.headerBytes = 1000}) == Progress::HeaderTooLarge));
    BOOST_TEST(
        (progressOf("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n", {.bodyBytes = 1000}) == Progress::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(two_framings_of_one_body_are_refused)
{
    BOOST_TEST((progressOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
                == Progress::Malformed));
    BOOST_TEST((progressOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n")
                == Progress::Malformed));
    BOOST_TEST(
        (progressOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc") == Progress::Malformed));
    BOOST_TEST((progressOf("GET / HTTP/1.1\r\nHost : h\r\n\r\n") == Progress::Malformed));
}

BOOST_AUTO_TEST_CASE(fields_of_one_connection_are_not_passed_on)
{
    BOOST_TEST(isHopByHop("Transfer-Encoding", ""));
    BOOST_TEST(isHopByHop("keep-alive", ""));
    BOOST_TEST(isHopByHop("X-Own", "close, x-own"));
    BOOST_TEST(!isHopByHop("X-Own", "close"));
}

BOOST_AUTO_TEST_CASE(a_request_longer_than_the_bound_is_refused_also_where_its_body_comes_with_the_head)
{
    for (const char *length : {"1048577", "4000000000000000000"}) {
        HttpRequestReader reader({});
        const auto progress = reader.take(std::string("POST / HTTP/1.1\r\nContent-Length: ") + length + "\r\n\r\nx");
        BOOST_TEST((progress == HttpRequestReader::Progress::BodyTooLarge));
    }
}

BOOST_AUTO_TEST_CASE(chunk_lines_and_trailers_without_end_are_refused)
{
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string begin : {"5;", "0\r\nX: "}) {
        HttpRequestReader reader({.headerBytes = 4096, .bodyBytes = 4096});
        auto progress = reader.take(head + begin);
        std::size_t sent = 0;
        while (progress == HttpRequestReader::Progress::NeedsMore && sent < 100'000) {
            progress = reader.take(std::string(100, 'x'));
            sent += 100;
        }
        BOOST_TEST((progress != HttpRequestReader::Progress::NeedsMore));
        BOOST_TEST(sent < 10'000U);
    }
}
