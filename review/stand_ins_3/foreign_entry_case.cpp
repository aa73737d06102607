// Another writer puts entries under the ids of a service's replicas. They name another service, and a field of theirs
// is missing or of another type, so that they name no replica to use.
#include "fleet.h"

#include <array>
#include <atomic>
#include <functional>
#include <string_view>

using namespace review;

namespace {

constexpr int replicasPerService = 2;
constexpr int clientCount = 2;
constexpr int requestPauseMs = 10;
constexpr int answerTimeoutMs = 3000;
constexpr int beforeMs = 2000;
/// Between two foreign entries; the replica itself writes its entry again with its next heartbeat.
constexpr int entryPauseMs = 2000;

/// What such an entry says of the fields that replicas write beside service, address, zone, slots and state.
constexpr std::array<std::string_view, 3> foreignFields = {
    R"("version":"v1","warmup_left_ms":0,"born":1700000000000)",
    R"("version":"v1","warmup_left_ms":0,"sequence":"seven","born":1700000000000)",
    R"("warmup_left_ms":0,"sequence":7)",
};

/// Requests that ran at another service than their route's.
class Runs
{
public:
    void add(const std::string &service, const HttpMessage &request, Record &record)
    {
        const std::lock_guard lock(this->mutex);
        ++this->all;
        if (!request.target().starts_with("/" + service + "/")) {
            ++this->foreign;
            record.write("replica of " + service + ": runs " + request.header("Request-Id") + " for " + request.target()
                         + ", ROUTE broken");
        }
    }

    int countForeign()
    {
        const std::lock_guard lock(this->mutex);
        return this->foreign;
    }

    int count()
    {
        const std::lock_guard lock(this->mutex);
        return this->all;
    }

private:
    std::mutex mutex;
    int all = 0;
    int foreign = 0;
};

void sendRequests(const Vm &vm, int client, const std::atomic<bool> &stopping, std::atomic<int> &foreign)
{
    std::unique_ptr<HttpStream> stream;
    for (int number = 0; !stopping; ++number) {
        const HttpMessage request{.startLine = "GET /boards/stop HTTP/1.1",
                                  .headers
                                  = {{"Host", "case.example"},
                                     {"Request-Id", "c" + std::to_string(client) + "-" + std::to_string(number)},
                                     {"Time-Budget-Ms", "2000"}},
                                  .body = {}};
        stream = stream == nullptr ? connectTo(vm.front()) : std::move(stream);
        const bool isSent = stream != nullptr && stream->send(formatMessage(request));
        const auto answer = isSent ? stream->read(answerTimeoutMs) : std::nullopt;
        if (!answer.has_value()) {
            stream.reset();
        } else if (answer->status() == 200 && answer->body != "boards") {
            ++foreign;
        }
        sleepMs(requestPauseMs);
    }
}

/// Writes the entries of another writer, one after the other.
void writeForeignEntries(Store &store, const std::vector<std::unique_ptr<Replica>> &replicas, Record &record)
{
    for (const std::string_view fields : foreignFields) {
        for (const auto &replica : replicas) {
            const Replica::Identity &own = replica->identity();
            if (own.service == "boards") {
                continue;
            }
            const std::string entry = R"({"service":"boards","address":")" + own.address + R"(","zone":")" + own.zone
                + R"(","slots":8,"state":"ready",)" + std::string(fields) + "}";
            record.write("another writer: servers/" + own.id + " = " + entry);
            store.put("servers/" + own.id, entry);
        }
        sleepMs(entryPauseMs);
    }
}

std::vector<std::unique_ptr<Replica>> startReplicas(Store &store, const Network &network, Runs &runs, Record &record)
{
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= 2 * replicasPerService; ++number) {
        const std::string service = number <= replicasPerService ? "boards" : "ledger";
        replicas.push_back(
            std::make_unique<Replica>(store,
                                      Replica::Identity{.id = "i-" + std::to_string(number),
                                                        .service = service,
                                                        .address = network.ip(2, number) + ":9000",
                                                        .zone = "zone-a"},
                                      [&runs, &record, service](HttpStream &stream, const HttpMessage &request) {
                                          runs.add(service, request, record);
                                          sleepMs(2);
                                          return stream.send(formatMessage(stampedAnswer(request, 200, service)));
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
    Runs runs;
    const auto replicas = startReplicas(store, network, runs, record);
    store.put("op/config",
              configurationText(
                  5,
                  {{.name = "boards", .prefix = "/boards/", .kind = "idempotent", .target = R"("service":"boards")"},
                   {.name = "ledger", .prefix = "/ledger/", .kind = "idempotent", .target = R"("service":"ledger")"}},
                  {"boards", "ledger"}));
    std::vector<std::unique_ptr<Vm>> vms;
    vms.push_back(std::make_unique<Vm>("front-1", network.ip(1, 1), "zone-a", storeAddress, folder.path()));
    vms[0]->configure({.seeds = {vms[0]->ip()}});
    startAll(vms);
    std::atomic<bool> stopping = false;
    std::atomic<int> foreign = 0;
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back(sendRequests, std::cref(*vms[0]), client, std::cref(stopping), std::ref(foreign));
    }
    sleepMs(beforeMs);
    if (withTrouble()) {
        writeForeignEntries(store, replicas, record);
    }
    stopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    record.write(std::to_string(runs.countForeign()) + " of " + std::to_string(runs.count())
                 + " requests ran at another service; clients got " + std::to_string(foreign)
                 + " answers of another service");
    return runs.countForeign() == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
