// A replica that left without a word gets requests of VMs that nothing disturbed, long after its entry was removed: VMs
// through which they follow the store lose power, the others take the silence for an outage of the store, and the
// removal for an entry that lapsed in it.
#include "../stand_ins/replica.h"

#include <cstdio>
#include <exception>

#include <csignal>

namespace {

using namespace review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
constexpr int queueLength = 12;
constexpr int rounds = 8;
/// As many VMs as the smaller of the users' deployments have, in the same zones. The first two of a zone read the
/// store.
constexpr VmCounts vmCounts = {7, 7, 4};
constexpr std::size_t readers = 2;
constexpr std::size_t vmsOfFirstZone = 7;
/// Bounds of the pages.
constexpr Milliseconds drainTime{3000};
constexpr Milliseconds contactTime{4000};
/// Half of the VMs lose power for so long, among them those of each zone that read the store.
constexpr Milliseconds darkTime{2000};
constexpr std::array<std::size_t, 9> darkPlaces = {0, 1, 7, 8, 9, 10, 14, 15, 16};
constexpr Milliseconds removedAfterLoss{100};
/// The replica serves for drain_ms after its entry was removed, and at times many seconds longer.
constexpr Milliseconds servesAfterRemoval{5000};
constexpr Milliseconds clientTimeout{1000};
constexpr Milliseconds betweenRequests{20};
constexpr Milliseconds askedFor{1500};
/// Ends the case early enough for its limit.
constexpr Milliseconds longestCase{95000};

std::string serviceName(int round)
{
    return "board-" + std::to_string(round);
}

std::string configurationText()
{
    std::string routes;
    std::string services;
    for (int round = 0; round < rounds; ++round) {
        const std::string service = serviceName(round);
        routes.append(routes.empty() ? "" : ",").append(R"({"name":"r-)").append(service);
        routes.append(R"(","host":"quispe.example","prefix":"/)").append(service);
        routes.append(R"(/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":1,"service":")");
        routes.append(service).append(R"(","attempts":2})");
        services.append(services.empty() ? "" : ",").append(R"({"name":")").append(service);
        services.append(R"(","health_path":"/health","max_connections":58,"protocol":"h1","tls":false})");
    }
    return R"({"version":7,"routes":[)" + routes + R"(],"services":[)" + services
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000}})";
}

class Case
{
public:
    explicit Case(const std::string &recordPath);

    int run();

private:
    std::string address(int host) const;
    void addReplica(const Entry &entry);
    void ask(const Vm &vm, int round, const std::string &id);
    void playRound(int round);
    void askUndisturbed(int round, Clock::time_point removedAt);

    Record record;
    std::string subnet = drawSubnet();
    Store store;
    std::mutex mutex;
    std::map<std::string, std::string> ranAt; ///< Replica, by request id.
    std::map<std::string, std::unique_ptr<Replica>> replicas;
    Fleet fleet;
    int broken = 0;
};

Case::Case(const std::string &recordPath)
    : record(recordPath),
      store(this->address(200) + ":18102"),
      fleet(this->subnet, this->address(200) + ":18102", makeTemporaryFolder(), vmCounts)
{
    this->store.put("op/config", configurationText());
    const std::array<const char *, 2> zones = {"lima-callao", "arequipa-cercado"};
    for (int round = 0; round < rounds; ++round) {
        for (int copy = 0; copy < 2; ++copy) {
            this->addReplica({.id = "i-" + std::to_string(round) + "-" + std::to_string(copy),
                              .service = serviceName(round),
                              .address = this->address(100 + 2 * round + copy) + ":8326",
                              .zone = zones[static_cast<std::size_t>(copy)],
                              .born = wallMilliseconds()});
        }
    }
}

std::string Case::address(int host) const
{
    return this->subnet + "." + std::to_string(host);
}

