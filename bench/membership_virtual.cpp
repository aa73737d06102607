// Membership of large fleets in virtual time: cost and reaction of the decisions themselves, without processes.
//     hickoryshore-member-virtual VMS
// Prints one JSON line. Processor time is that of the decisions and of the encoding, not of sockets.
#include "virtual_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <numeric>

#include <sys/resource.h>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr double headerBytes = 28; // IPv4 and UDP.
constexpr int kills = 10;
constexpr int smallFleet = 200;
constexpr Duration settleTime = 3min; // Until the news of the start has gone its rounds.
constexpr std::uint64_t seed = 2100;

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec) + static_cast<double>(usage.ru_utime.tv_usec) / 1e6;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Bytes sent by all VMs, headers included.
double bytesSent(const VirtualFleet &fleet)
{
    return std::accumulate(fleet.vms.begin(), fleet.vms.end(), 0.0, [](double sum, const VirtualVm &vm) {
        return sum + static_cast<double>(vm.bytesSent) + headerBytes * static_cast<double>(vm.messagesSent);
    });
}

void printTimes(const char *name, std::vector<double> values)
{
    std::ranges::sort(values);
    std::cout << ",\"" << name << "\":[" << values.front() << "," << values[values.size() / 2] << "," << values.back()
              << "]";
}

void measureCalm(VirtualFleet &fleet)
{
    constexpr Duration measured = 20s;
    const double bytes = bytesSent(fleet);
    const double processor = processorSeconds();
    fleet.runFor(measured);
    const double share = seconds(measured) * fleet.size();
    // Each byte is sent by one VM and received by another.
    std::cout << ",\"bytes_per_s\":" << 2 * (bytesSent(fleet) - bytes) / share
              << ",\"simulation_core_percent\":" << 100 * (processorSeconds() - processor) / share;
}

/// The copy of all members that the service hands out after a change.
void measureView(const VirtualFleet &fleet)
{
    constexpr int copies = 200;
    std::size_t members = 0;
    const double processor = processorSeconds();
    for (int count = 0; count < copies; ++count) {
        members += fleet.vms[0].table->view().members.size();
    }
    const double microseconds = (processorSeconds() - processor) * 1e6;
    std::cout << ",\"view_us\":" << microseconds / copies
              << ",\"view_us_per_member\":" << microseconds / static_cast<double>(members);
}

void measureKills(VirtualFleet &fleet)
{
    std::vector<double> times;
    for (int count = 0; count < kills; ++count) {
        const int victim = fleet.size() - 1 - count;
        fleet.kill(victim);
        times.push_back(seconds(fleet.runUntil(
            [&] {
                return fleet.noneFindsUsable(victim);
            },
            30s)));
        fleet.runFor(1s);
    }
    printTimes("avoided_by_all_s", times);
}

void measureLeaves(VirtualFleet &fleet)
{
    std::vector<double> times;
    for (int count = 0; count < kills; ++count) {
        const int victim = 2 + count % std::max(1, fleet.size() - kills - 2);
        fleet.leave(victim);
        times.push_back(seconds(fleet.runUntil(
            [&] {
                return fleet.noneFindsUsable(victim);
            },
            30s)));
        fleet.runFor(1s);
        fleet.start(victim);
        fleet.runFor(2s);
    }
    printTimes("leave_known_by_all_s", times);
}

/// Whether no VM uses one on the other side of the cut.
bool cutIsKnown(const VirtualFleet &fleet, int first)
{
    for (int near = 0; near < first; ++near) {
        for (int far = first; far < fleet.size(); ++far) {
            const bool running = fleet.vms[static_cast<std::size_t>(far)].running;
            if (running
                && (fleet.seenBy(near, far) == MemberState::Alive || fleet.seenBy(far, near) == MemberState::Alive)) {
                return false;
            }
        }
    }
    return true;
}

/// Cuts a third of the VMs off, for instance a region, and joins them again.
void measureCut(VirtualFleet &fleet)
{
    const int first = fleet.size() / 3;
    for (int number = 0; number < first; ++number) {
        fleet.vms[static_cast<std::size_t>(number)].partition = 1;
    }
    const double bytesAtCut = bytesSent(fleet);
    const Duration known = fleet.runUntil(
        [&] {
            return cutIsKnown(fleet, first);
        },
        2min);
    fleet.runFor(60s - std::min<Duration>(known, 50s));
    const double bytesAtHeal = bytesSent(fleet);
    std::cout << ",\"cut_known_by_all_s\":" << seconds(known)
              << ",\"bytes_per_s_in_cut\":" << 2 * (bytesAtHeal - bytesAtCut) / 60 / fleet.size();
    for (VirtualVm &vm : fleet.vms) {
        vm.partition = 0;
    }
    const Duration taken = fleet.runUntil(
        [&] {
            return fleet.allAgree();
        },
        5min);
    std::cout << ",\"rejoined_after_s\":" << seconds(taken)
              << ",\"bytes_per_s_rejoining\":" << 2 * (bytesSent(fleet) - bytesAtHeal) / seconds(taken) / fleet.size();
}

} // namespace

int main(int argc, char **argv)
{
    VirtualFleet fleet(argc > 1 ? std::atoi(argv[1]) : 18, seed);
    // The comparison of all views grows with the square of the fleet.
    fleet.checkPeriod = fleet.size() <= smallFleet ? 5ms : 50ms;
    fleet.startAll();
    const Duration joined = fleet.runUntil(
        [&] {
            return fleet.allAgree();
        },
        2min);
    std::cout << "{\"vms\":" << fleet.size() << ",\"joined_s\":" << seconds(joined);
    fleet.runFor(settleTime);
    measureCalm(fleet);
    measureView(fleet);
    measureKills(fleet);
    measureLeaves(fleet);
    measureCut(fleet);
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::cout << ",\"resident_mb\":" << usage.ru_maxrss / 1024 << "}" << std::endl;
    return 0;
}
