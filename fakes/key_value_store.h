// The state of the stand-in for the platform: a key-value store with compare-and-swap, leases and a lagging VM list.
#pragma once

#include "hickoryshore/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore::fakes {

/// A stored value with the index of its last change.
struct Entry
{
    std::string value;
    std::uint64_t modifyIndex = 0;
    std::string session; ///< The session that holds the lease of this key; empty where none does.
};

/// A write to one key with its optional conditions.
struct WriteRequest
{
    std::string key;
    std::string value;
    std::optional<std::uint64_t> expectedIndex; ///< Compare-and-swap; zero: only if the key does not exist.
    std::string acquire; ///< The session that wants the lease.
    std::string release; ///< The session that gives up the lease.
};

/// A VM of the platform's list.
struct RegisteredVm
{
    std::string node;
    std::string address;
    int port = 0;
    std::string service = "hickoryshore"; ///< What runs there.
    std::string state = "live"; ///< "live" or "leaving"
};

/// The store; time comes in as an argument and never runs backwards.
///
///     KeyValueStore store;
///     store.write({.key = "a", .value = "1", .expectedIndex = 0}, now);
///     store.read("a", now)->modifyIndex;
class KeyValueStore
{
public:
    /// Returns the entry, or nothing where the key does not exist. While stale reads are on, returns the state at
    /// the moment when they were switched on.
    std::optional<Entry> read(std::string_view key, Instant now);

    /// Returns the keys that start with the prefix, as they are now.
    std::vector<std::string> keys(std::string_view prefix, Instant now);

    /// Returns whether the write took effect.
    bool write(const WriteRequest &request, Instant now);

    /// Removes the key, if its index is the expected one where one is given. Returns whether it took effect.
    bool remove(std::string_view key, std::optional<std::uint64_t> expectedIndex, Instant now);

    /// Opens a session whose leases end when it is not renewed within the time to live. Returns its id.
    std::string createSession(Duration timeToLive, Instant now);

    /// Returns whether the session still lived.
    bool renewSession(const std::string &session, Instant now);

    /// Adds a VM or changes its state; the list shows it after the lag.
    void registerVm(RegisteredVm vm, Instant now);

    /// Takes a VM off the list; the list shows it after the lag.
    void deregisterVm(const std::string &node, Instant now);

    /// Returns the VMs as the list shows them.
    std::vector<RegisteredVm> vms(Instant now);

    void setListLag(Duration lag);
    void setStaleReads(bool stale);

private:
    struct Session
    {
        Duration timeToLive{};
        Instant expiry;
    };
    struct VmChange
    {
        Instant at;
        std::string node;
        std::optional<RegisteredVm> vm; ///< Nothing: the VM is taken off.
    };

    void expireSessions(Instant now);

    std::map<std::string, Entry, std::less<>> entries;
    std::optional<std::map<std::string, Entry, std::less<>>> staleEntries;
    std::map<std::string, Session> sessions;
    std::map<std::string, RegisteredVm> listedVms;
    std::vector<VmChange> vmChanges;
    Duration listLag{0};
    std::uint64_t lastIndex = 0;
    std::uint64_t lastSession = 0;
};

} // namespace hickoryshore::fakes
