// The stand-ins around hickoryshore-platform (store, replicas), its processes, and the record of a case.
#pragma once

#include "http_stream.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;

/// The record.txt of a case: lines with the milliseconds since its start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &folder);

    void write(const std::string &line);

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start = Clock::now();
};

/// A loopback network of one case: 127.X.group.number, with X chosen so that it is free.
class Network
{
public:
    Network();

    std::string ip(int group, int number) const;

private:
    int subnet = 0;
};

/// The platform's store: listings, watches and the header Store-Era. Thread-safe.
class Store
{
public:
    explicit Store(const std::string &address);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

private:
    struct Change
    {
        std::string key;
        std::optional<std::string> value;
        std::uint64_t revision = 0;
    };

    void write(const std::string &key, std::optional<std::string> value);
    void serve(HttpStream &stream);
    std::string list(const std::string &prefix);
    std::string watch(const std::string &prefix, std::uint64_t after, int waitMs);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Change> items;
    std::deque<Change> changes;
    std::uint64_t revision = 1;
    bool ending = false;
    std::unique_ptr<HttpServer> server;
};

/// What a replica does with a request that names it: it answers on the stream, and returns whether to go on reading.
using ReplicaHandler = std::function<bool(HttpStream &, const HttpMessage &)>;

/// A replica that registers in the store and writes its heartbeats. Requests that name another one get 421.
class Replica
{
public:
    struct Identity
    {
        std::string id;
        std::string service;
        std::string address;
        std::string zone;
    };

    Replica(Store &store, Identity identity, ReplicaHandler handler);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /// Writes no more heartbeats and removes the entry; goes on serving.
    void withdraw();

    /// Stops or resumes the heartbeats, and removes the entry or writes it again: what the store does after silence.
    void setHeard(bool heard);

    const Identity &identity() const;

    /// Returns the Unix millisecond of its start, which its entry has as `born`.
    std::int64_t startedAt() const;

private:
    void beat();
    void heartbeats();
    void serve(HttpStream &stream);

    Store &store;
    Identity self;
    ReplicaHandler handler;
    std::mutex mutex;
    std::condition_variable stop;
    bool ending = false;
    bool silent = false;
    int sequence = 0;
    std::int64_t born = 0;
    std::unique_ptr<HttpServer> server;
    std::thread beats;
};

/// Returns a response with the request's id, and with a signature of its own for each call.
HttpMessage stampedAnswer(const HttpMessage &request, int status, const std::string &body);

/// One route of a configuration, as JSON.
struct RouteText
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string target; ///< The JSON of `service` or `gather`, with its name.
    int timeoutMs = 2000;
    int attempts = 2;
};

/// Returns the text of a configuration of host "case.example".
std::string configurationText(int version,
                              const std::vector<RouteText> &routes,
                              const std::vector<std::string> &services);

/// Settings of the VMs of a case.
struct VmOptions
{
    std::vector<std::string> seeds; ///< IP addresses.
    int drainMs = 3000;
    int budgetSlack = 126;
};

/// A process of hickoryshore-platform, started with the command of the deploy file.
class Vm
{
public:
    Vm(std::string name, std::string ip, std::string zone, std::string storeAddress, std::string folder);
    ~Vm();
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    /// Writes the settings file.
    void configure(const VmOptions &options) const;

    /// Starts the process. Throws std::runtime_error if there is no program.
    void start();

    void kill();
    void signal(int number) const;
    bool isRunning();

    /// Waits until the VM counts as ready. Returns false after ten seconds.
    bool waitUntilReady() const;

    std::string front() const;
    const std::string &ip() const;
    const std::string &name() const;

    /// Returns whether the process has this socket open.
    bool ownsSocket(const std::string &inode) const;

private:
    std::string vmName;
    std::string address;
    std::string zone;
    std::string storeAddress;
    std::string folder;
    pid_t process = -1;
};

/// Starts all VMs and waits until they are ready. Throws std::runtime_error if one doesn't become ready.
void startAll(const std::vector<std::unique_ptr<Vm>> &vms);

/// A folder for settings and logs that is removed at its end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const;

private:
    std::string folder;
};

/// Returns whether the case is to be run with its disruption: unless TROUBLE is 0.
bool withTrouble();

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if it could not run.
int runCase(int argumentCount, char **arguments, const std::function<bool(Record &)> &holds);

void sleepMs(int milliseconds);

} // namespace review
