// One of two replicas sends bytes that belong to no request after some of its answers, late: as the next request comes
// on the connection. The bytes look like a refusal, but bear no request id. Then it answers the request.
#include "fleet.h"

#include <atomic>
#include <functional>
#include <string_view>

using namespace review;

namespace {

constexpr int clientCount = 4;
constexpr int requestsPerClient = 300;
/// The faulty replica spoils one of so many answers.
constexpr int faultPeriod = 25;
constexpr int answerTimeoutMs = 4000;
constexpr int workMs = 3;
/// Of all requests, as many may be ended with a 4xx of the system's own: 5, and one in 500.
constexpr int allowedBase = 5;
constexpr int allowedDivisor = 500;
constexpr std::string_view strayBytes = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

bool isDenied(int status)
{
    return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
}

/// Sends requests one after the other, and counts those that are ended with a status that no replica gave.
void sendRequests(const Vm &vm, int client, std::atomic<int> &denied, Record &record)
{
    std::unique_ptr<HttpStream> stream;
    for (int number = 0; number < requestsPerClient; ++number) {
        stream = stream == nullptr ? connectTo(vm.front()) : std::move(stream);
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
        const HttpMessage request{.startLine = "GET /boards/stop HTTP/1.1",
                                  .headers = {{"Host", "case.example"}, {"Request-Id", id}, {"Time-Budget-Ms", "3000"}},
                                  .body = {}};
        const bool isSent = stream != nullptr && stream->send(formatMessage(request));
        const auto answer = isSent ? stream->read(answerTimeoutMs) : std::nullopt;
        if (!answer.has_value()) {
            record.write("client: " + id + " got no answer");
            stream.reset();
        } else if (answer->status() != 200) {
            record.write("client: " + id + " answered " + answer->startLine + ", id '" + answer->header("Request-Id")
                         + "', stamp '" + answer->header("Response-Stamp") + "'");
            denied += isDenied(answer->status()) ? 1 : 0;
        }
    }
}

/// Serves a request. Where `isSpoilt`, the bytes that follow the answer before come first.
bool serve(HttpStream &stream, const HttpMessage &request, bool isSpoilt, Record &record)
{
    if (isSpoilt) {
        record.write("replica: stray bytes before the answer to " + request.header("Request-Id"));
        if (!stream.send(strayBytes)) {
            return false;
        }
    }
    sleepMs(workMs);
    return stream.send(formatMessage(stampedAnswer(request, 200, "board")));
}

bool holds(Record &record)
{
    const Network network;
    const TemporaryFolder folder;
    const std::string storeAddress = network.ip(0, 1) + ":8102";
    Store store(storeAddress);
    std::atomic<int> arrivals = 0;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= 2; ++number) {
        const bool isFaulty = withTrouble() && number == 1;
        replicas.push_back(std::make_unique<Replica>(store,
                                                     Replica::Identity{.id = "i-" + std::to_string(number),
                                                                       .service = "boards",
                                                                       .address = network.ip(2, number) + ":9000",
                                                                       .zone = "zone-a"},
                                                     [&, isFaulty](HttpStream &stream, const HttpMessage &request) {
                                                         const bool isSpoilt
                                                             = isFaulty && ++arrivals % faultPeriod == 0;
                                                         return serve(stream, request, isSpoilt, record);
                                                     }));
    }
    store.put("op/config",
              configurationText(
                  5,
                  {{.name = "boards", .prefix = "/boards/", .kind = "idempotent", .target = R"("service":"boards")"}},
                  {"boards"}));
    std::vector<std::unique_ptr<Vm>> vms;
    vms.push_back(std::make_unique<Vm>("front-1", network.ip(1, 1), "zone-a", storeAddress, folder.path()));
    vms[0]->configure({.seeds = {vms[0]->ip()}});
    startAll(vms);
    std::atomic<int> denied = 0;
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back(sendRequests, std::cref(*vms[0]), client, std::ref(denied), std::ref(record));
    }
    for (std::thread &client : clients) {
        client.join();
    }
    constexpr int total = clientCount * requestsPerClient;
    constexpr int allowed = allowedBase + total / allowedDivisor;
    record.write(std::to_string(denied) + " of " + std::to_string(total) + " requests denied, "
                 + std::to_string(allowed) + " allowed");
    return denied <= allowed;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
