#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *program = "target/platform/hickoryshore-platform";
constexpr int patienceMs = 60'000;
constexpr int heartbeatMs = 1200;
constexpr int readyTimeoutMs = 10'000;
constexpr std::size_t keptChanges = 20'000;

std::string encodeBase64(const std::string &bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t each = 0; each < 3; ++each) {
            group = group << 8U | (at + each < bytes.size() ? static_cast<unsigned char>(bytes[at + each]) : 0U);
        }
        for (std::size_t each = 0; each < 4; ++each) {
            const bool isPadding = at + each > bytes.size();
            text += isPadding ? '=' : digits[group >> (18U - 6U * each) & 63U];
        }
    }
    return text;
}

/// Decodes the escapes of a query value.
std::string decodeQuery(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            int byte = 0;
            std::from_chars(text.data() + at + 1, text.data() + at + 3, byte, 16);
            decoded += static_cast<char>(byte);
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t begin = target.find(name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 1;
    return decodeQuery(std::string_view(target).substr(value, target.find('&', value) - value));
}

std::string inQuotes(const std::string &text)
{
    return '"' + text + '"';
}

std::string itemText(const std::string &key, const std::string &value, std::uint64_t revision)
{
    const std::string number = std::to_string(revision);
    return "{\"key\":" + inQuotes(key) + ",\"value\":" + inQuotes(encodeBase64(value)) + ",\"revision\":" + number
        + ",\"created\":" + number + ",\"lease\":0}";
}

std::string joined(const std::vector<std::string> &texts)
{
    std::string all;
    for (const std::string &text : texts) {
        all.append(all.empty() ? "" : ",").append(text);
    }
    return all;
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

Record::Record(const std::string &folder) : file(folder + "/record.txt")
{
    if (!this->file) {
        throw std::runtime_error("cannot write the record");
    }
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - this->start);
    this->file << age.count() << ' ' << line << '\n' << std::flush;
}

Network::Network()
{
    constexpr int firstSubnet = 20;
    constexpr int subnets = 200;
    for (int tries = 0; tries < subnets; ++tries) {
        this->subnet = firstSubnet + (getpid() + tries) % subnets;
        try {
            const HttpServer probe(this->ip(0, 1) + ":8102", [](HttpStream & /*stream*/) {});
            return;
        } catch (const std::runtime_error &) {
            continue;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

std::string Network::ip(int group, int number) const
{
    return "127." + std::to_string(this->subnet) + "." + std::to_string(group) + "." + std::to_string(number);
}

Store::Store(const std::string &address)
    : server(std::make_unique<HttpServer>(address, [this](HttpStream &stream) {
          this->serve(stream);
      }))
{ }

Store::~Store()
{
    {
        const std::lock_guard lock(this->mutex);
        this->ending = true;
    }
    this->changed.notify_all();
    this->server.reset();
}

void Store::put(const std::string &key, const std::string &value)
{
    this->write(key, value);
}

void Store::remove(const std::string &key)
{
    this->write(key, std::nullopt);
}

void Store::write(const std::string &key, std::optional<std::string> value)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!value.has_value() && !this->items.contains(key)) {
            return;
        }
        const Change change{.key = key, .value = std::move(value), .revision = ++this->revision};
        if (change.value.has_value()) {
            this->items[key] = change;
        } else {
            this->items.erase(key);
        }
        this->changes.push_back(change);
        if (this->changes.size() > keptChanges) {
            this->changes.pop_front();
        }
    }
    this->changed.notify_all();
}

void Store::serve(HttpStream &stream)
{
    while (const auto request = stream.read(patienceMs)) {
        const std::string target = request->target();
        const std::string prefix = queryValue(target, "prefix");
        HttpMessage answer{.startLine = "HTTP/1.1 200 OK",
                           .headers = {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                           .body = {}};
        if (target.starts_with("/kv-range")) {
            answer.body = this->list(prefix);
        } else if (target.starts_with("/kv-watch")) {
            const std::string after = queryValue(target, "after");
            const std::string wait = queryValue(target, "wait_ms");
            answer.body = this->watch(prefix, std::strtoull(after.c_str(), nullptr, 10), std::atoi(wait.c_str()));
        } else {
            answer.startLine = "HTTP/1.1 404 Not Found";
        }
        sleepMs(4);
        if (!stream.send(formatMessage(answer))) {
            return;
        }
    }
}

std::string Store::list(const std::string &prefix)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> texts;
    for (const auto &[key, item] : this->items) {
        if (key.starts_with(prefix)) {
            texts.push_back(itemText(key, *item.value, item.revision));
        }
    }
    return R"({"items":[)" + joined(texts) + R"(],"has_more":false,"as_of":)" + std::to_string(this->revision) + "}";
}

std::string Store::watch(const std::string &prefix, std::uint64_t after, int waitMs)
{
    std::unique_lock lock(this->mutex);
    std::vector<std::string> texts;
    this->changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
        for (auto change = this->changes.rbegin(); change != this->changes.rend() && change->revision > after;
             ++change) {
            if (change->key.starts_with(prefix)) {
                return true;
            }
        }
        return this->ending;
    });
    for (const Change &change : this->changes) {
        if (change.revision <= after || !change.key.starts_with(prefix)) {
            continue;
        }
        texts.push_back(change.value.has_value() ? itemText(change.key, *change.value, change.revision)
                                                 : "{\"key\":" + inQuotes(change.key)
                                + ",\"revision\":" + std::to_string(change.revision) + ",\"tombstone\":true}");
    }
    return R"({"events":[)" + joined(texts) + R"(],"as_of":)" + std::to_string(this->revision) + "}";
}

