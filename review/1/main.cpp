// A non-idempotent request is answered 421, though a replica has run it: the address of a crashed replica has passed to
// another service, which rejects the first attempt, and the answer to the second attempt is lost.
#include "../stand_ins/replica.h"

#include <cstdio>
#include <exception>
#include <set>

namespace {

using namespace review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
constexpr int queueLength = 8;
constexpr int chargesBefore = 10;
constexpr int mostChargesInReuse = 12;
constexpr Milliseconds clientTimeout{3500};
/// After a replica has ended, its address may belong to another service after reuse_after_s.
constexpr Milliseconds reuseAfter{2000};
/// The entry of a replica that crashes is removed after three heartbeat intervals.
constexpr Milliseconds entryLapse{3600};
/// A replica loses at most this share of the answers to what it ran.
constexpr double lostShare = 0.4;

constexpr const char *configuration
    = R"({"version":7,"routes":[{"name":"r-charge","host":"quispe.example","prefix":"/charge/","kind":"non_idempotent",)"
      R"("timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"ledger","attempts":2},)"
      R"({"name":"r-desk","host":"quispe.example","prefix":"/desk/","kind":"idempotent","timeout_ms":3000,)"
      R"("target_latency_ms":300,"priority":2,"service":"desk","attempts":2}],"services":[)"
      R"({"name":"ledger","health_path":"/health","max_connections":248,"protocol":"h1","tls":false},)"
      R"({"name":"desk","health_path":"/health","max_connections":248,"protocol":"h1","tls":false}],"limits":)"
      R"({"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// What happened, as the replicas saw it.
struct Seen
{
    std::mutex mutex;
    std::map<std::string, int> runs; ///< By request id.
    std::set<std::string> rejected; ///< Ids that the replica at the reused address has rejected.
    std::map<std::string, int> ran; ///< By replica.
    std::map<std::string, int> lost; ///< By replica.
};

class Case
{
public:
    explicit Case(const std::string &recordPath);

    int run();

private:
    std::string address(int host) const;
    void addReplica(const Entry &entry);
    RunOutcome onRun(const std::string &replica, const Message &request);
    void onRejected(const Message &request);
    bool charge(const std::string &purpose);
    void reuseAddress();

    Record record;
    std::string subnet = drawSubnet();
    Store store;
    Seen seen;
    std::map<std::string, std::unique_ptr<Replica>> replicas;
    Fleet fleet;
    bool losing = false;
    int lastRequest = 0;
    int broken = 0;
    bool rejectedOnce = false;
};

Case::Case(const std::string &recordPath)
    : record(recordPath),
      store(this->address(200) + ":18102"),
      fleet(this->subnet, this->address(200) + ":18102", makeTemporaryFolder())
{
    this->store.put("op/config", configuration);
    const std::array<const char *, 5> zones
        = {"lima-callao", "lima-callao", "arequipa-cercado", "arequipa-cercado", "cusco-wanchaq"};
    for (std::size_t number = 0; number < zones.size(); ++number) {
        this->addReplica({.id = "i-" + std::to_string(number + 1),
                          .service = "ledger",
                          .address = this->address(static_cast<int>(100 + number)) + ":8326",
                          .zone = zones[number],
                          .born = wallMilliseconds()});
    }
    this->addReplica({.id = "i-20",
                      .service = "desk",
                      .address = this->address(120) + ":8326",
                      .zone = "lima-callao",
                      .born = wallMilliseconds()});
}

std::string Case::address(int host) const
{
    return this->subnet + "." + std::to_string(host);
}

void Case::addReplica(const Entry &entry)
{
    this->replicas[entry.id]
        = std::make_unique<Replica>(entry,
                                    queueLength,
                                    ReplicaHooks{.onRun =
                                                     [this, id = entry.id](const Message &request) {
                                                         return this->onRun(id, request);
                                                     },
                                                 .onRefused =
                                                     [this](const Message &request, int /*status*/) {
                                                         this->onRejected(request);
                                                     },
                                                 .sendsExtraCopy = {}});
    this->store.put("servers/" + entry.id, entryText(entry));
}

