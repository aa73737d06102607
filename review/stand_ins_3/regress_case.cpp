// Two VMs that read the store stand still while a configuration names another set of shards. A VM that follows them
// serves parts of other VMs' requests by the new configuration, and its own clients by the old one.
#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>

using namespace review;

namespace {

constexpr int vmCount = 18;
/// The first VMs are in zone-a, where all replicas are. The first two of them read the store for the zone.
constexpr int nearVmCount = 12;
constexpr int frozenCount = 2;
constexpr int shardCount = 6;
constexpr int replicasPerShard = 2;
constexpr int settledMs = 8000;
constexpr int beforeChangeMs = 100;
constexpr int frozenMs = 3000;
/// rollback_slack_ms of the settings.
constexpr int slackMs = 250;
constexpr int answerTimeoutMs = 3000;
constexpr int requestPauseMs = 25;

int millisecondsSince(Clock::time_point start)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count());
}

/// What the replicas saw, and when clients sent their requests.
class Observations
{
public:
    void arrive(const std::string &vm, const std::string &id, bool isNew)
    {
        const std::lock_guard lock(this->mutex);
        const int now = millisecondsSince(this->start);
        if (isNew) {
            this->effectSeen.try_emplace(vm, now);
        } else {
            this->oldArrivals.emplace_back(vm, id);
        }
    }

    void send(const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        this->sentAt[id] = millisecondsSince(this->start);
    }

    /// Returns the number of requests that a machine handled as only the old version allows, more than the slack after
    /// a replica saw the effect of the new version from that machine.
    int regressions(Record &record)
    {
        const std::lock_guard lock(this->mutex);
        std::map<std::string, int> latest;
        std::map<std::string, int> broken;
        for (const auto &[vm, id] : this->oldArrivals) {
            // Only requests that clients sent to this machine itself.
            if (!id.starts_with(vm + "-") || !this->effectSeen.contains(vm)) {
                continue;
            }
            const int late = this->sentAt[id] - this->effectSeen[vm];
            if (late > slackMs && latest.try_emplace(id, late).second) {
                ++broken[vm];
                std::string line = id;
                line.append(" was sent to ").append(vm).append(" ").append(std::to_string(late));
                record.write(
                    line.append(" ms after a replica had seen the new version from there; ran at an old shard"));
            }
        }
        for (const auto &[vm, at] : this->effectSeen) {
            record.write(vm + ": a replica saw the new version at " + std::to_string(at) + ", "
                         + std::to_string(broken[vm]) + " requests regressed");
        }
        return static_cast<int>(latest.size());
    }

private:
    std::mutex mutex;
    Clock::time_point start = Clock::now();
    std::map<std::string, int> effectSeen; ///< By VM.
    std::vector<std::pair<std::string, std::string>> oldArrivals; ///< VM and request id.
    std::map<std::string, int> sentAt;
};

using Vms = std::vector<std::unique_ptr<Vm>>;

void sendRequests(const Vm &vm, const std::atomic<bool> &stopping, Observations &seen)
{
    std::unique_ptr<HttpStream> stream;
    for (int number = 0; !stopping; ++number) {
        const std::string id = vm.name() + "-" + std::to_string(number);
        stream = stream == nullptr ? connectTo(vm.front()) : std::move(stream);
        seen.send(id);
        const HttpMessage request{.startLine = "GET /boards/stop HTTP/1.1",
                                  .headers = {{"Host", "case.example"}, {"Request-Id", id}, {"Time-Budget-Ms", "1000"}},
                                  .body = {}};
        if (stream == nullptr || !stream->send(formatMessage(request)) || !stream->read(answerTimeoutMs).has_value()) {
            stream.reset();
        }
        sleepMs(requestPauseMs);
    }
}

