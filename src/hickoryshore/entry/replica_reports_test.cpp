// What one RequestService tells another of a replica that does not answer.
#include "entry_fixture.h"

#include "replica_report.pb.h"

using namespace hickoryshore;
using namespace hickoryshore::test;
using namespace std::chrono_literals;

namespace {

const std::string query = "GET /a HTTP/1.1\r\nHost: h\r\nId: 9\r\nLeft: 1500\r\n\r\n";

std::string quietReport(const std::string &replica)
{
    wire::ReplicaReport report;
    wire::ReplicaObservation &quiet = *report.add_observations();
    quiet.set_replica(replica);
    quiet.set_quiet_ms(100);
    return report.SerializeAsString();
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
    wire::ReplicaReport report;
    BOOST_REQUIRE(report.ParseFromString(reports.front()));
    BOOST_REQUIRE(report.observations_size() == 1);
    BOOST_TEST(report.observations(0).replica().starts_with("replica-"));
    BOOST_TEST(report.observations(0).quiet_ms() >= 10U);
}

BOOST_AUTO_TEST_SUITE_END()
