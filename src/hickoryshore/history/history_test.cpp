#include "hickoryshore/history/history_checker.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>
#include <sstream>

using namespace hickoryshore;

namespace {

constexpr std::size_t shardCount = 3;

ShardId shardOf(std::size_t number)
{
    return {"a/" + std::to_string(number)};
}

void addAnswered(History &history, const std::string &id, bool idempotent, SnapshotId snapshot, bool partial)
{
    history.invocations.push_back({{id}, "query " + id, idempotent});
    ResponseEvent response{.request = {id},
                           .echoedRequest = {id},
                           .code = ResultCode::Ok,
                           .execution = Execution::Ran,
                           .snapshot = snapshot,
                           .layout = shardCount};
    for (std::size_t shard = 0; shard < shardCount; ++shard) {
        if (partial && shard == 0) {
            response.code = ResultCode::PartialAnswer;
            response.missed.push_back({shardOf(shard), ResultCode::QueueFull});
            continue;
        }
        const auto time = static_cast<std::int64_t>(history.executions.size());
        history.executions.push_back({{id}, shardOf(shard), {"upstream-" + std::to_string(shard)}, snapshot, time});
        response.covered.push_back(shardOf(shard));
        response.parts.push_back({shardOf(shard), "query " + id, shardOf(shard), snapshot});
    }
    history.responses.push_back(std::move(response));
}

void addRefused(History &history, const std::string &id)
{
    history.invocations.push_back({{id}, "query " + id, false});
    history.responses.push_back(
        {.request = {id}, .echoedRequest = {id}, .code = ResultCode::QueueFull, .execution = Execution::NotRun});
}

/// Returns a valid history with full and partial answers, refusals, refused requests that were sent again, and failed
/// connections.
History makeHistory(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    History history;
    addAnswered(history, "first", false, {1}, false);
    for (std::size_t number = 0; number < 40; ++number) {
        const std::string id = "request-" + std::to_string(number);
        const std::uint64_t kind = random() % 5;
        if (kind == 0) {
            addRefused(history, id);
            continue;
        }
        if (kind == 1) {
            addRefused(history, id);
        } else if (kind == 2) {
            history.invocations.push_back({{id}, "query " + id, false});
            history.noResponses.push_back({{id}});
            continue;
        }
        addAnswered(history, id, random() % 2 == 0, {1 + number / 10}, random() % 3 == 0);
    }
    addRefused(history, "last");
    history.revisions = {{{"vm-1"}, {3}}, {{"vm-2"}, {2}}, {{"vm-1"}, {3}}, {{"vm-2"}, {3}}};
    history.drains.push_back({{"upstream-0"}, 0});
    return history;
}

struct Fault
{
    std::string name;
    ViolationKind kind;
    std::function<void(History &)> apply;
};

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << fault.name;
}

using enum ViolationKind;