Replica::Replica(Store &store, Identity identity, ReplicaHandler handler)
    : store(store),
      self(std::move(identity)),
      handler(std::move(handler)),
      born(unixMilliseconds()),
      server(std::make_unique<HttpServer>(this->self.address,
                                          [this](HttpStream &stream) {
                                              this->serve(stream);
                                          })),
      beats([this] {
          this->heartbeats();
      })
{ }

Replica::~Replica()
{
    {
        const std::lock_guard lock(this->mutex);
        this->ending = true;
    }
    this->stop.notify_all();
    this->beats.join();
    this->server.reset();
}

const Replica::Identity &Replica::identity() const
{
    return this->self;
}

std::int64_t Replica::startedAt() const
{
    return this->born;
}

void Replica::setHeard(bool heard)
{
    const std::lock_guard lock(this->mutex);
    this->silent = !heard;
    if (heard) {
        this->beat();
    } else {
        this->store.remove("servers/" + this->self.id);
    }
}

void Replica::withdraw()
{
    this->setHeard(false);
}

void Replica::beat()
{
    this->store.put("servers/" + this->self.id,
                    "{\"service\":" + inQuotes(this->self.service) + ",\"address\":" + inQuotes(this->self.address)
                        + ",\"zone\":" + inQuotes(this->self.zone)
                        + R"(,"version":"v1","slots":8,"state":"ready","warmup_left_ms":0,"sequence":)"
                        + std::to_string(++this->sequence) + ",\"born\":" + std::to_string(this->born) + "}");
}

void Replica::heartbeats()
{
    std::unique_lock lock(this->mutex);
    while (!this->ending) {
        if (!this->silent) {
            this->beat();
        }
        this->stop.wait_for(lock, std::chrono::milliseconds(heartbeatMs), [this] {
            return this->ending;
        });
    }
}

void Replica::serve(HttpStream &stream)
{
    while (const auto request = stream.read(patienceMs)) {
        if (request->header("Expect-Replica") != this->self.id) {
            HttpMessage answer = stampedAnswer(*request, 421, {});
            answer.headers.emplace_back("Not-Executed", "1");
            if (!stream.send(formatMessage(answer))) {
                return;
            }
        } else if (!this->handler(stream, *request)) {
            return;
        }
    }
}

HttpMessage stampedAnswer(const HttpMessage &request, int status, const std::string &body)
{
    static std::atomic<int> lastStamp = 0;
    return {.startLine = "HTTP/1.1 " + std::to_string(status) + " Answer",
            .headers = {{"Request-Id", request.header("Request-Id")},
                        {"Response-Stamp", "stamp." + std::to_string(++lastStamp)}},
            .body = body};
}

std::string configurationText(int version,
                              const std::vector<RouteText> &routes,
                              const std::vector<std::string> &services)
{
    std::vector<std::string> routeTexts;
    for (const RouteText &route : routes) {
        routeTexts.push_back("{\"name\":" + inQuotes(route.name) + R"(,"host":"case.example","prefix":)"
                             + inQuotes(route.prefix) + ",\"kind\":" + inQuotes(route.kind) + ",\"timeout_ms\":"
                             + std::to_string(route.timeoutMs) + R"(,"target_latency_ms":300,"priority":1,"attempts":)"
                             + std::to_string(route.attempts) + "," + route.target + "}");
    }
    std::vector<std::string> serviceTexts;
    for (const std::string &service : services) {
        serviceTexts.push_back("{\"name\":" + inQuotes(service) + R"(,"max_connections":248,"health_path":"/health"})");
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + joined(routeTexts) + "],\"services\":["
        + joined(serviceTexts)
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,)"
        + R"("idle_timeout_ms":60000}})";
}

Vm::Vm(std::string name, std::string ip, std::string zone, std::string storeAddress, std::string folder)
    : vmName(std::move(name)),
      address(std::move(ip)),
      zone(std::move(zone)),
      storeAddress(std::move(storeAddress)),
      folder(std::move(folder))
{ }

Vm::~Vm()
{
    this->kill();
}

