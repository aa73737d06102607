// Some replicas run a part of their requests, which must not run twice, and then answer 503. They do not say that they
// have not run them.
#include "fleet.h"

#include <atomic>

using namespace review;

namespace {

constexpr int requestCount = 250;
/// Two of four replicas are faulty, and fail two of five requests.
constexpr int replicaCount = 4;
constexpr int faultyCount = 2;
constexpr int faultPeriod = 5;
constexpr int faultsPerPeriod = 2;
constexpr int answerTimeoutMs = 4000;
constexpr int workMs = 3;
constexpr int pauseMs = 15;

/// What the replicas have run, by the client's request id.
class Runs
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        ++this->byId[id];
    }

    int of(const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        return this->byId[id];
    }

private:
    std::mutex mutex;
    std::map<std::string, int> byId;
};

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Sends the requests one after the other over one connection. Returns how many were answered "not run" though they
/// had run.
int sendRequests(const Vm &vm, Runs &runs, Record &record)
{
    int broken = 0;
    std::unique_ptr<HttpStream> stream;
    for (int number = 0; number < requestCount; ++number) {
        stream = stream == nullptr ? connectTo(vm.front()) : std::move(stream);
        const std::string id = "r-" + std::to_string(number);
        const HttpMessage request{.startLine = "POST /charge/room HTTP/1.1",
                                  .headers = {{"Host", "case.example"}, {"Request-Id", id}, {"Time-Budget-Ms", "3000"}},
                                  .body = "one bottle"};
        const bool isSent = stream != nullptr && stream->send(formatMessage(request));
        const auto answer = isSent ? stream->read(answerTimeoutMs) : std::nullopt;
        if (!answer.has_value()) {
            record.write("client: " + id + " got no answer");
            stream.reset();
            continue;
        }
        const int count = runs.of(id);
        const bool isBroken = promisesNotRun(answer->status()) && count > 0;
        record.write("client: " + id + " answered " + std::to_string(answer->status()) + ", run "
                     + std::to_string(count) + (isBroken ? ", REFUSED broken" : ""));
        broken += isBroken ? 1 : 0;
        sleepMs(pauseMs);
    }
    return broken;
}

/// Serves a request at a replica that may be faulty.
bool serve(HttpStream &stream, const HttpMessage &request, bool fails, Runs &runs, Record &record)
{
    const std::string id = request.header("Request-Id");
    runs.add(id);
    sleepMs(workMs);
    if (fails) {
        record.write("replica: ran " + id + " and answers 503");
    }
    return stream.send(formatMessage(stampedAnswer(request, fails ? 503 : 200, fails ? "failed" : "done")));
}

bool holds(Record &record)
{
    const Network network;
    const TemporaryFolder folder;
    const std::string storeAddress = network.ip(0, 1) + ":8102";
    Store store(storeAddress);
    Runs runs;
    std::atomic<int> arrivals = 0;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= replicaCount; ++number) {
        const bool isFaulty = withTrouble() && number <= faultyCount;
        replicas.push_back(std::make_unique<Replica>(store,
                                                     Replica::Identity{.id = "i-" + std::to_string(number),
                                                                       .service = "ledger",
                                                                       .address = network.ip(2, number) + ":9000",
                                                                       .zone = "zone-a"},
                                                     [&, isFaulty](HttpStream &stream, const HttpMessage &request) {
                                                         const bool fails
                                                             = isFaulty && ++arrivals % faultPeriod < faultsPerPeriod;
                                                         return serve(stream, request, fails, runs, record);
                                                     }));
    }
    store.put(
        "op/config",
        configurationText(
            5,
            {{.name = "charge", .prefix = "/charge/", .kind = "non_idempotent", .target = R"("service":"ledger")"}},
            {"ledger"}));
    std::vector<std::unique_ptr<Vm>> vms;
    vms.push_back(std::make_unique<Vm>("front-1", network.ip(1, 1), "zone-a", storeAddress, folder.path()));
    vms[0]->configure({.seeds = {vms[0]->ip()}});
    startAll(vms);
    return sendRequests(*vms[0], runs, record) == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
