#include "virtual_fleet.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace hickoryshore {

namespace {

constexpr int membershipPortNumber = 7946;
constexpr Duration minDelay = std::chrono::microseconds(300);
constexpr Duration maxDelay = std::chrono::milliseconds(20);

} // namespace

VirtualFleet::VirtualFleet(int size, std::uint64_t seed) : random(seed)
{
    for (int number = 0; number < size; ++number) {
        VirtualVm vm;
        vm.self.vm = {"vm-" + std::to_string(number)};
        vm.self.dataCentre = {"centre-" + std::to_string(number % 3)};
        vm.self.region = {"region-1"};
        vm.self.address = "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200);
        vm.self.membershipPort = membershipPortNumber;
        this->vms.push_back(std::move(vm));
    }
    this->seeds = {membershipAddress(this->vms[0].self), membershipAddress(this->vms[1].self)};
}

void VirtualFleet::start(int number)
{
    VirtualVm &vm = this->vms[static_cast<std::size_t>(number)];
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
    vm.self.processId = this->random() | 1U;
    vm.self.started = {milliseconds.count() + this->wallClockShift};
    vm.table = std::make_unique<MemberTable>(MembershipSettings{}, vm.self, this->random());
    vm.running = true;
    vm.frozen = false;
    vm.backlog.clear();
    std::vector<MembershipAction> actions;
    vm.table->start(this->now, this->seeds, actions);
    this->perform(vm, actions);
}

void VirtualFleet::startAll()
{
    for (int number = 0; number < this->size(); ++number) {
        this->start(number);
    }
}

void VirtualFleet::kill(int number)
{
    this->vms[static_cast<std::size_t>(number)].running = false;
}

void VirtualFleet::freeze(int number)
{
    this->vms[static_cast<std::size_t>(number)].frozen = true;
}

void VirtualFleet::thaw(int number)
{
    VirtualVm &vm = this->vms[static_cast<std::size_t>(number)];
    vm.frozen = false;
    for (const auto &[from, datagram] : std::exchange(vm.backlog, {})) {
        this->handleDatagram(vm, from, datagram);
    }
    this->schedule(vm);
}

void VirtualFleet::leave(int number)
{
    VirtualVm &vm = this->vms[static_cast<std::size_t>(number)];
    std::vector<MembershipAction> actions;
    vm.table->leave(this->now, actions);
    this->perform(vm, actions);
}

void VirtualFleet::mergePlatformList(int number, std::span<const ListedMember> list)
{
    VirtualVm &vm = this->vms[static_cast<std::size_t>(number)];
    std::vector<MembershipAction> actions;
    vm.table->mergePlatformList(this->now, list, actions);
    this->perform(vm, actions);
}

void VirtualFleet::runFor(Duration duration)
{
    const Instant end = this->now + duration;
    while (this->step(end)) { }
    this->now = end;
}

Duration VirtualFleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Instant begin = this->now;
    Instant nextCheck = begin;
    std::uint64_t seen = this->changes;
    bool met = condition();
    while (!met && this->step(begin + limit)) {
        if (this->changes != seen && this->now >= nextCheck) {
            seen = this->changes;
            nextCheck = this->now + this->checkPeriod;
            met = condition();
        }
    }
    return met ? this->now - begin : limit;
}

bool VirtualFleet::step(Instant until)
{
    while (!this->wakeUps.empty() && !this->isDue(*this->wakeUps.begin())) {
        this->wakeUps.erase(this->wakeUps.begin());
    }
    const Instant wakeUpAt = this->wakeUps.empty() ? until : this->wakeUps.begin()->at;
    if (!this->network.empty() && this->network.begin()->first < std::min(wakeUpAt, until)) {
        const auto node = this->network.extract(this->network.begin());
        this->now = std::max(this->now, node.key());
        this->deliver(node.mapped());
        return true;
    }
    if (wakeUpAt >= until) {
        return false;
    }
    VirtualVm &vm = this->vms[this->wakeUps.extract(this->wakeUps.begin()).value().number];
    this->now = std::max(this->now, wakeUpAt);
    std::vector<MembershipAction> actions;
    vm.table->onTimer(this->now, actions);
    this->perform(vm, actions);
    return true;
}

bool VirtualFleet::isDue(const WakeUp &wakeUp) const
{
    const VirtualVm &vm = this->vms[wakeUp.number];
    return vm.running && !vm.frozen && vm.table->nextTimer() == wakeUp.at;
}

void VirtualFleet::schedule(const VirtualVm &vm)
{
    this->wakeUps.insert({vm.table->nextTimer(), static_cast<std::size_t>(&vm - this->vms.data())});
}

