// All processes are killed and start again. Meanwhile another writer puts entries under the ids of a service's
// replicas: copies of theirs that say "draining" and lack a field, so that they name no replica.
#include "fleet.h"

#include <atomic>
#include <functional>

using namespace review;

namespace {

constexpr int vmCount = 3;
constexpr int replicaCount = 2;
constexpr int downMs = 700;
/// recover_s of the settings.
constexpr int recoverMs = 12'000;
constexpr int measuredMs = 4000;
constexpr int entryPauseMs = 300;
constexpr int answerTimeoutMs = 1500;
constexpr int requestPauseMs = 20;
/// RECOVER: less than a quarter is served, though a quarter or more was before.
constexpr int leastPercent = 25;

using Vms = std::vector<std::unique_ptr<Vm>>;
using Replicas = std::vector<std::unique_ptr<Replica>>;

/// Requests that were sent and served in the time that is measured.
struct Share
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;

    int percent() const
    {
        return this->sent == 0 ? 0 : 100 * this->served / this->sent;
    }
};

void sendRequests(const Vm &vm, const std::string &name, Share &share)
{
    std::unique_ptr<HttpStream> stream;
    const auto end = Clock::now() + std::chrono::milliseconds(measuredMs);
    for (int number = 0; Clock::now() < end; ++number) {
        const HttpMessage request{.startLine = "GET /boards/stop HTTP/1.1",
                                  .headers = {{"Host", "case.example"},
                                              {"Request-Id", vm.name() + "-" + name + "-" + std::to_string(number)},
                                              {"Time-Budget-Ms", "1000"}},
                                  .body = {}};
        stream = stream == nullptr ? connectTo(vm.front()) : std::move(stream);
        ++share.sent;
        const bool isSent = stream != nullptr && stream->send(formatMessage(request));
        const auto answer = isSent ? stream->read(answerTimeoutMs) : std::nullopt;
        share.served += answer.has_value() && answer->status() == 200 ? 1 : 0;
        if (!answer.has_value()) {
            stream.reset();
        }
        sleepMs(requestPauseMs);
    }
}

/// Sends requests to all VMs for a while, and returns the share that was served, in percent.
int measure(const Vms &vms, const std::string &name, Record &record)
{
    Share share;
    std::vector<std::thread> clients;
    for (const auto &vm : vms) {
        clients.emplace_back(sendRequests, std::cref(*vm), name, std::ref(share));
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.write(name + ": " + std::to_string(share.served) + " of " + std::to_string(share.sent) + " requests served");
    return share.percent();
}

/// Writes the entries of another writer until it is told to stop.
void writeEntries(Store &store, const Replicas &replicas, const std::atomic<bool> &stopping, Record &record)
{
    while (!stopping) {
        for (const auto &replica : replicas) {
            const Replica::Identity &own = replica->identity();
            const std::string entry = R"({"service":"boards","address":")" + own.address + R"(","zone":")" + own.zone
                + R"(","version":"v1","slots":8,"state":"draining","warmup_left_ms":0,"born":)"
                + std::to_string(replica->startedAt()) + "}";
            record.write("another writer: servers/" + own.id + " = " + entry);
            store.put("servers/" + own.id, entry);
        }
        sleepMs(entryPauseMs);
    }
}

/// The final fault: all processes are killed, and start again.
void restartAll(const Vms &vms, Store &store, const Replicas &replicas, Record &record)
{
    record.write("all processes are killed");
    for (const auto &vm : vms) {
        vm->kill();
    }
    std::atomic<bool> stopping = false;
    std::thread writer;
    if (withTrouble()) {
        writer = std::thread(writeEntries, std::ref(store), std::cref(replicas), std::cref(stopping), std::ref(record));
    }
    sleepMs(downMs);
    startAll(vms);
    record.write("all VMs are ready again");
    stopping = true;
    if (writer.joinable()) {
        writer.join();
    }
}

bool holds(Record &record)
{
    const Network network;
    const TemporaryFolder folder;
    const std::string storeAddress = network.ip(0, 1) + ":8102";
    Store store(storeAddress);
    Replicas replicas;
    for (int number = 1; number <= replicaCount; ++number) {
        replicas.push_back(std::make_unique<Replica>(store,
                                                     Replica::Identity{.id = "i-" + std::to_string(number),
                                                                       .service = "boards",
                                                                       .address = network.ip(2, number) + ":9000",
                                                                       .zone = "zone-a"},
                                                     [](HttpStream &stream, const HttpMessage &request) {
                                                         return stream.send(
                                                             formatMessage(stampedAnswer(request, 200, "board")));
                                                     }));
    }
    store.put("op/config",
              configurationText(
                  5,
                  {{.name = "boards", .prefix = "/boards/", .kind = "idempotent", .target = R"("service":"boards")"}},
                  {"boards"}));
    Vms vms;
    for (int number = 1; number <= vmCount; ++number) {
        vms.push_back(std::make_unique<Vm>(
            "front-" + std::to_string(number), network.ip(1, number), "zone-a", storeAddress, folder.path()));
        vms.back()->configure({.seeds = {network.ip(1, 1), network.ip(1, 2), network.ip(1, 3)}});
    }
    startAll(vms);
    sleepMs(1000);
    const int before = measure(vms, "before", record);
    restartAll(vms, store, replicas, record);
    sleepMs(recoverMs);
    const int after = measure(vms, "after", record);
    return before < leastPercent || after >= leastPercent;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
