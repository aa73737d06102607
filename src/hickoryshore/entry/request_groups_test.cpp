// Tests requests whose parts go through an aggregator in another data centre: two RequestServices and fake replicas on
// one event loop.
#include "entry_fixture.h"

#include <algorithm>

using namespace hickoryshore;
using namespace hickoryshore::test;
using namespace std::chrono_literals;

namespace {

constexpr int peerPort = 23701;
constexpr int shardCount = 4;
constexpr std::uint64_t tableVersion = 2;

/// An entry VM in the data centre "north" whose shards are all in "south", and a VM in "south".
struct TwoVms : Entry
{
    int groupRequests = 0; ///< Group requests received by the other VM.
    bool silent = false; ///< The other VM reads requests but doesn't answer.
    int peerStatus = 0; ///< The other VM answers with this status instead of parts, unless zero.
    std::vector<std::string> ranShards; ///< Shard of each request received by a replica.
    EntrySettings southSettings{.vm = {"vm-south"},
                                .dataCentre = {"south"},
                                .region = {"s"},
                                .regions = {{{"north"}, {"n"}}, {{"south"}, {"s"}}},
                                .memoryBytes = std::size_t{8} * 1024 * 1024,
                                .extraAttempts = {.ratio = 0.2, .slack = 100}};
    RequestService south{loop,
                         southSettings,
                         protocol,
                         metrics,
                         2,
                         {.retryAfter =
                              [] {
                                  return Duration(300ms);
                              },
                          .answerPeer =
                              [this](HttpCallId call, const HttpAnswer &answer) {
                                  this->peers.answer(call, answer);
                              },
                          .onNewerConfiguration =
                              [this](std::uint64_t version, const VmId &) {
                                  this->newerVersions.push_back(version);
                              }}};
    RequestService *asked = &south; ///< Serves the group requests.
    HttpListener peers{loop,
                       "127.0.0.1:" + std::to_string(peerPort),
                       {},
                       {.onRequest =
                            [this](HttpCallId call, const HttpServerRequest &request) {
                                ++this->groupRequests;
                                if (this->peerStatus != 0) {
                                    this->peers.answer(call, {.status = this->peerStatus});
                                } else if (!this->silent) {
                                    this->asked->onAggregateRequest(call, request);
                                }
                            },
                        .onClientLeft =
                            [this](HttpCallId call) {
                                this->asked->onPeerLeft(call);
                            }}};

    /// Newer configurations that the VM in "south" was told of.
    std::vector<std::uint64_t> newerVersions;

    /// Returns a configuration whose only route goes to the shards with this prefix.
    static std::shared_ptr<const RouteTable> tableOf(std::uint64_t version, const std::string &shardPrefix)
    {
        Route route{.name = {"r"},
                    .host = "h",
                    .pathPrefix = "/",
                    .idempotent = true,
                    .timeout = 1200ms,
                    .latencyObjective = 500ms,
                    .maximumAttempts = 2,
                    .topRecords = 3,
                    .minimumCoverage = 0.7};
        for (int shard = 0; shard < shardCount; ++shard) {
            route.shards.push_back({shardPrefix + std::to_string(shard)});
        }
        return std::make_shared<const RouteTable>(RouteTable{.version = version, .routes = {route}});
    }