RunOutcome Case::onRun(const std::string &replica, const Message &request)
{
    const std::lock_guard lock(this->seen.mutex);
    const std::string id = request.header("Request-Id");
    ++this->seen.runs[id];
    const int ran = ++this->seen.ran[replica];
    // The share bounds how many answers are lost. Which ones is luck; here it is those of requests that the reused
    // address has rejected.
    const bool lost
        = this->losing && this->seen.rejected.contains(id) && this->seen.lost[replica] + 1 <= lostShare * ran;
    this->seen.lost[replica] += lost ? 1 : 0;
    this->record.say("replica " + replica + " runs " + id + (lost ? "; its answer will be lost" : ""));
    return {.lost = lost};
}

void Case::onRejected(const Message &request)
{
    const std::lock_guard lock(this->seen.mutex);
    this->seen.rejected.insert(request.header("Request-Id"));
    this->rejectedOnce = true;
    this->record.say("the replica at the reused address answers 421 to " + request.header("Request-Id"));
}

/// Sends a charge, and once more after a status that says it has not run. Returns whether the rule was kept.
bool Case::charge(const std::string &purpose)
{
    const std::string id = "c0ffee" + std::to_string(++this->lastRequest);
    this->record.say("client sends " + id + " (" + purpose + ")");
    const Answer answer = call(this->fleet.vms.front().front,
                               "POST /charge/7 HTTP/1.1\r\nHost: quispe.example\r\nRequest-Id: " + id
                                   + "\r\nTime-Budget-Ms: 3000\r\nContent-Length: 6\r\nConnection: close\r\n\r\nbottle",
                               clientTimeout);
    this->record.say("client got " + (answer.whole ? std::to_string(answer.status) : "no answer") + " for " + id);
    const std::lock_guard lock(this->seen.mutex);
    const bool promised = answer.status == 421 || answer.status == 429 || answer.status == 503 || answer.status == 408;
    if (promised && this->seen.runs[id] > 0) {
        ++this->broken;
        this->record.say("REFUSED broken: " + id + " was answered " + std::to_string(answer.status) + " and has run");
        return false;
    }
    return true;
}

/// A replica crashes; after reuse_after_s its address belongs to a replica of another service.
void Case::reuseAddress()
{
    const Entry crashed = this->replicas.at("i-1")->entry;
    this->replicas.erase("i-1");
    this->record.say("replica i-1 has crashed");
    const auto crashedAt = Clock::now();
    std::this_thread::sleep_for(reuseAfter + Milliseconds(50));
    this->addReplica({.id = "i-21",
                      .service = "desk",
                      .address = crashed.address,
                      .zone = crashed.zone,
                      .born = wallMilliseconds()});
    this->record.say("its address belongs to replica i-21 of another service");
    this->losing = true;
    for (int sent = 0; sent < mostChargesInReuse && Clock::now() < crashedAt + entryLapse; ++sent) {
        if (!this->charge("the address of i-1 is reused") || this->rejectedOnce) {
            break;
        }
    }
    this->losing = false;
    std::this_thread::sleep_until(crashedAt + entryLapse);
    this->store.remove("servers/i-1");
    this->record.say("the entry of i-1 has lapsed");
}

int Case::run()
{
    if (!this->fleet.awaitReady(Milliseconds(15000))) {
        this->record.say("the VMs do not get ready");
        return exitNotRun;
    }
    std::this_thread::sleep_for(Milliseconds(6000));
    for (int sent = 0; sent < chargesBefore; ++sent) {
        this->charge("calm");
    }
    if (withTrouble()) {
        this->reuseAddress();
    } else {
        std::this_thread::sleep_for(entryLapse);
    }
    for (int sent = 0; sent < chargesBefore; ++sent) {
        this->charge("calm again");
    }
    this->record.say(this->broken > 0 ? "the rule REFUSED was broken" : "the rule REFUSED held");
    return this->broken > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        Case refused(argc > 1 ? argv[1] : "record.txt");
        return refused.run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return exitNotRun;
    }
}