void Case::addReplica(const Entry &entry)
{
    ReplicaHooks hooks{.onRun =
                           [this, id = entry.id](const Message &request) {
                               const std::lock_guard lock(this->mutex);
                               this->ranAt[request.header("Request-Id")] = id;
                               return RunOutcome{.work = Milliseconds(8)};
                           },
                       .onRefused = {},
                       .sendsExtraCopy = {}};
    this->replicas[entry.id] = std::make_unique<Replica>(entry, queueLength, std::move(hooks));
    this->store.put("servers/" + entry.id, entryText(entry));
}

void Case::ask(const Vm &vm, int round, const std::string &id)
{
    const Answer answer = call(vm.front,
                               "GET /" + serviceName(round) + "/1 HTTP/1.1\r\nHost: quispe.example\r\nRequest-Id: " + id
                                   + "\r\nTime-Budget-Ms: 1000\r\nConnection: close\r\n\r\n",
                               clientTimeout);
    const std::lock_guard lock(this->mutex);
    this->record.say(id + " by way of " + vm.name + " was answered " + std::to_string(answer.status) + ", run at "
                     + this->ranAt[id]);
}

/// Sends requests by way of VMs that nothing disturbed, from drain_ms after the removal on.
void Case::askUndisturbed(int round, Clock::time_point removedAt)
{
    const std::string gone = "i-" + std::to_string(round) + "-0";
    std::this_thread::sleep_until(removedAt + drainTime + betweenRequests);
    for (int number = 0; Clock::now() < removedAt + drainTime + askedFor; ++number) {
        const std::size_t place = readers + static_cast<std::size_t>(number) % (vmsOfFirstZone - readers);
        std::string id = "late";
        id.append(std::to_string(round)).append("x").append(std::to_string(number));
        const auto age = std::chrono::duration_cast<Milliseconds>(Clock::now() - removedAt);
        this->ask(this->fleet.vms[place], round, id);
        if (this->ranAt[id] == gone) {
            ++this->broken;
            std::string line = "DRAIN broken: ";
            line.append(id).append(" was sent ").append(std::to_string(age.count()));
            this->record.say(
                line.append(" ms after the entry of ").append(gone).append(" was removed, and reached it"));
        }
        std::this_thread::sleep_for(betweenRequests);
    }
}

void Case::playRound(int round)
{
    const std::string leaving = "i-" + std::to_string(round) + "-0";
    for (std::size_t place = readers; place < vmsOfFirstZone; ++place) {
        this->ask(this->fleet.vms[place], round, "calm" + std::to_string(round) + "x" + std::to_string(place));
    }
    if (withTrouble()) {
        // A process that is stopped answers as little as a machine without power.
        for (const std::size_t place : darkPlaces) {
            Fleet::send(this->fleet.vms[place], SIGSTOP);
        }
        this->record.say("half of the VMs lose power");
    }
    const auto lostAt = Clock::now();
    std::this_thread::sleep_for(removedAfterLoss);
    this->replicas.at(leaving)->leave();
    this->store.remove("servers/" + leaving);
    const auto removedAt = Clock::now();
    this->record.say("the store has acknowledged that the entry of " + leaving + " is removed");
    if (withTrouble()) {
        std::this_thread::sleep_until(lostAt + darkTime);
        for (const std::size_t place : darkPlaces) {
            Fleet::kill(this->fleet.vms[place]);
            this->fleet.start(this->fleet.vms[place]);
        }
        this->record.say("they start again");
    }
    this->askUndisturbed(round, removedAt);
    std::this_thread::sleep_until(removedAt + servesAfterRemoval);
    this->replicas.erase(leaving);
    std::this_thread::sleep_for(contactTime);
}

int Case::run()
{
    if (!this->fleet.awaitReady(Milliseconds(20000))) {
        this->record.say("the VMs do not get ready");
        return exitNotRun;
    }
    std::this_thread::sleep_for(Milliseconds(8000));
    const auto until = Clock::now() + longestCase - Milliseconds(20000);
    for (int round = 0; round < rounds && Clock::now() < until; ++round) {
        this->playRound(round);
    }
    this->record.say(this->broken > 0 ? "the rule DRAIN was broken" : "the rule DRAIN held");
    return this->broken > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        Case drained(argc > 1 ? argv[1] : "record.txt");
        return drained.run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return exitNotRun;
    }
}
