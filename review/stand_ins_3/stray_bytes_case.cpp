// One of two replicas sends bytes that belong to no request after some of its answers, late: as the next request comes
// on the connection. The bytes look like a refusal, but bear no request id. Then it answers the request.
#include "fleet.h"

#include <atomic>
#include <functional>

using namespace review;

namespace {

constexpr int clientCount = 4;
constexpr int requestsPerClient = 300;
/// The faulty replica spoils one of so many answers.
constexpr int faultPeriod = 25;
constexpr int answerTimeoutMs = 4000;
constexpr int workMs = 3;
/// What many servers send on a connection on which no request has come for long.
const std::string strayBytes = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n";

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// What the replicas have run, and the answers that break the rule.
struct Counts
{
    std::mutex mutex;
    std::map<std::string, int> runs; ///< By the client's request id.
    std::atomic<int> refusedAfterRun = 0;

    void addRun(const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        ++this->runs[id];
    }

    int runsOf(const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        return this->runs[id];
    }
};

/// Records an answer that is no success.
void countFailure(const std::string &id, const HttpMessage &answer, Counts &counts, Record &record)
{
    // The replica runs the request at once; this leaves it time to have begun.
    sleepMs(2 * workMs);
    const int runs = counts.runsOf(id);
    record.write("client: " + id + " answered " + answer.startLine + ", id '" + answer.header("Request-Id")
                 + "', stamp '" + answer.header("Response-Stamp") + "', run " + std::to_string(runs));
    counts.refusedAfterRun += promisesNotRun(answer.status()) && runs > 0 ? 1 : 0;
}

/// Sends requests one after the other.
void sendRequests(const Vm &vm, int client, Counts &counts, Record &record)
{
    std::unique_ptr<HttpStream> stream;
    for (int number = 0; number < requestsPerClient; ++number) {
        stream = stream == nullptr ? connectTo(vm.front()) : std::move(stream);
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
        const HttpMessage request{.startLine = "POST /charge/room HTTP/1.1",
                                  .headers = {{"Host", "case.example"}, {"Request-Id", id}, {"Time-Budget-Ms", "3000"}},
                                  .body = {}};
        const bool isSent = stream != nullptr && stream->send(formatMessage(request));
        const auto answer = isSent ? stream->read(answerTimeoutMs) : std::nullopt;
        if (!answer.has_value()) {
            record.write("client: " + id + " got no answer");
            stream.reset();
        } else if (answer->status() != 200) {
            countFailure(id, *answer, counts, record);
        }
    }
}

/// Serves a request. If it is spoilt, the bytes that follow the answer before come first.
bool serve(HttpStream &stream, const HttpMessage &request, bool isSpoilt, Counts &counts, Record &record)
{
    const std::string id = request.header("Request-Id");
    if (isSpoilt) {
        record.write("replica: stray bytes before the answer to " + id);
        if (!stream.send(strayBytes)) {
            return false;
        }
    }
    counts.addRun(id);
    sleepMs(workMs);
    return stream.send(formatMessage(stampedAnswer(request, 200, "done")));
}

std::vector<std::unique_ptr<Replica>> startReplicas(Store &store,
                                                    const Network &network,
                                                    Counts &counts,
                                                    Record &record)
{
    static std::atomic<int> arrivals = 0;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= 2; ++number) {
        const bool isFaulty = withTrouble() && number == 1;
        replicas.push_back(std::make_unique<Replica>(store,
                                                     Replica::Identity{.id = "i-" + std::to_string(number),
                                                                       .service = "ledger",
                                                                       .address = network.ip(2, number) + ":9000",
                                                                       .zone = "zone-a"},
                                                     [&, isFaulty](HttpStream &stream, const HttpMessage &request) {
                                                         // Each connection has a thread of its own. The bytes follow an
                                                         // earlier answer.
                                                         thread_local int answered = 0;
                                                         const bool isSpoilt = isFaulty && ++arrivals % faultPeriod == 0
                                                             && answered > 0;
                                                         ++answered;
                                                         return serve(stream, request, isSpoilt, counts, record);
                                                     }));
    }
    return replicas;
}

bool holds(Record &record)
{
    const Network network;
    const TemporaryFolder folder;
    const std::string storeAddress = network.ip(0, 1) + ":8102";
    Store store(storeAddress);
    Counts counts;
    const auto replicas = startReplicas(store, network, counts, record);
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
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back(sendRequests, std::cref(*vms[0]), client, std::ref(counts), std::ref(record));
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.write("of " + std::to_string(clientCount * requestsPerClient) + " requests "
                 + std::to_string(counts.refusedAfterRun) + " were answered \"not run\" though they had run");
    return counts.refusedAfterRun == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
