// A fleet in virtual time for tests and benchmarks: MemberTables joined by a network that delays, drops, cuts and
// freezes.
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
    int partition = 0; ///< VMs on different sides of a cut do not hear each other.
    std::vector<std::pair<std::string, std::string>> backlog; ///< From and datagram, while frozen.
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

    /// Runs until the condition holds, looked at every checkPeriod; returns how long that took, or `limit` where it did
    /// not.
    Duration runUntil(const std::function<bool()> &condition, Duration limit);

    /// What the VM believes of the other; dead where it does not know it.
    MemberState seenBy(int viewer, int subject) const;

    /// Whether every running VM, the subject itself left out, sees it in this state.
    bool allSee(int subject, MemberState state) const;

    /// Whether every running VM finds exactly the running ones usable.
    bool allAgree() const;

    /// Whether no running VM but the subject itself finds it usable.
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
    int deaths = 0; ///< How often any VM took another one for dead.

private:
    struct Delivery
    {
        std::string from;
        std::string to;
        std::string datagram;
    };

    /// A wake-up of one VM; void where its next timer has become another one.
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
    std::unordered_map<std::string, std::size_t> numberByAddress; ///< By address; made anew where it does not fit.
    std::uint64_t changes = 0;
};

} // namespace hickoryshore
