// A non-idempotent request runs twice: replicas that are full refuse it, the VM sends it again to one of them over the
// same connection, and a late extra copy of the refusal is taken for the answer to the second attempt.
#include "../stand_ins/replica.h"

#include <cstdio>
#include <exception>
#include <random>
#include <set>

namespace {

using namespace review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
constexpr int queueLength = 8;
constexpr Milliseconds chargeInterval{250};
/// One after another sends charges by way of the first VMs, as many at each.
constexpr std::size_t chargingVms = 2;
constexpr std::size_t chargersOfVm = 2;
/// In each round there are extra copies for garbleTime, and more clients for burstTime in it.
constexpr int rounds = 8;
constexpr Milliseconds garbleTime{5000};
constexpr Milliseconds burstTime{3000};
constexpr Milliseconds calmTime{5000};
/// A client of the other route waits for up to this long before its next request.
constexpr int mostThinkMs = 100;
constexpr int clientsBefore = 16;
constexpr int clientsInBurst = 27;
constexpr Milliseconds clientTimeout{3500};
/// The one of the two replicas that sends extra copies, of at most this share of its answers in that time.
constexpr const char *garblingReplica = "i-1";
constexpr double extraShare = 0.04;

constexpr const char *configuration
    = R"({"version":7,"routes":[{"name":"r-charge","host":"quispe.example","prefix":"/charge/","kind":"non_idempotent",)"
      R"("timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"ledger","attempts":2},)"
      R"({"name":"r-fetch","host":"quispe.example","prefix":"/fetch/","kind":"idempotent","timeout_ms":3000,)"
      R"("target_latency_ms":300,"priority":2,"service":"ledger","attempts":2}],"services":[)"
      R"({"name":"ledger","health_path":"/health","max_connections":248,"protocol":"h1","tls":false}],"limits":)"
      R"({"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string requestText(const std::string &method,
                        const std::string &path,
                        const std::string &id,
                        const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: quispe.example\r\nRequest-Id: " + id
        + "\r\nTime-Budget-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n"
        + body;
}

bool isCharge(const Message &request)
{
    return request.second().starts_with("/charge/");
}

/// What the replicas saw.
struct Seen
{
    std::mutex mutex;
    std::map<std::string, int> runs; ///< Of charges, by request id.
    int answers = 0; ///< Of all replicas.
    bool garbling = false;
    int answersInRound = 0; ///< Of the garbling replica, while it garbles.
    int extrasInRound = 0;
    std::set<std::string> extras; ///< Ids of charges of which a refusal was sent twice.
    int fetches = 0;
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
    bool sendsExtraCopy(const std::string &replica, const Message &refused, const Message &next);
    void fetchAgainAndAgain(int client);
    void charge(std::size_t charger);
    void countAnswer(const std::string &replica);
    void setGarbling(bool garbling);
    bool judge();

    Record record;
    std::string subnet = drawSubnet();
    Store store;
    Seen seen;
    std::vector<std::unique_ptr<Replica>> replicas;
    Fleet fleet;
    std::atomic<bool> stopping = false;
    std::atomic<bool> bursting = false;
    std::map<std::string, int> statuses; ///< Of the answers to charges.
};

Case::Case(const std::string &recordPath)
    : record(recordPath),
      store(this->address(200) + ":18102"),
      fleet(this->subnet, this->address(200) + ":18102", makeTemporaryFolder())
{
    this->store.put("op/config", configuration);
    const std::array<const char *, 2> zones = {"lima-callao", "arequipa-cercado"};
    for (std::size_t number = 0; number < zones.size(); ++number) {
        this->addReplica({.id = "i-" + std::to_string(number + 1),
                          .service = "ledger",
                          .address = this->address(static_cast<int>(100 + number)) + ":8326",
                          .zone = zones[number],
                          .born = wallMilliseconds()});
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
                               return this->onRun(id, request);
                           },
                       .onRefused =
                           [this, id = entry.id](const Message &request, int status) {
                               const std::lock_guard lock(this->seen.mutex);
                               this->countAnswer(id);
                               if (isCharge(request)) {
                                   this->record.say("replica " + id + " is full and refuses "
                                                    + request.header("Request-Id") + " with " + std::to_string(status));
                               }
                           },
                       .sendsExtraCopy =
                           [this, id = entry.id](const Message &refused, const Message &next) {
                               return this->sendsExtraCopy(id, refused, next);
                           }};
    this->replicas.push_back(std::make_unique<Replica>(entry, queueLength, std::move(hooks)));
    this->store.put("servers/" + entry.id, entryText(entry));
}

RunOutcome Case::onRun(const std::string &replica, const Message &request)
{
    const std::lock_guard lock(this->seen.mutex);
    this->countAnswer(replica);
    if (isCharge(request)) {
        ++this->seen.runs[request.header("Request-Id")];
        this->record.say("replica " + replica + " runs " + request.header("Request-Id"));
    } else {
        ++this->seen.fetches;
    }
    return {};
}