void Vm::configure(const VmOptions &options) const
{
    std::vector<std::string> seeds;
    for (const std::string &seed : options.seeds) {
        seeds.push_back(inQuotes(seed + ":8106"));
    }
    const std::string path = this->folder + "/" + this->vmName + ".json";
    {
        std::ofstream file(path + ".new");
        file << "{\"node\":" << inQuotes(this->vmName) << R"(,"role":"entry","machine_class":"front",)"
             << R"("serves":["front","control","directory"],"ip":)" << inQuotes(this->address)
             << ",\"zone\":" << inQuotes(this->zone) << R"(,"region":"west","zones":{"zone-a":"west","zone-b":"west"},)"
             << "\"listen\":{\"front\":" << inQuotes(this->front())
             << ",\"ready\":" << inQuotes(this->address + ":8108")
             << ",\"control\":" << inQuotes(this->address + ":8106")
             << ",\"directory\":" << inQuotes(this->address + ":8100")
             << R"(},"internal_port_range":[7380,7395],"seeds":[)" << joined(seeds)
             << R"(],"bootstrap":true,"loss_counted":false,"limits":{"cpu_share":0.17,"cores":1,"memory_mb":182,)"
             << R"("max_fds":2870,"link_mbps":700.0,"disk_mb":0},"data_dir":null,"discovery":"platform",)"
             << R"("entry":"directory","heartbeat_ms":1200,"bounds":{"seed_lag_s":3,"reuse_after_s":2,)"
             << R"("contact_ms":4000,"drain_ms":)" << options.drainMs
             << R"(,"grace_s":6,"config_apply_ms":3000,"retry_budget_ratio":0.2,"budget_window_s":10,)"
             << "\"budget_slack\":" << options.budgetSlack << R"(},"platform":{"address":)"
             << inQuotes(this->storeAddress) << R"(,"form":"kv","writes_per_s":400,"reads_per_s":2000}})";
    }
    std::filesystem::rename(path + ".new", path);
}

void Vm::start()
{
    if (::access(program, X_OK) != 0) {
        throw std::runtime_error(std::string(program) + " is not built");
    }
    const std::string settings = "HICKORYSHORE_BOOT=" + this->folder + "/" + this->vmName + ".json";
    const std::string log = this->folder + "/" + this->vmName + ".log";
    const pid_t parent = getpid();
    this->process = fork();
    if (this->process != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(1);
    }
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    const char *const arguments[] = {program, nullptr};
    const char *const environment[] = {settings.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr};
    execve(program, const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
    _exit(1);
}

void Vm::kill()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

void Vm::signal(int number) const
{
    if (this->process > 0) {
        ::kill(this->process, number);
    }
}

bool Vm::isRunning()
{
    if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = -1;
    }
    return this->process > 0;
}

bool Vm::waitUntilReady() const
{
    const auto deadline = Clock::now() + std::chrono::milliseconds(readyTimeoutMs);
    while (Clock::now() < deadline) {
        const auto stream = connectTo(this->address + ":8108");
        if (stream != nullptr && stream->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            const auto answer = stream->read(1000);
            if (answer.has_value() && answer->status() == 200) {
                return true;
            }
        }
        sleepMs(50);
    }
    return false;
}

std::string Vm::front() const
{
    return this->address + ":8104";
}

const std::string &Vm::ip() const
{
    return this->address;
}

const std::string &Vm::name() const
{
    return this->vmName;
}

bool Vm::ownsSocket(const std::string &inode) const
{
    const std::string wanted = "socket:[" + inode + "]";
    std::error_code error;
    const std::filesystem::path descriptors = "/proc/" + std::to_string(this->process) + "/fd";
    for (const auto &entry : std::filesystem::directory_iterator(descriptors, error)) {
        if (std::filesystem::read_symlink(entry.path(), error) == wanted) {
            return true;
        }
    }
    return false;
}

void startAll(const std::vector<std::unique_ptr<Vm>> &vms)
{
    for (const auto &vm : vms) {
        vm->start();
    }
    for (const auto &vm : vms) {
        if (!vm->waitUntilReady()) {
            throw std::runtime_error(vm->name() + " did not become ready");
        }
    }
}

TemporaryFolder::TemporaryFolder()
    : folder((std::filesystem::temp_directory_path() / "hickoryshore-review-XXXXXX").string())
{
    if (mkdtemp(this->folder.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

const std::string &TemporaryFolder::path() const
{
    return this->folder;
}

bool withTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int runCase(int argumentCount, char **arguments, const std::function<bool(Record &)> &holds)
{
    constexpr int broken = 1;
    constexpr int couldNotRun = 2;
    if (argumentCount != 2) {
        std::cerr << "usage: " << arguments[0] << " FOLDER\n";
        return couldNotRun;
    }
    try {
        Record record(arguments[1]);
        record.write(withTrouble() ? "with the disruption" : "without the disruption");
        const bool held = holds(record);
        record.write(held ? "the rule held" : "the rule was broken");
        std::cout << (held ? "held" : "broken") << '\n';
        return held ? 0 : broken;
    } catch (const std::exception &error) {
        std::cerr << "could not run: " << error.what() << '\n';
        return couldNotRun;
    }
}

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

} // namespace review