void VirtualFleet::deliver(const Delivery &delivery)
{
    const VirtualVm *sender = this->find(delivery.from);
    VirtualVm *receiver = this->find(delivery.to);
    if (receiver == nullptr || !receiver->running || receiver->partition != sender->partition) {
        return;
    }
    if (receiver->frozen) {
        receiver->backlog.emplace_back(delivery.from, delivery.datagram);
        return;
    }
    this->handleDatagram(*receiver, delivery.from, delivery.datagram);
}

void VirtualFleet::handleDatagram(VirtualVm &vm, const std::string &from, const std::string &datagram)
{
    const auto message = decodeMessage(datagram);
    if (!message) {
        throw std::logic_error("a member sent a malformed datagram");
    }
    std::vector<MembershipAction> actions;
    vm.table->onMessage(this->now, from, *message, actions);
    this->perform(vm, actions);
}

void VirtualFleet::perform(VirtualVm &vm, const std::vector<MembershipAction> &actions)
{
    std::uniform_int_distribution<Duration::rep> delay(minDelay.count(), maxDelay.count());
    std::bernoulli_distribution drop(this->dropRate);
    for (const MembershipAction &action : actions) {
        if (const auto *send = std::get_if<SendAction>(&action)) {
            std::string datagram = encodeMessage(send->message);
            vm.bytesSent += datagram.size();
            ++vm.messagesSent;
            if (!drop(this->random)) {
                this->network.emplace(this->now + Duration(delay(this->random)),
                                      Delivery{membershipAddress(vm.self), send->address, std::move(datagram)});
            }
        } else if (const auto *changed = std::get_if<MemberChangedAction>(&action)) {
            ++this->changes;
            this->deaths += changed->member.state == MemberState::Dead ? 1 : 0;
        } else if (std::holds_alternative<SupersededAction>(action)) {
            vm.superseded = true;
        }
    }
    this->schedule(vm);
}

VirtualVm *VirtualFleet::find(const std::string &address)
{
    const auto isCurrent = [&](const auto &found) {
        return found != this->numberByAddress.end() && membershipAddress(this->vms[found->second].self) == address;
    };
    auto found = this->numberByAddress.find(address);
    if (!isCurrent(found)) {
        this->numberByAddress.clear();
        for (std::size_t number = 0; number < this->vms.size(); ++number) {
            this->numberByAddress.emplace(membershipAddress(this->vms[number].self), number);
        }
        found = this->numberByAddress.find(address);
    }
    return isCurrent(found) ? &this->vms[found->second] : nullptr;
}

MemberState VirtualFleet::seenBy(int viewer, int subject) const
{
    const MemberTable &table = *this->vms[static_cast<std::size_t>(viewer)].table;
    const Member *member = table.find(this->vms[static_cast<std::size_t>(subject)].self.vm);
    return member == nullptr ? MemberState::Dead : member->state;
}

bool VirtualFleet::allSee(int subject, MemberState state) const
{
    for (int viewer = 0; viewer < this->size(); ++viewer) {
        const bool asked = viewer != subject && this->vms[static_cast<std::size_t>(viewer)].running;
        if (asked && this->seenBy(viewer, subject) != state) {
            return false;
        }
    }
    return true;
}

bool VirtualFleet::noneFindsUsable(int subject) const
{
    for (int viewer = 0; viewer < this->size(); ++viewer) {
        const bool asked = viewer != subject && this->vms[static_cast<std::size_t>(viewer)].running;
        if (asked && this->seenBy(viewer, subject) == MemberState::Alive) {
            return false;
        }
    }
    return true;
}

bool VirtualFleet::allAgree() const
{
    for (const VirtualVm &viewer : this->vms) {
        if (!viewer.running) {
            continue;
        }
        for (const VirtualVm &subject : this->vms) {
            const Member *member = viewer.table->find(subject.self.vm);
            const bool usable = member != nullptr && isUsable(*member);
            if (usable != subject.running || (usable && member->processId != subject.self.processId)) {
                return false;
            }
        }
    }
    return true;
}

MembershipCounts VirtualFleet::totalCounts() const
{
    MembershipCounts total;
    for (const VirtualVm &vm : this->vms) {
        if (vm.table) {
            total.suspicions += vm.table->counts().suspicions;
            total.refutations += vm.table->counts().refutations;
            total.deaths += vm.table->counts().deaths;
            total.pauses += vm.table->counts().pauses;
        }
    }
    return total;
}

} // namespace hickoryshore
