#include "hickoryshore/config/publication.h"
#include "hickoryshore/ctl/command.h"
#include "hickoryshore/ctl/declaration_folder.h"
#include "hickoryshore/ctl/vm_client.h"
#include "hickoryshore/keyvalue/key_value_client.h"

#include "key_value_test_server.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

using namespace hickoryshore;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int testPort = 18620;
constexpr int vmPort = 18621;
const std::string small = HICKORYSHORE_EXAMPLES "/small";
const std::string quispe = HICKORYSHORE_EXAMPLES "/quispe";
const std::string consorzio = HICKORYSHORE_EXAMPLES "/consorzio";

fakes::KeyValueTestServer &platform()
{
    static fakes::KeyValueTestServer server(testPort);
    return server;
}

/// What a command printed and how it ended.
struct Ran
{
    ExitCode code = ExitCode::Ok;
    std::string out;
    std::string err;

    json parsed() const
    {
        return json::parse(this->out);
    }
};

struct Operator
{
    CommandOptions options{.platform = "127.0.0.1:18620",
                           .vm = "127.0.0.1:18621",
                           .json = true,
                           .waitLimit = 1ms,
                           .timeout = 300ms,
                           .author = "ana",
                           .caller = "boards"};

    Operator()
    {
        platform().reset();
    }

    Ran run(std::string_view name, std::vector<std::string> arguments = {}) const
    {
        std::ostringstream out;
        std::ostringstream err;
        const ExitCode code = runCommand(name, {this->options, std::move(arguments), out, err});
        return {code, out.str(), err.str()};
    }
};

/// A VM's interface that answers like a fleet of two.
HttpResponse answerAsVm(const HttpRequest &request)
{
    if (request.path == "/v1/status") {
        return {.body = R"({"vm":"vm-1","dataCentre":"lima-callao","revision":1,"members":[
            {"vm":"vm-1","state":"alive","revision":0,"http":"127.0.0.1:18621"},
            {"vm":"vm-2","state":"alive","revision":1,"http":"127.0.0.1:18622"},
            {"vm":"vm-3","state":"dead","revision":0,"http":"127.0.0.1:18623"}]})",
                .headers = {}};
    }
    if (request.path == "/v1/entry-points") {
        return {.body = R"({"entryPoints":["127.0.0.1:18629","127.0.0.1:18621"],"timeToLiveMs":5000})", .headers = {}};
    }
    const json body = json::parse(request.body);
    const bool refused = body.at("query") == "refuse";
    const json answer{{"path", request.path}, {"request", body}, {"result", refused ? "queueFull" : "ok"}};
    return {.status = refused ? 503 : 200, .body = answer.dump(), .headers = {}};
}

const HttpServer &vmServer()
{
    static const HttpServer server({.port = vmPort}, answerAsVm);
    return server;
}

/// A folder that is removed at the end of the test.
struct ScratchFolder
{
    std::filesystem::path path = std::filesystem::temp_directory_path() / "hickoryshore-command-test";

    explicit ScratchFolder(const std::string &text)
    {
        std::filesystem::remove_all(this->path);
        std::filesystem::create_directories(this->path);
        std::ofstream(this->path / "a.json") << text;
    }

