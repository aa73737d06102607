#include "fleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t pageItems = 50;
constexpr Milliseconds storeLatency{4};
constexpr int metricsPort = 9464;
constexpr int frontPort = 18104;
constexpr int readyPort = 18108;
constexpr int controlPort = 18106;
constexpr int directoryPort = 18100;
constexpr int membershipPort = 17380;
constexpr std::array zoneNames = {"lima-callao", "arequipa-cercado", "cusco-wanchaq"};
constexpr std::array regionNames = {"lima", "arequipa", "cusco"};

std::string encodeBase64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = group << 8U | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool padding = at + digit > bytes.size();
            text.push_back(padding ? '=' : digits[group >> (18U - 6U * digit) & 63U]);
        }
    }
    return text;
}

std::string parameter(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?' + name + '=');
    at = at == std::string::npos ? target.find('&' + name + '=') : at;
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string itemText(const std::string &key, const std::string &value, std::uint64_t revision)
{
    const std::string number = std::to_string(revision);
    return R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","revision":)" + number + R"(,"created":)"
        + number + R"(,"lease":0})";
}

std::string at(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

} // namespace

Record::Record(const std::string &path) : file(path)
{ }

void Record::say(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    const auto passed = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->start);
    this->file << passed.count() << " ms  " << text << std::endl;
}

bool withTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

std::string drawSubnet()
{
    const auto first = static_cast<int>(getpid());
    for (int tried = 0; tried < 100; ++tried) {
        const int number = first + tried;
        std::string subnet = "127." + std::to_string(64 + number / 250 % 100) + "." + std::to_string(1 + number % 250);
        if (isFree(at(subnet + ".1", metricsPort)) && isFree(at(subnet + ".1", frontPort))) {
            return subnet;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

Store::Store(const std::string &address)
    : server(address, [this](Connection &connection, const Message &request) {
          return this->handle(connection, request);
      })
{ }

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->values[key] = {value, this->revision};
    this->changes.push_back({this->revision, key, value});
    this->changed.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    if (this->values.erase(key) > 0) {
        ++this->revision;
        this->changes.push_back({this->revision, key, std::nullopt});
        this->changed.notify_all();
    }
}

bool Store::handle(Connection &connection, const Message &request)
{
    const std::string target = request.second();
    const std::string prefix = parameter(target, "prefix");
    std::this_thread::sleep_for(storeLatency);
    std::string body;
    if (target.starts_with("/kv-range")) {
        body = this->list(prefix, parameter(target, "after"));
    } else if (target.starts_with("/kv-watch")) {
        body = this->watch(
            prefix, std::stoull(parameter(target, "after")), Milliseconds(std::stol(parameter(target, "wait_ms"))));
    } else {
        return connection.write(formatResponse(404, {}, ""));
    }
    return connection.write(formatResponse(200, {{"Content-Type", "application/json"}}, body));
}

std::string Store::list(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock(this->mutex);
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (const auto &[key, value] : this->values) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (count == pageItems) {
            more = true;
            break;
        }
        items.append(items.empty() ? "" : ",").append(itemText(key, value.first, value.second));
        ++count;
    }
    return R"({"items":[)" + items + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"as_of":)"
        + std::to_string(this->revision) + "}";
}

std::string Store::eventsAfter(const std::string &prefix, std::uint64_t after) const
{
    std::string events;
    for (const Change &change : this->changes) {
        if (change.revision > after && change.key.starts_with(prefix)) {
            events.append(events.empty() ? "" : ",");
            events.append(change.value.has_value() ? itemText(change.key, *change.value, change.revision)
                                                   : R"({"key":")" + change.key + R"(","revision":)"
                                  + std::to_string(change.revision) + R"(,"tombstone":true})");
        }
    }
    return events;
}

std::string Store::watch(const std::string &prefix, std::uint64_t after, Milliseconds wait)
{
    std::unique_lock lock(this->mutex);
    const auto until = Clock::now() + wait;
    std::string events = this->eventsAfter(prefix, after);
    while (events.empty() && this->changed.wait_until(lock, until) == std::cv_status::no_timeout) {
        events = this->eventsAfter(prefix, after);
    }
    return R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(this->revision) + "}";
}

std::string entryText(const Entry &entry)
{
    return R"({"service":")" + entry.service + R"(","address":")" + entry.address + R"(","zone":")" + entry.zone
        + R"(","version":"v1","slots":)" + std::to_string(entry.slots) + R"(,"state":")" + entry.state
        + R"(","warmup_left_ms":0,"sequence":)" + std::to_string(entry.sequence) + R"(,"born":)"
        + std::to_string(entry.born) + "}";
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Fleet::Fleet(std::string subnet, std::string storeAddress, std::string folder, const VmCounts &counts)
    : subnet(std::move(subnet)), storeAddress(std::move(storeAddress)), folder(std::move(folder))
{
    for (std::size_t zone = 0; zone < counts.size(); ++zone) {
        for (int number = 0; number < counts[zone]; ++number) {
            const std::string ip = this->subnet + "." + std::to_string(this->vms.size() + 1);
            this->vms.push_back({.name = std::string("front-") + zoneNames[zone] + "-" + std::to_string(number + 1),
                                 .zone = zoneNames[zone],
                                 .ip = ip,
                                 .front = at(ip, frontPort),
                                 .ready = at(ip, readyPort)});
        }
    }
    for (Vm &vm : this->vms) {
        this->start(vm);
    }
}

