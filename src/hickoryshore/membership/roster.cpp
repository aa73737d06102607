#include "hickoryshore/membership/roster.h"

#include <algorithm>
#include <iterator>

namespace hickoryshore {

namespace {

void takeOver(Member &member, const MemberNews &news)
{
    member.processId = news.processId;
    member.started = news.started;
    member.incarnation = news.incarnation;
    member.state = news.state;
    if (news.description) {
        member.dataCentre = news.description->dataCentre;
        member.region = news.description->region;
        member.address = news.description->address;
        member.membershipPort = news.description->membershipPort;
        member.peerPort = news.description->peerPort;
        member.httpPort = news.description->httpPort;
        member.capacity = news.description->capacity;
    }
}

std::size_t randomBelow(std::size_t bound, MembershipRandom &random)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

} // namespace

bool isNewer(const MemberNews &left, const MemberNews &right)
{
    if (left.processId != right.processId) {
        return std::tie(left.started, left.processId) > std::tie(right.started, right.processId);
    }
    return std::tie(left.incarnation, left.state) > std::tie(right.incarnation, right.state);
}

MemberNews identify(const Member &member)
{
    return {.vm = member.vm,
            .processId = member.processId,
            .started = member.started,
            .incarnation = member.incarnation,
            .state = member.state};
}

MemberNews describe(const Member &member)
{
    MemberNews news = identify(member);
    news.description = MemberDescription{.dataCentre = member.dataCentre,
                                         .region = member.region,
                                         .address = member.address,
                                         .membershipPort = member.membershipPort,
                                         .peerPort = member.peerPort,
                                         .httpPort = member.httpPort,
                                         .capacity = member.capacity};
    return news;
}

std::string membershipAddress(const Member &member)
{
    return member.address + ":" + std::to_string(member.membershipPort);
}

MergeResult Roster::merge(Instant now, const MemberNews &news, Duration suspicionTimeout, MembershipRandom &random)
{
    const auto known = this->peers.find(news.vm);
    const bool sameProcess = known != this->peers.end() && known->second.member.processId == news.processId;
    if (known != this->peers.end() && !isNewer(news, identify(known->second.member))) {
        return {};
    }
    if (!sameProcess && !news.description) {
        return {.unknownProcess = true};
    }
    Peer &peer = this->peers[news.vm];
    const bool wasUsable = sameProcess && isUsable(peer.member);
    MergeResult result{.accepted = true};
    if (sameProcess) {
        result.before = peer.member.state;
    } else {
        peer = {.member = {.vm = news.vm}};
    }
    if (!sameProcess || peer.member.state != news.state) {
        peer.stateSince = now;
        peer.suspicionDeadline = now + suspicionTimeout;
    }
    takeOver(peer.member, news);
    result.usabilityChanged = wasUsable != isUsable(peer.member);
    this->index(news.vm, news.state, random);
    return result;
}

void Roster::index(const VmId &vm, MemberState state, MembershipRandom &random)
{
    if (state == MemberState::Suspect) {
        this->suspects.insert(vm);
    } else {
        this->suspects.erase(vm);
    }
    if (state == MemberState::Dead) {
        this->dead.insert(vm);
        this->leaveRound(vm);
    } else {
        this->dead.erase(vm);
        this->joinRound(vm, random);
    }
}

void Roster::joinRound(const VmId &vm, MembershipRandom &random)
{
    if (std::ranges::find(this->round, vm) != this->round.end()) {
        return;
    }
    const std::size_t place = this->nextInRound + randomBelow(this->round.size() - this->nextInRound + 1, random);
    this->round.insert(this->round.begin() + static_cast<std::ptrdiff_t>(place), vm);
}

void Roster::leaveRound(const VmId &vm)
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
    constexpr std::size_t triesForEach = 4;
    std::vector<VmId> sample;
    for (std::size_t tries = 0; tries < count * triesForEach && sample.size() < count; ++tries) {
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
    const auto place = static_cast<std::ptrdiff_t>(randomBelow(this->dead.size(), random));
    return *std::next(this->dead.begin(), place);
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