std::string configuration(int version, const std::string &set)
{
    std::string gather;
    std::vector<std::string> services;
    for (int shard = 0; shard < shardCount; ++shard) {
        for (const std::string &each : {std::string("old"), std::string("new")}) {
            services.push_back(each + "-" + std::to_string(shard));
        }
        gather.append(gather.empty() ? "" : ",").append("\"" + set + "-" + std::to_string(shard) + "\"");
    }
    return configurationText(version,
                             {{.name = "boards",
                               .prefix = "/boards/",
                               .kind = "idempotent",
                               .target = R"("gather":[)" + gather + R"(],"top_k":5,"min_part_share":0.75)",
                               .timeoutMs = 1000,
                               .attempts = 2}},
                             services);
}

/// Returns the name of the VM at the other end of the connection that this thread serves.
std::string senderOf(const HttpStream &stream, const Vms &vms)
{
    thread_local std::string sender;
    if (sender.empty()) {
        const std::string inode = stream.peerSocket();
        const auto found = std::ranges::find_if(vms, [&inode](const auto &vm) {
            return vm->ownsSocket(inode);
        });
        sender = found == vms.end() ? std::string() : (*found)->name();
    }
    return sender;
}

Vms makeVms(const Network &network, const std::string &store, const std::string &folder)
{
    Vms vms;
    VmOptions options;
    for (int number = 1; number <= vmCount; ++number) {
        const std::string name = (number < 10 ? "front-0" : "front-") + std::to_string(number);
        vms.push_back(std::make_unique<Vm>(
            name, network.ip(1, number), number <= nearVmCount ? "zone-a" : "zone-b", store, folder));
    }
    options.seeds = {vms[0]->ip(), vms[1]->ip(), vms[nearVmCount]->ip()};
    for (const auto &vm : vms) {
        vm->configure(options);
    }
    return vms;
}

/// Publishes the new configuration while, with the disruption, two VMs stand still.
void changeConfiguration(const Vms &vms, Store &store, Record &record)
{
    for (int number = 0; withTrouble() && number < frozenCount; ++number) {
        vms[static_cast<std::size_t>(number)]->signal(SIGSTOP);
        record.write(vms[static_cast<std::size_t>(number)]->name() + " stands still");
    }
    sleepMs(beforeChangeMs);
    store.put("op/config", configuration(6, "new"));
    record.write("version 6 is acknowledged");
    sleepMs(frozenMs);
    for (int number = 0; number < frozenCount; ++number) {
        vms[static_cast<std::size_t>(number)]->signal(SIGCONT);
    }
}

bool holds(Record &record)
{
    const Network network;
    const TemporaryFolder folder;
    const std::string storeAddress = network.ip(0, 1) + ":8102";
    Observations seen;
    const Vms vms = makeVms(network, storeAddress, folder.path());
    Store store(storeAddress);
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 0; number < 2 * shardCount * replicasPerShard; ++number) {
        const bool isNew = number % 2 == 1;
        const int shard = number / 2 % shardCount;
        replicas.push_back(std::make_unique<Replica>(
            store,
            Replica::Identity{.id = "i-" + std::to_string(number),
                              .service = (isNew ? "new-" : "old-") + std::to_string(shard),
                              .address = network.ip(2, number + 1) + ":9000",
                              .zone = "zone-a"},
            [&seen, &vms, isNew](HttpStream &stream, const HttpMessage &request) {
                seen.arrive(senderOf(stream, vms), request.header("Request-Id"), isNew);
                sleepMs(2);
                return stream.send(formatMessage(stampedAnswer(request, 200, "a record of 16 b")));
            }));
    }
    store.put("op/config", configuration(5, "old"));
    startAll(vms);
    std::atomic<bool> stopping = false;
    std::vector<std::thread> clients;
    for (std::size_t number = frozenCount; number < vms.size(); ++number) {
        clients.emplace_back(sendRequests, std::cref(*vms[number]), std::cref(stopping), std::ref(seen));
    }
    sleepMs(settledMs);
    changeConfiguration(vms, store, record);
    stopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    return seen.regressions(record) == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