/// The caller holds the lock.
void Case::countAnswer(const std::string &replica)
{
    ++this->seen.answers;
    this->seen.answersInRound += this->seen.garbling && replica == garblingReplica ? 1 : 0;
}

void Case::setGarbling(bool garbling)
{
    const std::lock_guard lock(this->seen.mutex);
    if (!garbling) {
        this->record.say(std::to_string(this->seen.extrasInRound) + " extra copies beside "
                         + std::to_string(this->seen.answersInRound) + " answers of " + garblingReplica
                         + " in this round");
    }
    this->seen.garbling = garbling;
    this->seen.answersInRound = 0;
    this->seen.extrasInRound = 0;
}

/// The share bounds how many extra copies there are. Which answers have one, and when it comes, is luck; here it is
/// refusals of charges that are sent again on the connection.
bool Case::sendsExtraCopy(const std::string &replica, const Message &refused, const Message &next)
{
    const std::lock_guard lock(this->seen.mutex);
    if (!withTrouble() || !this->seen.garbling || replica != garblingReplica || !isCharge(refused)
        || refused.header("Request-Id") != next.header("Request-Id")
        || this->seen.extrasInRound + 1 > extraShare * this->seen.answersInRound
        || !this->seen.extras.insert(refused.header("Request-Id")).second) {
        return false;
    }
    ++this->seen.extrasInRound;
    this->record.say("replica " + replica + " sends its refusal of " + refused.header("Request-Id")
                     + " once more, where the answer to " + next.header("Request-Id") + " is expected");
    return true;
}

void Case::fetchAgainAndAgain(int client)
{
    const Vm &vm = this->fleet.vms.back();
    std::mt19937 random(static_cast<unsigned>(client + 1));
    for (int number = 0; !this->stopping; ++number) {
        if (client >= clientsBefore && !this->bursting) {
            std::this_thread::sleep_for(Milliseconds(1));
            continue;
        }
        std::string id = "fe";
        id.append(std::to_string(client)).append("x").append(std::to_string(number));
        call(vm.front, requestText("GET", "/fetch/1", id, ""), clientTimeout);
        std::this_thread::sleep_for(Milliseconds(random() % mostThinkMs));
    }
}

/// Sends charges by way of one VM, one after the other.
void Case::charge(std::size_t charger)
{
    const Vm &vm = this->fleet.vms[charger % chargingVms];
    for (int number = 0; !this->stopping; ++number) {
        std::string id = "c0ffee";
        id.append(std::to_string(charger)).append("x").append(std::to_string(number));
        this->record.say(id + " is sent");
        const Answer answer = call(vm.front, requestText("POST", "/charge/7", id, "bottle"), clientTimeout);
        this->record.say(id + " was answered " + (answer.whole ? std::to_string(answer.status) : "nothing"));
        {
            const std::lock_guard lock(this->seen.mutex);
            this->statuses[id] = answer.status;
        }
        std::this_thread::sleep_for(chargeInterval);
    }
}

bool Case::judge()
{
    const std::lock_guard lock(this->seen.mutex);
    bool held = true;
    for (const auto &[id, runs] : this->seen.runs) {
        if (runs > 1) {
            held = false;
            this->record.say("TWICE broken: " + id + " ran " + std::to_string(runs) + " times");
        }
        if (this->statuses[id] == 503) {
            held = false;
            this->record.say("REFUSED broken: " + id + " was answered 503 and has run");
        }
    }
    this->record.say(std::to_string(this->seen.answers) + " answers of replicas, "
                     + std::to_string(this->seen.extras.size()) + " extra copies, " + std::to_string(this->seen.fetches)
                     + " fetches run");
    this->record.say(held ? "the rule TWICE held" : "the rule TWICE was broken");
    return held;
}

int Case::run()
{
    if (!this->fleet.awaitReady(Milliseconds(15000))) {
        this->record.say("the VMs do not get ready");
        return exitNotRun;
    }
    std::this_thread::sleep_for(Milliseconds(6000));
    std::vector<std::thread> clients;
    for (int client = 0; client < clientsInBurst; ++client) {
        clients.emplace_back([this, client] {
            this->fetchAgainAndAgain(client);
        });
    }
    for (std::size_t charger = 0; charger < chargingVms * chargersOfVm; ++charger) {
        clients.emplace_back([this, charger] {
            this->charge(charger);
        });
    }
    for (int round = 0; round < rounds; ++round) {
        std::this_thread::sleep_for(calmTime);
        this->record.say("a replica sends extra copies from now on");
        this->setGarbling(true);
        std::this_thread::sleep_for((garbleTime - burstTime) / 2);
        this->record.say("more clients come");
        this->bursting = true;
        std::this_thread::sleep_for(burstTime);
        this->bursting = false;
        std::this_thread::sleep_for((garbleTime - burstTime) / 2);
        this->setGarbling(false);
    }
    this->stopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    return this->judge() ? exitHeld : exitBroken;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        Case twice(argc > 1 ? argv[1] : "record.txt");
        return twice.run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return exitNotRun;
    }
}