    /// Registers the replicas at both VMs, and the other VM at the entry VM.
    void serve(RequestService &entry, const Handler &handler)
    {
        const auto table = tableOf(tableVersion, "s");
        for (int shard = 0; shard < shardCount; ++shard) {
            const std::string name = "s" + std::to_string(shard);
            this->addReplica(
                name, [this, name, handler](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
                    this->ranShards.push_back(name);
                    handler(listener, call, request);
                });
            ReplicaRecord record = this->registry.replicas().at("replica-" + std::to_string(shard)).record;
            record.dataCentre = {"south"};
            this->registry.put(monotonicNow(), "replica-" + std::to_string(shard), record);
        }
        for (RequestService *service : {&entry, &this->south}) {
            service->setRouteTable(table);
            service->setReplicas(this->registry);
        }
        MembershipView view{.self = {"vm-north"}, .members = {}};
        view.members.push_back({.vm = {"vm-south"},
                                .dataCentre = {"south"},
                                .region = {"s"},
                                .address = "127.0.0.1",
                                .capacity = 100,
                                .processId = 1,
                                .configRevision = {1}});
        entry.setMembers(view, peerPort);
    }
};

/// Adds an entry VM with complete settings.
struct Fleet : TwoVms
{
    EntrySettings northSettings = [this] {
        EntrySettings north = this->southSettings;
        north.vm = {"vm-north"};
        north.dataCentre = {"north"};
        north.region = {"n"};
        return north;
    }();
    RequestService north{loop,
                         northSettings,
                         protocol,
                         metrics,
                         1,
                         {.answer =
                              [this](HttpCallId call, const HttpAnswer &answer) {
                                  this->northListener.answer(call, answer);
                              },
                          .retryAfter =
                              [] {
                                  return Duration(300ms);
                              }}};
    HttpListener northListener{loop,
                               "127.0.0.1:23702",
                               {},
                               {.onRequest =
                                    [this](HttpCallId call, const HttpServerRequest &request) {
                                        this->north.onRequest(call, request);
                                    },
                                .onClientLeft =
                                    [this](HttpCallId call) {
                                        this->north.onClientLeft(call);
                                    }}};

    std::string path = "/a"; ///< Of the requests that ask() sends.

    HttpExchangeId ask(std::function<void(const HttpExchangeEnd &)> onEnd)
    {
        HttpExchange exchange{.request = "GET " + this->path + " HTTP/1.1\r\nHost: h\r\nId: 9\r\nLeft: 1500\r\n\r\n",
                              .timeout = 5s};
        exchange.onEnd = std::move(onEnd);
        return this->client->start("127.0.0.1:23702", std::move(exchange));
    }

    /// Sends `count` requests one after the other, with a pause in between, once the warm-up time of the aggregator has
    /// passed.
    std::vector<UpstreamHttpResponse> answers(std::size_t count, Duration pause = {})
    {
        std::vector<UpstreamHttpResponse> responses;
        std::function<void()> next = [&] {
            this->ask([&](const HttpExchangeEnd &end) {
                responses.push_back(end.response);
                if (responses.size() < count) {
                    this->loop.after(pause, next);
                } else {
                    this->loop.stop();
                }
            });
        };
        this->loop.after(AggregatorTable::warmUp + 10ms, next);
        this->run();
        BOOST_REQUIRE(responses.size() == count);
        return responses;
    }
};

std::string headerOf(const UpstreamHttpResponse &response, std::string_view name)
{
    return std::string(findHeader(response.headers, name).value_or(""));
}

Entry::Handler records(const std::string &body)
{
    return [body](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        const std::string replica(findHeader(request.headers, "For").value_or(""));
        listener.answer(call, {.headers = {requestIdHeader(request), {"Sign", "of-" + replica}}, .body = body});
    };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_groups, Fleet)

BOOST_AUTO_TEST_CASE(parts_in_another_data_centre_are_merged_into_one_answer)
{
    this->serve(this->north, records("aabbcc"));
    const UpstreamHttpResponse answer = this->answers(1).front();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "cccccc");
    BOOST_TEST(headerOf(answer, "Signs") == "of-replica-0, of-replica-1, of-replica-2, of-replica-3");
    BOOST_TEST(headerOf(answer, "Missing") == "0");
    BOOST_TEST(this->groupRequests == 1);
    BOOST_TEST(this->ranShards.size() == 4U);
    BOOST_TEST(this->metrics.value(Count::Aggregations) == 1U);
}

BOOST_AUTO_TEST_CASE(parts_are_requested_directly_if_an_aggregator_refuses)
{
    this->peerStatus = 404; // VMs of older versions answer this, since they don't have the path.
    this->serve(this->north, records("aa"));
    const auto answers = this->answers(2);
    for (const UpstreamHttpResponse &answer : answers) {
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(headerOf(answer, "Missing") == "0");
    }
    // The second request doesn't use that VM again.
    BOOST_TEST(this->groupRequests == 1);
    BOOST_TEST(this->ranShards.size() == 8U);
}