    ~ScratchFolder()
    {
        std::filesystem::remove_all(this->path);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(the_examples_have_no_fault_and_their_true_sizes, Operator)
{
    const json ofQuispe = this->run("check", {quispe}).parsed();
    BOOST_TEST(ofQuispe["faults"].empty());
    BOOST_TEST(ofQuispe["objects"]["indexes"] == 4);
    BOOST_TEST(ofQuispe["objects"]["shards"] == 20 + 30 + 1 + 1);
    BOOST_TEST(ofQuispe["objects"]["replicas"] == 40 + 60 + 5 + 3);
    const json ofConsorzio = this->run("check", {consorzio}).parsed();
    BOOST_TEST(ofConsorzio["objects"]["shards"] == 20 + 30 + 1 + 1);
    BOOST_TEST(ofConsorzio["objects"]["replicas"] == 40 + 60 + 3 + 3);
    const json ofSmall = this->run("check", {small}).parsed();
    BOOST_TEST(ofSmall["objects"]["shards"] == 4 + 2);
    BOOST_TEST(ofSmall["objects"]["replicas"] == 8 + 4);
}

BOOST_FIXTURE_TEST_CASE(faults_are_printed_and_nothing_is_published, Operator)
{
    const ScratchFolder folder("[\n{\"kind\": \"Caller\", \"name\": \"A\"},\n7]");
    const std::string path = folder.path.string();
    const Ran checked = this->run("check", {path});
    BOOST_TEST((checked.code == ExitCode::Refused));
    BOOST_TEST(checked.parsed()["faults"][0]["line"] == 2);
    BOOST_TEST((this->run("apply", {path}).code == ExitCode::Refused));
    BOOST_TEST((this->run("diff", {path}).code == ExitCode::Refused));
    BOOST_TEST(platform().service()->counters().writes == 0U);
    this->options.json = false;
    BOOST_TEST(this->run("check", {path}).err.find("a.json:3: [1]: has the wrong type") != std::string::npos);
    BOOST_TEST((this->run("check", {path + "/none"}).code == ExitCode::Refused));
}

BOOST_FIXTURE_TEST_CASE(apply_diff_get_and_history, Operator)
{
    const Ran first = this->run("apply", {small});
    BOOST_TEST((first.code == ExitCode::Ok));
    BOOST_TEST(first.parsed()["revision"] == 1);
    BOOST_TEST(this->run("diff", {small}).parsed()["changes"].empty());
    BOOST_TEST(this->run("apply", {small}).parsed()["result"] == "unchanged");
    BOOST_TEST(this->run("diff", {quispe}).parsed()["changes"].size() > 5U);
    BOOST_TEST(this->run("apply", {quispe}).parsed()["revision"] == 2);
    const json policy = this->run("get", {"Policy", "boards"}).parsed();
    BOOST_TEST(policy["revision"] == 2);
    BOOST_TEST(policy["objects"].size() == 1U);
    BOOST_TEST(policy["objects"][0]["answerByMs"] == 110.0);
    BOOST_TEST((this->run("get", {"Policy", "none"}).code == ExitCode::Refused));
    const json history = this->run("history").parsed()["history"];
    BOOST_TEST(history.size() == 2U);
    BOOST_TEST(history[1]["publishId"] == first.parsed()["publishId"]);
    BOOST_TEST(history[1]["author"] == "ana");
}

BOOST_FIXTURE_TEST_CASE(sweep_deletes_what_only_old_revisions_name, Operator)
{
    BOOST_TEST(this->run("sweep").parsed()["result"] == "nothingToDo");
    for (const std::string &declarations : {small, quispe, small, consorzio}) {
        BOOST_TEST_REQUIRE((this->run("apply", {declarations}).code == ExitCode::Ok));
    }
    const json before = this->run("get").parsed();
    BOOST_TEST(this->run("sweep").parsed()["result"] == "nothingToDo");
    this->options.keep = 1;
    const json swept = this->run("sweep").parsed();
    BOOST_TEST(swept["result"] == "done");
    BOOST_TEST(swept["historyRemoved"] == 3);
    BOOST_TEST(swept["chunksRemoved"].get<int>() > 0);
    BOOST_TEST(this->run("sweep").parsed()["result"] == "nothingToDo");
    BOOST_TEST(this->run("get").parsed() == before);
    BOOST_TEST(this->run("history").parsed()["history"].size() == 1U);
    BOOST_TEST_REQUIRE((this->run("apply", {small}).code == ExitCode::Ok));
    BOOST_TEST(this->run("get").parsed()["revision"] == 5);

    this->options.keep = 0;
    BOOST_TEST((this->run("sweep").code == ExitCode::Usage));
    this->options.keep = 1;
    platform().service()->setFaults({.outage = true});
    const Ran refused = this->run("sweep");
    BOOST_TEST((refused.code == ExitCode::Unavailable));
    BOOST_TEST(refused.parsed()["result"] == "unavailable");
}

BOOST_FIXTURE_TEST_CASE(apply_sweeps_at_every_64th_revision, Operator)
{
    BOOST_TEST_REQUIRE((this->run("apply", {small}).code == ExitCode::Ok));
    KeyValueClient client({.port = testPort, .timeout = 300ms});
    const StoredValue stored = client.get(configHeadKey).value();
    ConfigHead head = parseConfigHead(stored.value);
    head.revision.value = 254;
    BOOST_TEST_REQUIRE(
        (client.compareAndSwap(configHeadKey, formatConfigHead(head), stored.modifyIndex) == WriteResult::Applied));
    const std::string unneeded = configChunkKey("unneeded");
    BOOST_TEST_REQUIRE((client.compareAndSwap(unneeded, "old", 0) == WriteResult::Applied));

    BOOST_TEST(this->run("apply", {quispe}).parsed()["revision"] == 255);
    BOOST_TEST(client.get(unneeded).has_value());
    BOOST_TEST(this->run("apply", {small}).parsed()["revision"] == 256);
    BOOST_TEST(!client.get(unneeded).has_value());
    BOOST_TEST(!client.get(configHistoryKey({1})).has_value());
    BOOST_TEST(client.get(configHistoryKey({255})).has_value());
    BOOST_TEST(this->run("get").parsed()["revision"] == 256);
}

BOOST_FIXTURE_TEST_CASE(a_lost_reply_is_resolved_and_an_outage_is_told, Operator)
{
    platform().service()->setFaults({.loseRepliesAfterEffect = 4, .lostReplyHold = 10ms});
    const Ran applied = this->run("apply", {small});
    BOOST_TEST((applied.code == ExitCode::Ok));
    BOOST_TEST(applied.parsed()["result"] == "applied");
    BOOST_TEST(this->run("history").parsed()["history"].size() == 1U);
    platform().service()->setFaults({.outage = true});
    for (const char *command : {"apply", "diff"}) {
        BOOST_TEST((this->run(command, {quispe}).code == ExitCode::Unavailable));
    }
    BOOST_TEST((this->run("get").code == ExitCode::Unavailable));
}

BOOST_FIXTURE_TEST_CASE(apply_waits_until_every_serving_vm_has_the_revision, Operator)
{
    vmServer();
    this->options.wait = true;
    const Ran inForce = this->run("apply", {small});
    BOOST_TEST((inForce.code == ExitCode::Ok));
    BOOST_TEST(inForce.parsed()["inForceEverywhere"] == true);
    const Ran lagging = this->run("apply", {quispe});
    BOOST_TEST((lagging.code == ExitCode::NotInForce));
    BOOST_TEST(lagging.err.find("2 VMs lag behind: vm-1 (revision 1) vm-2 (revision 1)") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(status_and_queries, Operator)
{
    vmServer();
    BOOST_TEST(this->run("status").parsed()["members"].size() == 3U);
    this->options.requestId = "r1";
    this->options.deadline = 150ms;
    const Ran answered = this->run("query", {"tablero-vivo", "stop 7"});
    BOOST_TEST((answered.code == ExitCode::Ok));
    const json echo = answered.parsed();
    BOOST_TEST(echo["path"] == "/v1/indexes/tablero-vivo/query");
    BOOST_TEST(echo["request"]["requestId"] == "r1");
    BOOST_TEST(echo["request"]["deadlineMs"] == 150);
    BOOST_TEST(echo["request"]["query"] == "stop 7");
    BOOST_TEST((this->run("query", {"tablero-vivo", "refuse"}).code == ExitCode::Refused));
    this->options.vm = "127.0.0.1:18629";
    BOOST_TEST((this->run("status").code == ExitCode::Unavailable));
    BOOST_TEST((this->run("query", {"a", "b"}).code == ExitCode::Unavailable));
}

BOOST_FIXTURE_TEST_CASE(wrong_command_lines, Operator)
{
    const Ran unknown = this->run("aply");
    BOOST_TEST((unknown.code == ExitCode::Usage));
    BOOST_TEST(unknown.err.find("did you mean \"apply\"?") != std::string::npos);
    BOOST_TEST(this->run("frobnicate").err.find("did you mean") == std::string::npos);
    BOOST_TEST((this->run("apply").code == ExitCode::Usage));
    BOOST_TEST((this->run("status", {"x"}).code == ExitCode::Usage));
    this->options.platform = "nowhere";
    BOOST_TEST((this->run("get").code == ExitCode::Usage));
    std::ostringstream help;
    printHelp("apply", help);
    BOOST_TEST(help.str().find("usage: hickoryctl apply DIR") == 0U);
}

BOOST_FIXTURE_TEST_CASE(text_output_and_result_codes, Operator)
{
    this->options.json = false;
    BOOST_TEST(this->run("apply", {small}).out.find("published as revision 1") != std::string::npos);
    BOOST_TEST(this->run("diff", {small}).out == "0 changes to revision 1\n");
    BOOST_TEST(this->run("result-codes").out.find("wouldMissDeadline") != std::string::npos);
    this->options.json = true;
    BOOST_TEST(this->run("result-codes").parsed()["resultCodes"].size() > 30U);
}

BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_faults_of_the_command_line)
{
    const std::array<std::pair<std::string, CommandOptions>, 4> wrong{{
        {"--timeout_ms", {.platform = "127.0.0.1:1", .vm = "127.0.0.1:1", .timeout = 0ms}},
        {"--deadline_ms", {.platform = "127.0.0.1:1", .vm = "127.0.0.1:1", .deadline = -1ms}},
        {"--wait_limit_ms", {.platform = "127.0.0.1:1", .vm = "127.0.0.1:1", .waitLimit = -1ms}},
        {"--limit", {.platform = "127.0.0.1:1", .vm = "127.0.0.1:1", .limit = 0}},
    }};
    for (const auto &[flag, options] : wrong) {
        std::ostringstream out;
        std::ostringstream err;
        BOOST_TEST((runCommand("result-codes", {options, {}, out, err}) == ExitCode::Usage), flag);
        BOOST_TEST(err.str().starts_with(flag), err.str());
    }
}

BOOST_AUTO_TEST_CASE(malformed_answers_of_a_vm)
{
    for (const char *wrong : {"", "{}", "[]", R"({"vm":1})"}) {
        BOOST_CHECK_THROW(parseFleetStatus(wrong), std::invalid_argument);
        BOOST_CHECK_THROW(parseEntryPoints(wrong), std::invalid_argument);
    }
}
