// Stand-ins for the platform around the VMs of a review case: the store, and the VMs as processes of the deploy file.
#pragma once

#include "net.h"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace review {

/// Writes a line for each event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);

    void say(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start = Clock::now();
};

/// Whether the disruption is to be made: the environment doesn't say TROUBLE=0.
bool withTrouble();

/// Draws a free subnet of loopback addresses, "127.x.y".
std::string drawSubnet();

/// The platform's store: keys that can be listed and watched. It answers after a few milliseconds.
class Store
{
public:
    explicit Store(const std::string &address);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

private:
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<std::string> value;
    };

    bool handle(Connection &connection, const Message &request);
    std::string list(const std::string &prefix, const std::string &after);
    std::string watch(const std::string &prefix, std::uint64_t after, Milliseconds wait);
    std::string eventsAfter(const std::string &prefix, std::uint64_t after) const;

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::pair<std::string, std::uint64_t>> values;
    std::vector<Change> changes;
    std::uint64_t revision = 1;
    Server server; ///< Last, since it uses the others.
};

/// A replica's entry in the store.
struct Entry
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 2;
    std::string state = "ready";
    std::int64_t born = 0;
    int sequence = 1;
};

std::string entryText(const Entry &entry);

/// Milliseconds since 1970.
std::int64_t wallMilliseconds();

/// A VM: one process of the deploy file's program.
struct Vm
{
    std::string name;
    std::string zone;
    std::string ip;
    std::string front; ///< "ip:port" for clients.
    std::string ready; ///< "ip:port" for the platform's checks.
    pid_t process = 0;
};

/// How many VMs each of the three zones has.
using VmCounts = std::array<int, 3>;

/// The VMs of a small deployment.
class Fleet
{
public:
    /// `folder` takes the settings and the logs.
    Fleet(std::string subnet, std::string storeAddress, std::string folder, const VmCounts &counts = {1, 1, 1});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void start(Vm &vm);

    /// Ends a VM at once.
    static void kill(Vm &vm);

    static void send(const Vm &vm, int signal);

    /// Waits until all VMs say that they are ready; returns whether they do.
    bool awaitReady(Milliseconds timeout);

    /// Whether the process has ended by itself, which it must not.
    static bool hasEnded(const Vm &vm);

    std::vector<Vm> vms;

private:
    std::string settingsOf(const Vm &vm) const;

    std::string subnet;
    std::string storeAddress;
    std::string folder;
};

/// What a client got.
struct Answer
{
    bool whole = false; ///< Otherwise the connection ended or nothing came in time.
    int status = 0;
    Message message;
};

/// Sends one request on a connection of its own and waits for its answer.
Answer call(const std::string &address, const std::string &request, Milliseconds timeout);

/// The program that the deploy file runs.
std::string deployedProgram();

/// A folder for settings and logs, outside the repository.
std::string makeTemporaryFolder();

} // namespace review