// Guards against an answer that no VM gives and that is taken for a refusal, after which the parts would run again.
BOOST_AUTO_TEST_CASE(an_aggregator_that_answers_with_an_impossible_status_fails_at_once_and_may_have_run)
{
    this->peerStatus = 600;
    this->serve(this->north, records("aa"));
    const auto answers = this->answers(2);
    // 504 would tell that the deadline was waited for, 503 that nothing ran.
    BOOST_TEST(answers[0].status == 502);
    BOOST_TEST(answers[1].status == 200);
    BOOST_TEST(this->groupRequests == 1);
}

BOOST_AUTO_TEST_CASE(a_frozen_aggregator_fails_only_one_request_and_its_parts_run_once)
{
    this->silent = true;
    this->serve(this->north, records("aa"));
    const auto answers = this->answers(2);
    BOOST_TEST(answers[0].status >= 500);
    BOOST_TEST(answers[0].status != 503); // It may have run.
    BOOST_TEST(answers[1].status == 200);
    BOOST_TEST(this->groupRequests == 1);
    BOOST_TEST(this->ranShards.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_part_that_fails_at_the_aggregator_is_reported_as_missing)
{
    this->serve(this->north, [](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
        const std::string replica(findHeader(request.headers, "For").value_or(""));
        const int status = replica == "replica-2" ? 500 : 200;
        listener.answer(call,
                        {.status = status, .headers = {requestIdHeader(request), {"Sign", replica}}, .body = "aa"});
    });
    const UpstreamHttpResponse answer = this->answers(1).front();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(headerOf(answer, "Missing") == "1");
    BOOST_TEST(headerOf(answer, "Signs") == "replica-0, replica-1, replica-3");
    BOOST_TEST(answer.body == "aaaaaa");
    BOOST_TEST(std::ranges::count(this->ranShards, "s2") <= 2);
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_ends_the_request_at_both_vms)
{
    std::vector<HttpCallId> asked;
    this->serve(this->north, [&asked](HttpListener &, HttpCallId call, const HttpServerRequest &) {
        asked.push_back(call);
    });
    HttpExchangeId exchange;
    this->loop.after(AggregatorTable::warmUp + 10ms, [this, &exchange] {
        exchange = this->ask({});
    });
    std::size_t atWork = 0;
    this->loop.after(AggregatorTable::warmUp + 100ms, [this, &exchange, &atWork] {
        atWork = this->south.inFlight();
        this->client->abort(exchange);
    });
    std::size_t left = 1;
    this->loop.after(AggregatorTable::warmUp + 400ms, [this, &left] {
        left = this->south.inFlight() + this->north.inFlight();
        this->loop.stop();
    });
    this->run();
    BOOST_TEST(asked.size() == 4U);
    BOOST_TEST(atWork == 1U);
    BOOST_TEST(left == 0U);
}

// Guards against a VM that shows replicas a newer configuration for another VM than the one that it has itself.
BOOST_AUTO_TEST_CASE(an_aggregator_sends_no_parts_by_a_newer_configuration_than_its_own)
{
    this->serve(this->north, records("aa"));
    this->south.setRouteTable(tableOf(tableVersion - 1, "old"));
    const UpstreamHttpResponse answer = this->answers(1).front();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(headerOf(answer, "Missing") == "0");
    BOOST_TEST(this->groupRequests == 1);
    BOOST_TEST(this->metrics.value(Count::Aggregations) == 0U);
    BOOST_TEST(this->metrics.value(Count::AggregationsRefused) == 1U);
    BOOST_TEST(this->ranShards.size() == 4U);
    BOOST_TEST(this->newerVersions == std::vector<std::uint64_t>{tableVersion}, boost::test_tools::per_element());
}

// Guards against a VM that goes back to an older configuration for another VM after it showed replicas a newer one.
BOOST_AUTO_TEST_CASE(an_aggregator_sends_no_parts_by_an_older_configuration_than_its_own)
{
    this->serve(this->north, records("aa"));
    this->south.setRouteTable(tableOf(tableVersion + 1, "new"));
    const UpstreamHttpResponse answer = this->answers(1).front();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(headerOf(answer, "Missing") == "0");
    BOOST_TEST(this->groupRequests == 1);
    BOOST_TEST(this->metrics.value(Count::Aggregations) == 0U);
    BOOST_TEST(this->ranShards.size() == 4U);
    BOOST_TEST(this->newerVersions.empty());
}

// Guards against a VM whose route of the name in the request exists but doesn't serve the request's path.
BOOST_AUTO_TEST_CASE(an_aggregator_judges_by_the_route_that_its_own_callers_would_take)
{
    this->serve(this->north, records("aa"));
    RouteTable divided = *tableOf(tableVersion + 1, "s");
    divided.routes.push_back(tableOf(tableVersion + 1, "new")->routes.front());
    divided.routes.back().name = {"r-a"};
    divided.routes.back().pathPrefix = "/a/";
    this->south.setRouteTable(std::make_shared<const RouteTable>(divided));
    this->path = "/a/1";
    BOOST_TEST(this->answers(1).front().status == 200);
    BOOST_TEST(this->metrics.value(Count::Aggregations) == 0U);
    BOOST_TEST(this->ranShards.size() == 4U);
}

// Guards against the end of all groups with each configuration: only the services of the route count.
BOOST_AUTO_TEST_CASE(an_aggregator_with_another_version_of_the_same_shards_serves_the_parts)
{
    this->serve(this->north, records("aa"));
    this->south.setRouteTable(tableOf(tableVersion - 1, "s"));
    BOOST_TEST(this->answers(1).front().status == 200);
    BOOST_TEST(this->metrics.value(Count::Aggregations) == 1U);
    BOOST_TEST(this->metrics.value(Count::AggregationsRefused) == 0U);
}

// Guards against a VM that counts as failed since its configuration differed for a moment.
BOOST_AUTO_TEST_CASE(an_aggregator_is_used_again_soon_after_it_refused)
{
    this->serve(this->north, records("aa"));
    this->south.setRouteTable(tableOf(tableVersion - 1, "old"));
    this->loop.after(AggregatorTable::warmUp + AggregatorTable::refusalPause / 2, [this] {
        this->south.setRouteTable(tableOf(tableVersion, "s"));
    });
    const auto answers = this->answers(2, AggregatorTable::refusalPause + 50ms);
    BOOST_TEST(answers[1].status == 200);
    BOOST_TEST(this->groupRequests == 2);
    BOOST_TEST(this->metrics.value(Count::Aggregations) == 1U);
    BOOST_TEST(this->metrics.value(Count::GroupFailures) == 0U);
}

BOOST_AUTO_TEST_CASE(a_vm_without_a_configuration_serves_no_parts)
{
    this->serve(this->north, records("aa"));
    RequestService empty{
        loop, southSettings, protocol, metrics, 3, {.answerPeer = [this](HttpCallId call, const HttpAnswer &answer) {
            this->peers.answer(call, answer);
        }}};
    this->asked = &empty;
    BOOST_TEST(this->answers(1).front().status == 200);
    BOOST_TEST(this->metrics.value(Count::Aggregations) == 0U);
}

BOOST_AUTO_TEST_CASE(a_malformed_aggregate_request_is_refused)
{
    this->serve(this->north, records("aa"));
    int status = 0;
    HttpExchange exchange{.request = formatHttpRequest("POST", aggregatePath, "h", "\x01garbage"), .timeout = 2s};
    exchange.onEnd = [this, &status](const HttpExchangeEnd &end) {
        status = end.response.status;
        this->loop.stop();
    };
    this->loop.post([this, &exchange] {
        this->client->start("127.0.0.1:" + std::to_string(peerPort), std::move(exchange));
    });
    this->run();
    BOOST_TEST(status == 400);
    BOOST_TEST(this->ranShards.empty());
}

BOOST_AUTO_TEST_SUITE_END()
