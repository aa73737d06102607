#include "hickoryshore/membership/roster.h"

#include <algorithm>
#include <iterator>

namespace hickoryshore {

namespace {

void applyUpdate(Member &member, const MemberUpdate &update)
{
    member.processId = update.processId;
    member.started = update.started;
    member.incarnation = update.incarnation;
    member.state = update.state;
    if (update.description) {
        member.dataCentre = update.description->dataCentre;
        member.region = update.description->region;
        member.address = update.description->address;
        member.membershipPort = update.description->membershipPort;
        member.peerPort = update.description->peerPort;
        member.httpPort = update.description->httpPort;
        member.capacity = update.description->capacity;
    }
}

std::size_t randomBelow(std::size_t bound, MembershipRandom &random)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

} // namespace

bool isNewer(const MemberUpdate &left, const MemberUpdate &right)
{
    if (left.processId != right.processId) {
        return std::tie(left.started, left.processId) > std::tie(right.started, right.processId);
    }
    return std::tie(left.incarnation, left.state) > std::tie(right.incarnation, right.state);
}

MemberUpdate updateWithoutDescription(const Member &member)
{
    return {.vm = member.vm,
            .processId = member.processId,
            .started = member.started,
            .incarnation = member.incarnation,
            .state = member.state};
}

MemberUpdate updateWithDescription(const Member &member)
{
    MemberUpdate update = updateWithoutDescription(member);
    update.description = MemberDescription{.dataCentre = member.dataCentre,
                                           .region = member.region,
                                           .address = member.address,
                                           .membershipPort = member.membershipPort,
                                           .peerPort = member.peerPort,
                                           .httpPort = member.httpPort,
                                           .capacity = member.capacity};
    return update;
}

std::string membershipAddress(const Member &member)
{
    return member.address + ":" + std::to_string(member.membershipPort);
}

MergeResult Roster::merge(Instant now, const MemberUpdate &update, Duration suspicionTimeout, MembershipRandom &random)
{
    const auto known = this->peers.find(update.vm);
    const bool sameProcess = known != this->peers.end() && known->second.member.processId == update.processId;
    if (known != this->peers.end() && !isNewer(update, updateWithoutDescription(known->second.member))) {
        return {};
    }
    if (!sameProcess && !update.description) {
        return {.unknownProcess = true};
    }
    Peer &peer = this->peers[update.vm];
    const bool wasUsable = sameProcess && isUsable(peer.member);
    MergeResult result{.accepted = true};
    if (sameProcess) {
        result.before = peer.member.state;
    } else {
        peer = {.member = {.vm = update.vm}};
    }
    if (!sameProcess || peer.member.state != update.state) {
        peer.stateSince = now;
        peer.suspicionDeadline = now + suspicionTimeout;
    }
    applyUpdate(peer.member, update);
    result.usabilityChanged = wasUsable != isUsable(peer.member);
    this->updateIndexes(update.vm, update.state, random);
    return result;
}

void Roster::updateIndexes(const VmId &vm, MemberState state, MembershipRandom &random)
{
    if (state == MemberState::Suspect) {
        this->suspects.insert(vm);
    } else {
        this->suspects.erase(vm);
    }
    if (state == MemberState::Dead) {
        this->dead.insert(vm);
        this->removeFromRound(vm);
    } else {
        this->dead.erase(vm);
        this->addToRound(vm, random);
    }
}

void Roster::addToRound(const VmId &vm, MembershipRandom &random)
{
    if (std::ranges::find(this->round, vm) != this->round.end()) {
        return;
    }
    const std::size_t position = this->nextInRound + randomBelow(this->round.size() - this->nextInRound + 1, random);
    this->round.insert(this->round.begin() + static_cast<std::ptrdiff_t>(position), vm);
}

void Roster::removeFromRound(const VmId &vm)
{
    const auto found = std::ranges::find(this->round, vm);
    if (found == this->round.end()) {
        return;
    }
    if (found < this->round.begin() + static_cast<std::ptrdiff_t>(this->nextInRound)) {
        --this->nextInRound;
    }
    this->round.erase(found);
}

const Member *Roster::find(const VmId &vm) const
{
    const auto found = this->peers.find(vm);
    return found == this->peers.end() ? nullptr : &found->second.member;
}

void Roster::setConfigRevision(const VmId &vm, Revision revision)
{
    if (const auto found = this->peers.find(vm); found != this->peers.end()) {
        found->second.member.configRevision = revision;
    }
}

void Roster::setListedLeaving(const VmId &vm, bool leaving)
{
    if (const auto found = this->peers.find(vm); found != this->peers.end()) {
        found->second.member.listedLeaving = leaving;
    }
}

std::vector<VmId> Roster::overdueSuspects(Instant now) const
{
    std::vector<VmId> overdue;
    std::ranges::copy_if(this->suspects, std::back_inserter(overdue), [&](const VmId &vm) {
        return this->peers.at(vm).suspicionDeadline <= now;
    });
    return overdue;
}

void Roster::forgetDeadSince(Instant before)
{
    std::erase_if(this->dead, [&](const VmId &vm) {
        const auto peer = this->peers.find(vm);
        if (peer->second.stateSince >= before) {
            return false;
        }
        this->peers.erase(peer);
        return true;
    });
}

void Roster::postponeSuspicions(Duration pause)
{
    for (const VmId &vm : this->suspects) {
        this->peers.at(vm).suspicionDeadline += pause;
    }
}

std::optional<VmId> Roster::nextPeer(MembershipRandom &random)
{
    if (this->round.empty()) {
        return std::nullopt;
    }
    if (this->nextInRound >= this->round.size()) {
        std::ranges::shuffle(this->round, random);
        this->nextInRound = 0;
    }
    return this->round[this->nextInRound++];
}

std::vector<VmId> Roster::samplePeers(std::size_t count, const VmId &except, MembershipRandom &random) const
{
    constexpr std::size_t triesPerPeer = 4;
    std::vector<VmId> sample;
    for (std::size_t tries = 0; tries < count * triesPerPeer && sample.size() < count; ++tries) {
        if (this->round.empty()) {
            break;
        }
        const VmId &candidate = this->round[randomBelow(this->round.size(), random)];
        if (candidate != except && std::ranges::find(sample, candidate) == sample.end()) {
            sample.push_back(candidate);
        }
    }
    return sample;
}

std::optional<VmId> Roster::randomDead(MembershipRandom &random) const
{
    if (this->dead.empty()) {
        return std::nullopt;
    }
    const auto position = static_cast<std::ptrdiff_t>(randomBelow(this->dead.size(), random));
    return *std::next(this->dead.begin(), position);
}

const Member *Roster::peerAfter(const VmId &vm) const
{
    if (this->peers.empty()) {
        return nullptr;
    }
    const auto next = this->peers.upper_bound(vm);
    return next == this->peers.end() ? &this->peers.begin()->second.member : &next->second.member;
}

std::vector<Member> Roster::members() const
{
    std::vector<Member> members;
    members.reserve(this->peers.size() + 1);
    for (const auto &[vm, peer] : this->peers) {
        members.push_back(peer.member);
    }
    return members;
}

std::size_t Roster::peerCount() const
{
    return this->round.size();
}

} // namespace hickoryshore
