// What one RequestService tells another of a replica that does not answer.
#include "hickoryshore/entry/replica_report.h"

#include "entry_fixture.h"

using namespace hickoryshore;
using namespace hickoryshore::test;
using namespace std::chrono_literals;

namespace {

const std::string query = "GET /a HTTP/1.1\r\nHost: h\r\nId: 9\r\nLeft: 1500\r\n\r\n";

std::string quietReport(const std::string &replica)
{
    const std::vector<NamedObservation> stalledFor = {{.replica = replica, .observation = {.stalledFor = 100ms}}};
    return encodeReplicaReport(stalledFor);
}

/// A service with two replicas that count their requests.
struct TwoReplicas : Entry
{
    std::array<int, 2> ran{};

    void serve(const std::array<Handler, 2> &handlers)
    {
        this->addRoute({.idempotent = true, .split = {{{"s"}, 1.0}}});
        for (std::size_t number = 0; number < this->ran.size(); ++number) {
            this->addReplica("s",
                             [this, number, handler = handlers[number]](
                                 HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
                                 ++this->ran[number];
                                 handler(listener, call, request);
                             });
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_reports, TwoReplicas)

BOOST_AUTO_TEST_CASE(a_replica_of_which_another_vm_reports_silence_gets_no_first_attempt)
{
    this->serve({answering("a", "0"), answering("b", "1")});
    this->service.onReplicaReport(quietReport("replica-0"));
    this->callInTurn(query, 10);
    BOOST_TEST(this->ran[0] == 0);
    BOOST_TEST(this->ran[1] == 10);
}

BOOST_AUTO_TEST_CASE(reports_that_are_malformed_or_of_unknown_replicas_change_nothing)
{
    this->serve({answering("a", "0"), answering("b", "1")});
    const std::string whole = quietReport("replica-0");
    this->service.onReplicaReport(std::string_view(whole).substr(0, whole.size() - 1));
    this->service.onReplicaReport(quietReport("replica-7"));
    this->service.onReplicaReport(quietReport("replica-1"));
    this->callInTurn(query, 10);
    BOOST_TEST(this->ran[0] == 10);
}

BOOST_AUTO_TEST_CASE(a_vm_reports_a_replica_that_does_not_answer)
{
    std::vector<std::string> reports;
    RequestService reporter{this->loop,
                            this->settings,
                            this->dialect,
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

BOOST_AUTO_TEST_CASE(an_observation_keeps_its_meaning_on_the_way)
{
    // Silence of less than a millisecond is still silence, and a quick answer no failure.
    const std::vector<NamedObservation> told
        = {{.replica = "a", .observation = {.stalledFor = 300us}},
           {.replica = "b", .observation = {.attemptDuration = 8ms, .latencyRatio = 0.001}},
           {.replica = "c", .observation = {.attemptDuration = 80ms, .latencyRatio = 7.5}},
           {.replica = "d", .observation = {.attemptDuration = 3ms}}};
    const auto heard = decodeReplicaReport(encodeReplicaReport(told));
    BOOST_REQUIRE(heard.has_value());
    BOOST_REQUIRE(heard->size() == told.size());
    for (std::size_t number = 0; number < told.size(); ++number) {
        const ReplicaObservation &before = told[number].observation;
        const ReplicaObservation &after = (*heard)[number].observation;
        BOOST_TEST((*heard)[number].replica == told[number].replica);
        BOOST_TEST((after.stalledFor > Duration(0)) == (before.stalledFor > Duration(0)));
        BOOST_TEST((after.attemptDuration == before.attemptDuration));
        BOOST_TEST(after.latencyRatio.has_value() == before.latencyRatio.has_value());
    }
    BOOST_TEST((*heard)[2].observation.latencyRatio.value_or(0.0) == 7.5);
}

BOOST_AUTO_TEST_CASE(a_report_of_many_long_names_fits_into_a_datagram)
{
    const std::vector<NamedObservation> told(
        100, {.replica = std::string(200, 'r'), .observation = {.attemptDuration = 80ms, .latencyRatio = 7.5}});
    const std::string bytes = encodeReplicaReport(told);
    BOOST_TEST(bytes.size() <= mostReportBytes);
    const auto heard = decodeReplicaReport(bytes);
    BOOST_REQUIRE(heard.has_value());
    BOOST_TEST(heard->size() >= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
