// Tests reports between RequestServices on replicas that don't answer.
#include "hickoryshore/entry/replica_report.h"

#include "entry_fixture.h"

using namespace hickoryshore;
using namespace hickoryshore::test;
using namespace std::chrono_literals;

namespace {

const std::string query = "GET /a HTTP/1.1\r\nHost: h\r\nId: 9\r\nLeft: 1500\r\n\r\n";

std::string stalledReport(const std::string &replica)
{
    const std::vector<NamedObservation> stalledFor = {{.replica = replica, .observation = {.stalledFor = 100ms}}};
    return encodeReplicaReport(stalledFor);
}

/// A service with two replicas that count their requests.
struct TwoReplicas : Entry
{
    std::array<int, 2> requestCounts{};

    void serve(const std::array<Handler, 2> &handlers)
    {
        this->addRoute({.idempotent = true, .split = {{{"s"}, 1.0}}});
        for (std::size_t number = 0; number < this->requestCounts.size(); ++number) {
            this->addReplica("s",
                             [this, number, handler = handlers[number]](
                                 HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
                                 ++this->requestCounts[number];
                                 handler(listener, call, request);
                             });
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_reports, TwoReplicas)

BOOST_AUTO_TEST_CASE(a_replica_that_another_vm_reports_as_stalled_gets_no_first_attempt)
{
    this->serve({answering("a", "0"), answering("b", "1")});
    this->service.onReplicaReport(stalledReport("replica-0"));
    this->callInTurn(query, 10);
    BOOST_TEST(this->requestCounts[0] == 0);
    BOOST_TEST(this->requestCounts[1] == 10);
}

BOOST_AUTO_TEST_CASE(malformed_reports_and_reports_on_unknown_replicas_are_ignored)
{
    this->serve({answering("a", "0"), answering("b", "1")});
    const std::string whole = stalledReport("replica-0");
    this->service.onReplicaReport(std::string_view(whole).substr(0, whole.size() - 1));
    this->service.onReplicaReport(stalledReport("replica-7"));
    this->service.onReplicaReport(stalledReport("replica-1"));
    this->callInTurn(query, 10);
    BOOST_TEST(this->requestCounts[0] == 10);
}

BOOST_AUTO_TEST_CASE(a_vm_reports_a_replica_that_does_not_answer)
{
    std::vector<std::string> reports;
    RequestService reporter{this->loop,
                            this->settings,
                            this->protocol,
                            this->metrics,
                            3,
                            {.answer =
                                 [this](HttpCallId call, const HttpAnswer &answer) {
                                     this->front.answer(call, answer);
                                 },
                             .reportReplicas =
                                 [&reports](std::string_view report) {
                                     reports.emplace_back(report);
                                 }}};
    const auto silent = [](HttpListener &, HttpCallId, const HttpServerRequest &) {};
    this->serve({silent, silent});
    Route route{.name = {"r"},
                .host = "h",
                .pathPrefix = "/",
                .idempotent = true,
                .timeout = 500ms,
                .latencyObjective = 100ms,
                .maximumAttempts = 2,
                .split = {{{"s"}, 1.0}}};
    reporter.setRouteTable(std::make_shared<const RouteTable>(RouteTable{.version = 1, .routes = {route}}));
    reporter.setReplicas(this->registry);
    this->loop.post([&] {
        reporter.onRequest({1}, {.method = "GET", .target = "/a", .headers = {{"Host", "h"}, {"Id", "9"}}});
    });
    this->loop.after(300ms, [this] {
        this->loop.stop();
    });
    this->run();
    BOOST_REQUIRE(!reports.empty());
    const auto report = decodeReplicaReport(reports.front());
    BOOST_REQUIRE(report.has_value());
    BOOST_REQUIRE(report->size() == 1);
    BOOST_TEST(report->front().replica.starts_with("replica-"));
    BOOST_TEST((report->front().observation.stalledFor >= Duration(10ms)));
}

BOOST_AUTO_TEST_CASE(observations_survive_encoding_and_decoding)
{
    // Rounding to whole units must not turn a short stall into none, or a very low latency ratio into no ratio, which
    // means a failure.
    const std::vector<NamedObservation> sent
        = {{.replica = "a", .observation = {.stalledFor = 300us}},
           {.replica = "b", .observation = {.attemptDuration = 8ms, .latencyRatio = 0.001}},
           {.replica = "c", .observation = {.attemptDuration = 80ms, .latencyRatio = 7.5}},
           {.replica = "d", .observation = {.attemptDuration = 3ms}}};
    const auto received = decodeReplicaReport(encodeReplicaReport(sent));
    BOOST_REQUIRE(received.has_value());
    BOOST_REQUIRE(received->size() == sent.size());
    for (std::size_t number = 0; number < sent.size(); ++number) {
        const ReplicaObservation &before = sent[number].observation;
        const ReplicaObservation &after = (*received)[number].observation;
        BOOST_TEST((*received)[number].replica == sent[number].replica);
        BOOST_TEST((after.stalledFor > Duration(0)) == (before.stalledFor > Duration(0)));
        BOOST_TEST((after.attemptDuration == before.attemptDuration));
        BOOST_TEST(after.latencyRatio.has_value() == before.latencyRatio.has_value());
    }
    BOOST_TEST((*received)[2].observation.latencyRatio.value_or(0.0) == 7.5);
}

BOOST_AUTO_TEST_CASE(a_report_of_many_long_names_fits_into_a_datagram)
{
    const std::vector<NamedObservation> sent(
        100, {.replica = std::string(200, 'r'), .observation = {.attemptDuration = 80ms, .latencyRatio = 7.5}});
    const std::string bytes = encodeReplicaReport(sent);
    BOOST_TEST(bytes.size() <= maxReportBytes);
    const auto received = decodeReplicaReport(bytes);
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received->size() >= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