const std::vector<Fault> faults{
    {"a request ran twice",
     Doubled,
     [](History &history) {
         history.executions.push_back(history.executions.front());
     }},
    {"an accepted request was lost",
     Lost,
     [](History &history) {
         std::erase_if(history.executions, [](const ExecutionEvent &execution) {
             return execution.request.value == "first";
         });
     }},
    {"a request has no end",
     Lost,
     [](History &history) {
         history.responses.pop_back();
     }},
    {"a refused request ran",
     NotRunButRan,
     [](History &history) {
         history.executions.push_back({{"last"}, shardOf(0), {"upstream-0"}, {1}, 0});
     }},
    {"a shard missed as not run did run",
     NotRunButRan,
     [](History &history) {
         history.responses.back().missed.push_back({shardOf(0), ResultCode::QueueFull});
         history.responses.back().execution = Execution::MayHaveRun;
         history.executions.push_back({{"last"}, shardOf(0), {"upstream-0"}, {1}, 0});
     }},
    {"a part names another snapshot",
     MixedSnapshots,
     [](History &history) {
         history.responses.front().parts[1].snapshot = SnapshotId{9};
     }},
    {"a part ran at another snapshot",
     MixedSnapshots,
     [](History &history) {
         history.executions.front().snapshot = {9};
     }},
    {"the answer of another request",
     CrossedAnswer,
     [](History &history) {
         history.responses.front().echoedRequest = {"last"};
     }},
    {"a part of another query",
     CrossedAnswer,
     [](History &history) {
         history.responses.front().parts[0].query = "query last";
     }},
    {"a second answer",
     CrossedAnswer,
     [](History &history) {
         history.responses.push_back(history.responses.front());
     }},
    {"a covered shard without a result",
     WrongCoverage,
     [](History &history) {
         history.responses.front().parts.pop_back();
     }},
    {"a shard of the layout is not named",
     WrongCoverage,
     [](History &history) {
         history.responses.front().covered.pop_back();
         history.responses.front().parts.pop_back();
     }},
    {"a partial answer that says ok",
     WrongCoverage,
     [](History &history) {
         ResponseEvent &response = history.responses.front();
         response.missed.push_back({response.covered.back(), ResultCode::DeadlineExceeded});
         response.covered.pop_back();
         response.parts.pop_back();
     }},
    {"a revision goes back",
     RevisionReverted,
     [](History &history) {
         history.revisions.push_back({{"vm-2"}, {2}});
     }},
    {"work long after the drain",
     WorkAfterDrain,
     [](History &history) {
         history.executions.front().atMs = 5001;
     }},
};

} // namespace

BOOST_AUTO_TEST_CASE(valid_histories_pass)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        for (const Violation &violation : checkHistory(makeHistory(seed), {})) {
            BOOST_ERROR(violation.subject + ": " + violation.detail);
        }
    }
}

BOOST_DATA_TEST_CASE(every_kind_of_fault_is_detected, boost::unit_test::data::make(faults), fault)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        History history = makeHistory(seed);
        fault.apply(history);
        const auto violations = checkHistory(history, {});
        BOOST_TEST_REQUIRE(!violations.empty());
        for (const Violation &violation : violations) {
            BOOST_TEST((violation.kind == fault.kind), violationKindName(violation.kind) << ": " << violation.detail);
        }
    }
}

BOOST_AUTO_TEST_CASE(both_line_formats_are_parsed)
{
    std::istringstream lines(
        R"({"event":"invoke","requestId":"r","index":"a","query":"q","idempotent":false,"sentAtMs":1}
{"type":"response","process":1,"requestId":"r","timeUs":5,"body":"{\"requestId\":\"r\",\"resultCode\":1,\"execution\":\"ran\",\"snapshot\":4,\"layout\":2,\"covered\":[\"a/0\"],\"missed\":[{\"shard\":\"a/1\",\"resultCode\":300}],\"results\":[{\"shard\":\"a/0\",\"result\":{\"shard\":\"a/0\",\"query\":\"q\"}}]}"}
{"event":"execute","upstream":"127.0.0.1:1","shard":"a/0","requestId":"r","snapshot":4,"attempt":"x","atMs":7}
{"event":"revision","vm":"vm-1","revision":3,"atMs":8}
{"event":"drain","upstream":"127.0.0.1:1","atMs":9}
{"type":"noResponse","process":1,"requestId":"s","timeUs":5,"certainlyNotSent":true}
{"type":"invoke","process":1,"requestId":"s","timeUs":4}
)");
    History history;
    readHistory(lines, history);
    BOOST_TEST(history.responses.at(0).parts.at(0).query.value() == "q");
    BOOST_TEST(history.responses.at(0).missed.size() == 1);
    BOOST_TEST(history.executions.at(0).atMs == 7);
    BOOST_TEST(checkHistory(history, {}).empty());
    std::istringstream wrong("{\"event\":\"invoke\",\"requestId\":\"r\"}\n{\"event\":\"other\"}\n");
    BOOST_CHECK_EXCEPTION(readHistory(wrong, history), HistoryError, [](const HistoryError &error) {
        return std::string_view(error.what()).starts_with("line 2");
    });
}
