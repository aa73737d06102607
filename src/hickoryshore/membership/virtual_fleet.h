// A simulated fleet for tests and benchmarks: MemberTables in virtual time, with message delay and loss, network
// partitions and frozen VMs.
#pragma once

#include "hickoryshore/membership/member_table.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// One VM of the virtual fleet.
struct VirtualVm
{
    Member self;
    std::unique_ptr<MemberTable> table;
    bool running = false;
    bool frozen = false;
    int partition = 0; ///< VMs in different partitions cannot exchange messages.
    std::vector<std::pair<std::string, std::string>> backlog; ///< Senders and datagrams received while frozen.
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesSent = 0;
    bool superseded = false;
};

/// Runs MemberTables against each other. The same seed gives the same run.
///
///     VirtualFleet fleet(18, 1);
///     fleet.startAll();
///     fleet.runFor(5s);
class VirtualFleet
{
public:
    VirtualFleet(int size, std::uint64_t seed);

    void start(int number);
    void startAll();
    void kill(int number);
    void freeze(int number);
    void thaw(int number);
    void leave(int number);
    void mergePlatformList(int number, std::span<const ListedMember> list);

    void runFor(Duration duration);

    /// Runs until the condition holds, checking it every checkPeriod. Returns the time taken, or `limit` if the
    /// condition did not hold by then.
    Duration runUntil(const std::function<bool()> &condition, Duration limit);

    /// Returns the subject's state as recorded by the viewer; dead if it has no record.
    MemberState seenBy(int viewer, int subject) const;

    /// Returns whether every running VM except the subject has recorded this state for it.
    bool allSee(int subject, MemberState state) const;

    /// Returns whether on every running VM exactly the running VMs are usable.
    bool allAgree() const;

    /// Returns whether the subject is unusable on every other running VM.
    bool noneFindsUsable(int subject) const;

    MembershipCounts totalCounts() const;

    int size() const
    {
        return static_cast<int>(this->vms.size());
    }

    std::vector<VirtualVm> vms;
    double dropRate = 0;
    std::vector<std::string> seeds;
    Instant now{std::chrono::hours(1000)};
    std::int64_t wallClockShift = 0; ///< Added to the start time of processes that start now, in milliseconds.
    Duration checkPeriod{std::chrono::milliseconds(5)}; ///< Resolution of runUntil().
    int deaths = 0; ///< Number of times that any VM recorded another one as dead.

private:
    struct Delivery
    {
        std::string from;
        std::string to;
        std::string datagram;
    };

    /// A wake-up of one VM; ignored if the VM's next timer has changed since.
    struct WakeUp
    {
        Instant at;
        std::size_t number = 0;

        auto operator<=>(const WakeUp &) const = default;
    };

    bool step(Instant until);
    bool isDue(const WakeUp &wakeUp) const;
    void schedule(const VirtualVm &vm);
    void deliver(const Delivery &delivery);
    void handleDatagram(VirtualVm &vm, const std::string &from, const std::string &datagram);
    void perform(VirtualVm &vm, const std::vector<MembershipAction> &actions);
    VirtualVm *find(const std::string &address);

    MembershipRandom random;
    std::multimap<Instant, Delivery> network;
    std::set<WakeUp> wakeUps;
    std::unordered_map<std::string, std::size_t> numberByAddress; ///< Index into `vms`; rebuilt when out of date.
    std::uint64_t changes = 0;
};

} // namespace hickoryshore
