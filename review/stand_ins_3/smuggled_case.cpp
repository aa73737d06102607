// A client sends a request inside the body of another one, with a Transfer-Encoding that doesn't end in "chunked".
#include "fleet.h"

#include <array>
#include <stdexcept>
#include <string_view>

using namespace review;

namespace {

constexpr int answerTimeoutMs = 1500;
constexpr std::array<std::string_view, 3> encodings = {"chunked, identity", "identity", "gzip"};

/// What a replica has run.
struct Run
{
    std::string id;
    std::string target;
    std::string body;
};

class Runs
{
public:
    void add(const HttpMessage &request)
    {
        const std::lock_guard lock(this->mutex);
        this->all.push_back({request.header("Request-Id"), request.target(), request.body});
    }

    std::vector<Run> list()
    {
        const std::lock_guard lock(this->mutex);
        return this->all;
    }

private:
    std::mutex mutex;
    std::vector<Run> all;
};

std::string requestHead(std::string_view method, std::string_view target, const std::string &id)
{
    return std::string(method) + " " + std::string(target) + " HTTP/1.1\r\nHost: case.example\r\nRequest-Id: " + id
        + "\r\nTime-Budget-Ms: 1000\r\n";
}

/// The body that the client sends: the bytes of another request, which nobody sends.
std::string bodyOf(int number)
{
    return requestHead("POST", "/charge/hidden", "hidden-" + std::to_string(number)) + "Content-Length: 0\r\n\r\n";
}

/// Sends one request over a connection of its own and records all answers.
void sendRequest(const Vm &vm, int number, const std::string &framing, Record &record)
{
    const std::string id = "sent-" + std::to_string(number);
    const auto stream = connectTo(vm.front());
    if (stream == nullptr) {
        throw std::runtime_error("cannot connect to the VM");
    }
    record.write("client: sends " + id + " with " + framing);
    stream->send(requestHead("POST", "/charge/room", id) + framing + "\r\n\r\n" + bodyOf(number));
    while (const auto answer = stream->read(answerTimeoutMs)) {
        record.write("client: on the connection of " + id + ": " + answer->startLine + ", id "
                     + answer->header("Request-Id"));
    }
}

/// Returns how many runs nobody asked for.
int countUnasked(const std::vector<Run> &runs, Record &record)
{
    int broken = 0;
    for (const Run &run : runs) {
        const bool isHidden = run.id.starts_with("hidden-");
        const int number = std::stoi(run.id.substr(run.id.find('-') + 1));
        const bool isChanged = !isHidden && run.body != bodyOf(number);
        record.write("replica: ran " + run.target + " of " + run.id + " with a body of "
                     + std::to_string(run.body.size()) + " bytes" + (isHidden ? ", UNASKED broken: smuggled" : "")
                     + (isChanged ? ", UNASKED broken: body changed" : ""));
        broken += isHidden || isChanged ? 1 : 0;
    }
    return broken;
}

bool holds(Record &record)
{
    const Network network;
    const TemporaryFolder folder;
    const std::string storeAddress = network.ip(0, 1) + ":8102";
    Store store(storeAddress);
    Runs runs;
    const Replica replica(store,
                          {.id = "i-1", .service = "ledger", .address = network.ip(2, 1) + ":9000", .zone = "zone-a"},
                          [&runs](HttpStream &stream, const HttpMessage &request) {
                              runs.add(request);
                              return stream.send(formatMessage(stampedAnswer(request, 200, "done")));
                          });
    store.put(
        "op/config",
        configurationText(
            5,
            {{.name = "charge", .prefix = "/charge/", .kind = "non_idempotent", .target = R"("service":"ledger")"}},
            {"ledger"}));
    Vm vm("front-1", network.ip(1, 1), "zone-a", storeAddress, folder.path());
    vm.configure({.seeds = {vm.ip()}});
    vm.start();
    if (!vm.waitUntilReady()) {
        throw std::runtime_error("the VM did not become ready");
    }
    int number = 0;
    for (const std::string_view encoding : encodings) {
        ++number;
        const std::string length = "Content-Length: " + std::to_string(bodyOf(number).size());
        sendRequest(vm, number, withTrouble() ? "Transfer-Encoding: " + std::string(encoding) : length, record);
    }
    return countUnasked(runs.list(), record) == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
