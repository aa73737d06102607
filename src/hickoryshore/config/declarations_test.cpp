#include "hickoryshore/config/declarations.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

const std::string dataCentre = R"({"kind": "DataCentre", "name": "lima-callao", "region": "lima"})";
const std::string policy = R"({"kind": "Policy", "name": "boards"})";

/// Returns an index on three lines: the fields, the shards and the closing brace.
std::string indexText(const std::string &fields, const std::string &shards)
{
    return R"({"kind": "Index", "name": "tablero-vivo", )" + fields + ",\n\"shards\": " + shards + "\n}";
}

const std::string boardsPolicy = R"("policy": "boards")";
const std::string oneShard
    = R"([{"name": "00", "replicas": [{"address": "127.0.0.1:9000", "dataCentre": "lima-callao"}]}])";

std::vector<DeclarationFault> faultsOf(const std::string &text)
{
    const std::vector<DeclarationFile> files{{"dc.json", dataCentre}, {"policy.json", policy}, {"a.json", text}};
    return parseDeclarations(files).faults;
}

/// A text with one fault, and the fault to expect.
struct ExpectedFault
{
    std::string text;
    int line;
    std::string object;
    std::string path;
    std::string problem; ///< A substring of the reported problem.
};

void check(const ExpectedFault &expected)
{
    const std::vector<DeclarationFault> faults = faultsOf(expected.text);
    BOOST_TEST_CONTEXT(expected.text)
    {
        BOOST_TEST_REQUIRE(faults.size() == 1U);
        BOOST_TEST(faults[0].file == "a.json");
        BOOST_TEST(faults[0].line == expected.line);
        BOOST_TEST(faults[0].object == expected.object);
        BOOST_TEST(faults[0].path == expected.path);
        BOOST_TEST(faults[0].problem.find(expected.problem) != std::string::npos, formatFault(faults[0]));
    }
}

const std::string indexObject = "Index tablero-vivo";

} // namespace

BOOST_AUTO_TEST_CASE(a_complete_set_is_read)
{
    const std::string index = indexText(
        R"(// The boards.
"policy": "boards", "routing": "direct", "slotsPerReplica": 3, "connectionsPerReplica": 50, "connectionCostMs": 6.5)",
        oneShard);
    const std::string others = R"([{"kind": "Caller", "name": "dispatch", "weight": 2.5},
/* a comment */ {"kind": "Policy", "name": "boards", "defaultDeadlineMs": 150, "answerByMs": 120.5}])";
    const std::vector<DeclarationFile> files{{"a", dataCentre}, {"b", index}, {"c", others}};
    const ParsedDeclarations parsed = parseDeclarations(files);
    BOOST_TEST(parsed.faults.empty());
    const Index &read = *findIndex(parsed.deployment, "tablero-vivo");
    BOOST_TEST((read.routing == Routing::Direct));
    BOOST_TEST(read.slotsPerReplica == 3);
    BOOST_TEST(read.connectionsPerReplica == 50);
    BOOST_TEST((read.connectionCost == 6500us));
    BOOST_TEST(read.shards.at(0).name.value == "tablero-vivo/00");
    BOOST_TEST(read.shards.at(0).replicas.at(0).address.value == "127.0.0.1:9000");
    BOOST_TEST(findCaller(parsed.deployment, "dispatch")->weight == 2.5);
    BOOST_TEST((findPolicy(parsed.deployment, "boards")->softDeadline == 120500us));
    BOOST_TEST(findDataCentre(parsed.deployment, "lima-callao")->region.value == "lima");
}

