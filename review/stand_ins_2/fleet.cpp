#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int frontPort = 18401;
constexpr int directoryPort = 18402;
constexpr int readyPort = 18403;
constexpr int controlPort = 18404;
constexpr int internalPort = 18410;
constexpr int seeds = 3;
constexpr double kilobytesPerMegabyte = 1024.0;

std::string at(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

/// The bounds of the small deployments.
nlohmann::json bounds()
{
    return {{"contact_ms", 4000},
            {"drain_ms", 3000},
            {"grace_s", 6},
            {"config_apply_ms", 3000},
            {"retry_budget_ratio", 0.2},
            {"budget_window_s", 10},
            {"budget_slack", 126},
            {"recover_s", 12}};
}

} // namespace

Fleet::Fleet(FleetSettings settings)
    : settings(std::move(settings)), processes(static_cast<std::size_t>(this->settings.vms), 0)
{ }

Fleet::~Fleet()
{
    for (int vm = 0; vm < this->size(); ++vm) {
        this->kill(vm);
    }
}

int Fleet::size() const
{
    return this->settings.vms;
}

std::string Fleet::ip(int vm) const
{
    return this->settings.subnet + ".1." + std::to_string(vm + 1);
}

std::string Fleet::frontAddress(int vm) const
{
    return at(this->ip(vm), frontPort);
}

std::string Fleet::directoryAddress(int vm) const
{
    return at(this->ip(vm), directoryPort);
}

std::string Fleet::settingsText(int vm) const
{
    using Json = nlohmann::json;
    const auto zoneName = [](int zone) {
        return std::string("zone-") + static_cast<char>('a' + zone);
    };
    Json zones = Json::object();
    for (int zone = 0; zone < this->settings.zones; ++zone) {
        zones[zoneName(zone)] = "region-a";
    }
    Json seedList = Json::array();
    for (int seed = 0; seed < std::min(seeds, this->size()); ++seed) {
        seedList.push_back(at(this->ip(seed), controlPort));
    }
    const std::string own = this->ip(vm);
    const Json text = {{"node", "front-" + std::to_string(vm + 1)},
                       {"role", "entry"},
                       {"machine_class", "front"},
                       {"serves", {"front", "directory", "control"}},
                       {"ip", own},
                       {"zone", zoneName(vm % this->settings.zones)},
                       {"region", "region-a"},
                       {"zones", zones},
                       {"listen",
                        {{"front", at(own, frontPort)},
                         {"ready", at(own, readyPort)},
                         {"control", at(own, controlPort)},
                         {"directory", at(own, directoryPort)}}},
                       {"internal_port_range", {internalPort, internalPort + 15}},
                       {"seeds", seedList},
                       {"bootstrap", true},
                       {"limits",
                        {{"cpu_share", 0.17},
                         {"cores", 1},
                         {"memory_mb", this->settings.memoryMegabytes},
                         {"max_fds", 2870},
                         {"link_mbps", 700.0},
                         {"disk_mb", 0}}},
                       {"heartbeat_ms", 1200},
                       {"bounds", bounds()},
                       {"platform",
                        {{"address", this->settings.storeAddress},
                         {"form", "kv"},
                         {"writes_per_s", 400},
                         {"reads_per_s", 2000},
                         {"history_s", 20},
                         {"value_bytes", 1048576},
                         {"ttl_min_ms", 1000}}}};
    return text.dump(1);
}

void Fleet::start(int vm)
{
    const std::string base = this->settings.folder + "/vm-" + std::to_string(vm + 1);
    std::ofstream(base + ".json") << this->settingsText(vm);
    std::vector<char *> arguments;
    for (std::string &word : this->settings.command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string logFile = base + ".log";
    const std::string variable = base + ".json";
    const pid_t process = fork();
    if (process < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("HICKORYSHORE_BOOT", variable.c_str(), 1);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    this->processes[static_cast<std::size_t>(vm)] = process;
}

void Fleet::kill(int vm)
{
    pid_t &process = this->processes[static_cast<std::size_t>(vm)];
    if (process > 0) {
        ::kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
        process = 0;
    }
}

bool Fleet::isRunning(int vm)
{
    pid_t &process = this->processes[static_cast<std::size_t>(vm)];
    if (process > 0 && waitpid(process, nullptr, WNOHANG) == process) {
        process = 0;
    }
    return process > 0;
}

double Fleet::memoryMegabytes(int vm) const
{
    std::ifstream status("/proc/" + std::to_string(this->processes[static_cast<std::size_t>(vm)]) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes / kilobytesPerMegabyte;
        }
    }
    return 0;
}

} // namespace review