Fleet::~Fleet()
{
    for (Vm &vm : this->vms) {
        kill(vm);
    }
}

std::string Fleet::settingsOf(const Vm &vm) const
{
    std::string seeds;
    for (const char *zone : zoneNames) {
        const auto seed = std::ranges::find(this->vms, zone, &Vm::zone);
        if (seed != this->vms.end()) {
            seeds += (seeds.empty() ? "\"" : ",\"") + at(seed->ip, controlPort) + "\"";
        }
    }
    std::string zones;
    std::string region;
    for (std::size_t number = 0; number < zoneNames.size(); ++number) {
        zones += std::string(number > 0 ? "," : "") + "\"" + zoneNames[number] + "\":\"" + regionNames[number] + "\"";
        region = vm.zone == zoneNames[number] ? regionNames[number] : region;
    }
    return R"({"node":")" + vm.name
        + R"(","role":"entry","machine_class":"front","serves":["front","directory","control"],)" + R"("ip":")" + vm.ip
        + R"(","zone":")" + vm.zone + R"(","region":")" + region + R"(","zones":{)" + zones + R"(},"listen":{"front":")"
        + vm.front + R"(","ready":")" + vm.ready + R"(","control":")" + at(vm.ip, controlPort) + R"(","directory":")"
        + at(vm.ip, directoryPort) + R"("},"internal_port_range":[)" + std::to_string(membershipPort) + ","
        + std::to_string(membershipPort + 15) + R"(],"seeds":[)" + seeds
        + R"(],"bootstrap":true,"loss_counted":false,"limits":{"cpu_share":0.17,"cores":1,"memory_mb":182,)"
        + R"("max_fds":2870,"link_mbps":700.0,"disk_mb":0},"data_dir":null,"discovery":"platform","entry":"directory",)"
        + R"("heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],)"
        + R"("tolerate":{"machines":2,"zones":0,"regions":0},"bounds":{"seed_lag_s":3,"reuse_after_s":2,)"
        + R"("contact_ms":4000,"ack_timeout_ms":5000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,)"
        + R"("config_apply_ms":3000,"rollback_slack_ms":250,"max_stretch_ms":12000,"retry_budget_ratio":0.2,)"
        + R"("budget_window_s":10,"budget_slack":126,"recover_s":12,"ttl_max_s":5},"platform":{"address":")"
        + this->storeAddress
        + R"(","form":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}})";
}

void Fleet::start(Vm &vm)
{
    const std::string base = this->folder + "/" + vm.name;
    std::ofstream(base + ".json") << this->settingsOf(vm);
    const std::string program = deployedProgram();
    const std::string variable = "HICKORYSHORE_BOOT=" + base + ".json";
    vm.process = fork();
    if (vm.process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        std::array<char *, 2> words = {const_cast<char *>(program.c_str()), nullptr};
        std::array<char *, 2> environment = {const_cast<char *>(variable.c_str()), nullptr};
        execve(program.c_str(), words.data(), environment.data());
        _exit(127);
    }
}

void Fleet::kill(Vm &vm)
{
    if (vm.process > 0) {
        ::kill(vm.process, SIGKILL);
        waitpid(vm.process, nullptr, 0);
        vm.process = 0;
    }
}

void Fleet::send(const Vm &vm, int signal)
{
    ::kill(vm.process, signal);
}

bool Fleet::awaitReady(Milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    for (const Vm &vm : this->vms) {
        while (call(vm.ready, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", Milliseconds(500)).status != 200) {
            if (Clock::now() > until || hasEnded(vm)) {
                return false;
            }
            std::this_thread::sleep_for(Milliseconds(100));
        }
    }
    return true;
}

bool Fleet::hasEnded(const Vm &vm)
{
    siginfo_t info{};
    return waitid(P_PID, static_cast<id_t>(vm.process), &info, WEXITED | WNOHANG | WNOWAIT) != 0 || info.si_pid != 0;
}

Answer call(const std::string &address, const std::string &request, Milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    const std::unique_ptr<Connection> connection = Connection::connect(address, timeout);
    if (connection == nullptr || !connection->write(request)) {
        return {};
    }
    std::optional<Message> message = connection->read(std::chrono::ceil<Milliseconds>(until - Clock::now()));
    if (!message.has_value()) {
        return {};
    }
    const int status = std::atoi(message->second().c_str());
    return {.whole = true, .status = status, .message = std::move(*message)};
}

std::string deployedProgram()
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("run = \"")) {
            const std::size_t begin = line.find('"') + 1;
            return line.substr(begin, line.find('"', begin) - begin);
        }
    }
    throw std::runtime_error("deploy/system.toml names no program");
}

std::string makeTemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "hickoryshore-review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    return name;
}

} // namespace review