BOOST_AUTO_TEST_CASE(each_wrong_declaration_is_reported_at_its_location)
{
    const std::string good = indexText(boardsPolicy, oneShard);
    BOOST_TEST(faultsOf(good).empty());
    const std::string badPolicy = "[\n" + good + ",\n{\"kind\": \"Policy\",\n\"name\": \"p\",\n";
    const auto withShards = [](const std::string &shards) {
        return indexText(boardsPolicy, shards);
    };
    const auto withReplicas = [&withShards](const std::string &replicas) {
        return withShards("[\n{\"name\": \"00\",\n\"replicas\": [\n" + replicas + "\n]}]");
    };
    const std::string replica = R"({"address": "127.0.0.1:9000", "dataCentre": "lima-callao"})";
    const std::vector<ExpectedFault> cases{
        {"{\n\"kind\" 3}", 2, "", "", "syntax error"},
        {"[\n7,\n" + good + "]", 2, "", "[0]", "wrong type"},
        {"[{\n\"kind\": \"Indx\"},\n" + good + "]", 2, "", "[0].kind", "unknown"},
        {"[{\n},\n" + good + "]", 1, "", "[0].kind", "missing"},
        {badPolicy + "\"hedgeBudget\": 1.5\n}]", 7, "Policy p", "hedgeBudget", "out of range"},
        {badPolicy + "\"hedgeBudget\":\n\"no\"\n}]", 8, "Policy p", "hedgeBudget", "wrong type"},
        {badPolicy + "\"maximumQueue\": 1.5\n}]", 7, "Policy p", "maximumQueue", "wrong type"},
        {badPolicy + "\"minimumCoverage\": -1\n}]", 7, "Policy p", "minimumCoverage", "out of range"},
        {badPolicy + "\"defaultDeadlineMs\": 0\n}]", 7, "Policy p", "defaultDeadlineMs", "out of range"},
        {badPolicy + "\"answerByMs\": 151\n}]", 7, "Policy p", "answerByMs", "never be reached"},
        {badPolicy + "\"answerBy\": 100\n}]", 7, "Policy p", "answerBy", "unknown key"},
        {badPolicy + "\"retryBudget\": 0,\n\"retryBudget\": 0.1\n}]", 8, "Policy p", "retryBudget", "appears twice"},
        {"[" + good + ",\n" + policy + "]", 4, "Policy boards", "name", "first at policy.json:1"},
        {"[" + good + R"(,{"kind": "Caller", "name": "Aa"}])", 3, "Caller Aa", "name", "not a name"},
        {"[" + good + R"(,{"kind": "Caller", "name": "a", "weight": 0}])", 3, "Caller a", "weight", "out of range"},
        {"[" + good + R"(,{"kind": "DataCentre", "name": "a"}])", 3, "DataCentre a", "region", "missing"},
        {indexText("\"policy\":\n\"ledgers\"", oneShard), 2, indexObject, "policy", "no Policy \"ledgers\""},
        {indexText(boardsPolicy + R"(, "routing": "hash")", oneShard), 1, indexObject, "routing", "unknown"},
        {indexText(boardsPolicy + R"(, "connectionsPerReplica": 1)", oneShard),
         1,
         indexObject,
         "connectionsPerReplica",
         "below slotsPerReplica"},
        {withShards("[]"), 2, indexObject, "shards", "empty"},
        {withShards("\n{}"), 3, indexObject, "shards", "wrong type"},
        {withShards("[\n1]"), 3, indexObject, "shards[0]", "wrong type"},
        {withShards("[{\"name\": \"00\",\n\"replicas\": []}]"), 3, indexObject, "shards[0].replicas", "empty"},
        {withReplicas(replica + ",\n" + replica), 6, indexObject, "shards[0].replicas[1].address", "appears twice"},
        {withReplicas("{\"address\": \"127.0.0.1:9000\",\n\"dataCentre\": \"cusco\"}"),
         6,
         indexObject,
         "shards[0].replicas[0].dataCentre",
         "no DataCentre \"cusco\""},
        {withReplicas("{\"address\": \"127.0.0.1\",\n\"dataCentre\": \"lima-callao\"}"),
         5,
         indexObject,
         "shards[0].replicas[0].address",
         "not an address"},
        {withReplicas("{\"address\": \"127.0.0.1:9000\",\n\"dataCentre\": \"lima-callao\", \"draining\": 1}"),
         6,
         indexObject,
         "shards[0].replicas[0].draining",
         "wrong type"},
        {withShards("[{\"name\": \"00\", \"replicas\": [" + replica + "]},\n{\"name\": \"01\", \"replicas\": [\n"
                    + replica + "]}]"),
         4,
         indexObject,
         "shards[1].replicas[0].address",
         "is a replica of the shard tablero-vivo/00 too"},
        {withShards("[{\"name\": \"00\", \"replicas\": [" + replica
                    + "]},\n{\"name\":\n\"00\", \"replicas\": [{\"address\": \"127.0.0.2:9000\", "
                      "\"dataCentre\": \"lima-callao\"}]}]"),
         4,
         indexObject,
         "shards[1].name",
         "declared twice"},
    };
    for (const ExpectedFault &expected : cases) {
        check(expected);
    }
}

BOOST_AUTO_TEST_CASE(addresses_are_ip_numbers_with_a_port)
{
    for (const std::string wrong : {"localhost:80",
                                    "1.2.3:80",
                                    "1.2.3.4.5:80",
                                    "1.2.3.256:80",
                                    "1.2.3.4:0",
                                    "1.2.3.4:",
                                    "1.2.3.4:65536",
                                    "1.2.3.4:80 ",
                                    " 1.2.3.4:80",
                                    "01.2.3.4:80",
                                    "1.2.3.-4:80"}) {
        const std::string replica = R"({"address": ")" + wrong + R"(", "dataCentre": "lima-callao"})";
        const std::string shards = R"([{"name": "00", "replicas": [)" + replica + "]}]";
        BOOST_TEST(faultsOf(indexText(boardsPolicy, shards)).size() == 1U, wrong);
    }
}

BOOST_AUTO_TEST_CASE(every_fault_is_reported_not_only_the_first)
{
    const std::string text = "[{\"kind\": \"Caller\", \"name\": \"A\", \"weight\": -1, \"x\": 1},\n"
                             "{\"kind\": \"Index\", \"name\": \"i\", \"policy\": \"none\", \"shards\": []}]";
    const std::vector<DeclarationFault> faults = faultsOf(text);
    BOOST_TEST(faults.size() == 5U);
    BOOST_TEST(formatFault(faults.back()).find("a.json:2: Index i: ") == 0U);
}

BOOST_AUTO_TEST_CASE(a_set_without_an_index_is_rejected)
{
    const std::vector<DeclarationFile> none;
    BOOST_TEST(parseDeclarations(none).faults.size() == 1U);
}

BOOST_AUTO_TEST_CASE(damaged_text_is_reported_and_never_crashes)
{
    const std::string good = "[" + dataCentre + "," + policy + "," + indexText(boardsPolicy, oneShard) + "]";
    const bool held = rc::check([&good] {
        std::string text = good;
        const auto edits = *rc::gen::inRange(1, 4);
        for (int edit = 0; edit < edits; ++edit) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            text[position] = *rc::gen::element('{', '}', '[', ']', '"', ',', ':', '0', 'a', '\n', '/', '\x80');
        }
        const std::vector<DeclarationFile> files{{"a.json", text}};
        const ParsedDeclarations parsed = parseDeclarations(files);
        const int lines = static_cast<int>(std::ranges::count(text, '\n')) + 1;
        for (const DeclarationFault &fault : parsed.faults) {
            RC_ASSERT(!fault.problem.empty());
            RC_ASSERT(fault.line >= 0 && fault.line <= lines);
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_rejected)
{
    BOOST_TEST(faultsOf(std::string(100'000, '[')).size() == 1U);
}
