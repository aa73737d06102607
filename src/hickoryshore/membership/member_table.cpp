#include "hickoryshore/membership/member_table.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

constexpr double urgentBurst = 20;
constexpr double urgentPerSecond = 2;
constexpr Duration urgentSpacing = std::chrono::milliseconds(20);
constexpr double leastUrgentBytes = 200;
constexpr std::size_t leaveFanoutFactor = 2;

bool isDoubted(const Member &member)
{
    return member.state == MemberState::Suspect || member.state == MemberState::Dead;
}

/// Doubts concern only those who know the member, and travel without its description.
MemberNews newsToPassOn(const Member &member)
{
    return isDoubted(member) ? identify(member) : describe(member);
}

} // namespace

MemberTable::MemberTable(MembershipSettings settings, Member self, std::uint64_t seed)
    : settings(settings),
      ownMember(std::move(self)),
      random(seed),
      urgent{.rounds = TokenBucket(urgentBurst, urgentPerSecond)},
      newsBytes(settings.newsBurstBytes, settings.newsBytesPerSecond)
{
    // A reply to a former process of this VM must not match.
    this->lastSequence = this->random() >> 1;
}

void MemberTable::start(Instant now, std::vector<std::string> seeds, Actions &actions)
{
    this->startedAt = now;
    this->nextProbe = now + this->jittered(this->settings.probePeriod);
    this->nextDeadProbe = now + this->settings.deadProbePeriod;
    this->urgent.notBefore = now;
    this->announceSelf();
    this->beginJoin(now, std::move(seeds), actions);
}

void MemberTable::onMessage(Instant now, std::string_view from, const MembershipMessage &message, Actions &actions)
{
    if (message.sender.vm == this->ownMember.vm && message.sender.processId == this->ownMember.processId) {
        return; // A seed that is this VM's own address.
    }
    this->noticePause(now, actions);
    this->hearSender(now, message, actions);
    const bool passOn = message.kind != MessageKind::JoinReply;
    for (const MemberNews &news : message.news) {
        this->newsQueue.countHeard(news);
        this->learn(now, news, passOn, actions);
    }
    this->answer(now, std::string(from), message, actions);
    this->spreadUrgentNews(now, actions);
}

void MemberTable::answer(Instant now, const std::string &from, const MembershipMessage &message, Actions &actions)
{
    switch (message.kind) {
    case MessageKind::Probe:
        this->send(now, from, this->makeReply(MessageKind::Ack, message), actions);
        return;
    case MessageKind::Join:
        this->send(now, from, this->makePage(message), actions);
        return;
    case MessageKind::Ack:
        this->onAck(now, message.sequence, actions);
        break;
    case MessageKind::Nack:
        this->onNack(message.sequence);
        break;
    case MessageKind::ProbeRequest:
        this->onProbeRequest(now, from, message, actions);
        break;
    case MessageKind::JoinReply:
        this->onJoinReply(now, from, message, actions);
        break;
    case MessageKind::News:
        break;
    case MessageKind::Report:
        return;
    }
    const MembershipMessage reply = this->makeReply(MessageKind::News, message);
    if (!reply.news.empty() || reply.describeYourself || message.describeYourself) {
        this->send(now, from, reply, actions);
    }
}

MembershipMessage MemberTable::makeMessage(MessageKind kind, std::uint64_t sequence) const
{
    return {.kind = kind,
            .sequence = sequence,
            .sender = identify(this->ownMember),
            .configRevision = this->ownMember.configRevision};
}

MembershipMessage MemberTable::makeReport(std::string_view report) const
{
    MembershipMessage message = this->makeMessage(MessageKind::Report, 0);
    message.report = report;
    return message;
}

MembershipMessage MemberTable::makeReply(MessageKind kind, const MembershipMessage &request) const
{
    MembershipMessage reply = this->makeMessage(kind, request.sequence);
    if (request.describeYourself) {
        reply.sender = describe(this->ownMember);
    }
    if (auto news = this->correction(request.sender)) {
        reply.news.push_back(std::move(*news));
    }
    const Member *sender = this->roster.find(request.sender.vm);
    reply.describeYourself = sender == nullptr
        || (sender->processId != request.sender.processId && isNewer(request.sender, identify(*sender)));
    return reply;
}

/// What this VM knows of a sender that is newer than what the sender said of itself.
std::optional<MemberNews> MemberTable::correction(const MemberNews &claim) const
{
    const Member *known = this->find(claim.vm);
    if (known == nullptr || !isNewer(identify(*known), claim)) {
        return std::nullopt;
    }
    return identify(*known);
}

/// Sends the message filled up with news and with one record that refreshes what the receiver knows.
void MemberTable::send(Instant now, const std::string &address, MembershipMessage message, Actions &actions)
{
    this->addNews(now, message);
    this->addRefresh(message);
    actions.emplace_back(SendAction{address, std::move(message)});
}

void MemberTable::addNews(Instant now, MembershipMessage &message)
{
    const int limit = transmissionLimit(this->settings.transmissionFactor, this->roster.peerCount() + 1);
    const std::size_t before = messageSizeBound(message);
    const auto allowed = static_cast<std::size_t>(std::max(0.0, this->newsBytes.available(now)));
    this->newsQueue.take(message, limit, std::min(maximumDatagramBytes, before + allowed));
    this->newsBytes.take(static_cast<double>(messageSizeBound(message) - before));
}

/// Adds one member after the other: whoever missed the news of it learns it so in the end.
void MemberTable::addRefresh(MembershipMessage &message)
{
    const Member *member = this->roster.peerAfter(this->refreshedLast);
    if (member == nullptr) {
        return;
    }
    MemberNews news = newsToPassOn(*member);
    if (messageSizeBound(message) + newsSizeBound(news) <= maximumDatagramBytes) {
        this->refreshedLast = member->vm;
        message.news.push_back(std::move(news));
    }
}

/// Sends to a known peer; one that is suspected or taken for dead is told so, to let it refute.
void MemberTable::sendTo(Instant now, const VmId &vm, const MembershipMessage &message, Actions &actions)
{
    const Member *peer = this->roster.find(vm);
    if (peer == nullptr) {
        return;
    }
    MembershipMessage toPeer = message;
    if (isDoubted(*peer)) {
        toPeer.news.push_back(identify(*peer));
    }
    this->send(now, membershipAddress(*peer), std::move(toPeer), actions);
}

void MemberTable::onAck(Instant now, std::uint64_t sequence, Actions &actions)
{
    const auto relay = std::ranges::find(this->relays, sequence, &Relay::sequence);
    if (relay != this->relays.end()) {
        MembershipMessage ack = this->makeMessage(MessageKind::Ack, relay->requesterSequence);
        ack.target = relay->target;
        this->send(now, relay->requester, std::move(ack), actions);
        this->relays.erase(relay);
        return;
    }
    const auto probe = std::ranges::find(this->probes, sequence, &PendingProbe::sequence);
    if (probe == this->probes.end()) {
        return;
    }
    if (probe->target.state == MemberState::Dead) {
        // A cut may have healed: the next dead peer is probed soon.
        this->nextDeadProbe = now;
    }
    this->adjustLocalHealth(-1);
    this->probes.erase(probe);
}

void MemberTable::onNack(std::uint64_t sequence)
{
    const auto probe = std::ranges::find(this->probes, sequence, &PendingProbe::sequence);
    if (probe != this->probes.end()) {
        ++probe->nacks;
    }
}

void MemberTable::onProbeRequest(Instant now,
                                 const std::string &from,
                                 const MembershipMessage &message,
                                 Actions &actions)
{
    if (this->roster.find(message.target) == nullptr) {
        this->send(now, from, this->makeMessage(MessageKind::Nack, message.sequence), actions);
        return;
    }
    this->relays.push_back({.sequence = ++this->lastSequence,
                            .requesterSequence = message.sequence,
                            .requester = from,
                            .target = message.target,
                            .deadline = now + this->settings.ackTimeout});
    this->sendTo(now, message.target, this->makeMessage(MessageKind::Probe, this->lastSequence), actions);
}

void MemberTable::hearSender(Instant now, const MembershipMessage &message, Actions &actions)
{
    this->learn(now, message.sender, true, actions);
    const Member *sender = this->roster.find(message.sender.vm);
    if (sender != nullptr && sender->processId == message.sender.processId
        && sender->configRevision != message.configRevision) {
        this->roster.setConfigRevision(message.sender.vm, message.configRevision);
    }
    if (message.configRevision > this->ownMember.configRevision) {
        actions.emplace_back(RevisionHeardAction{message.configRevision, message.sender.vm});
    }
}

/// Takes over the news, and passes it on where it is new. A change of whom to use is urgent.
void MemberTable::learn(Instant now, const MemberNews &news, bool passOn, Actions &actions)
{
    if (news.vm == this->ownMember.vm) {
        this->learnOfSelf(now, news, actions);
        return;
    }
    const Duration suspicionTimeout = this->stretched(this->settings.suspicionTimeout);
    const MergeResult result = this->roster.merge(now, news, suspicionTimeout, this->random);
    if (!result.accepted) {
        return;
    }
    const Member &member = *this->roster.find(news.vm);
    if (result.before != member.state) {
        actions.emplace_back(MemberChangedAction{member, result.before});
    }
    if (!passOn) {
        return;
    }
    this->newsQueue.add(newsToPassOn(member));
    this->urgent.pending |= result.usabilityChanged;
}

void MemberTable::learnOfSelf(Instant now, const MemberNews &news, Actions &actions)
{
    if (!isNewer(news, identify(this->ownMember))) {
        return;
    }
    if (news.processId == this->ownMember.processId) {
        this->ownMember.incarnation = news.incarnation + 1;
        ++this->counters.refutations;
        this->adjustLocalHealth(1);
        this->announceSelf();
    } else if (now < this->startedAt + this->settings.startPeriod) {
        // The clock of the former process was ahead of this one's.
        this->ownMember.started = {news.started.milliseconds + 1};
        this->announceSelf();
    } else if (!this->superseded) {
        this->superseded = true;
        actions.emplace_back(SupersededAction{news.processId});
    }
}

void MemberTable::announceSelf()
{
    this->newsQueue.add(describe(this->ownMember));
    this->urgent.pending = true;
}

/// Sends changes to some peers at once, which do the same: the whole fleet knows after a few hops. A bucket of tokens
/// bounds it; what finds none travels with the probes.
void MemberTable::spreadUrgentNews(Instant now, Actions &actions)
{
    if (!this->urgent.pending || now < this->urgent.notBefore) {
        return;
    }
    this->urgent.pending = false;
    this->urgent.notBefore = now + urgentSpacing;
    if (this->urgent.rounds.available(now) < 1 || this->newsBytes.available(now) < leastUrgentBytes) {
        return;
    }
    this->urgent.rounds.take(1);
    ++this->counters.urgentNews;
    const auto fanout = static_cast<std::size_t>(this->settings.urgentFanout);
    for (const VmId &vm : this->roster.samplePeers(fanout, this->ownMember.vm, this->random)) {
        this->sendTo(now, vm, this->makeMessage(MessageKind::News, 0), actions);
    }
}

void MemberTable::listSeen(Instant now, std::span<const ListedMember> list, Actions &actions)
{
    std::vector<std::string> unknown;
    for (const ListedMember &listed : list) {
        if (listed.vm == this->ownMember.vm) {
            this->ownMember.listedLeaving = listed.leaving;
            continue;
        }
        this->roster.setListedLeaving(listed.vm, listed.leaving);
        const Member *known = this->roster.find(listed.vm);
        if (!listed.leaving && known == nullptr) {
            unknown.push_back(listed.address);
        } else if (!listed.leaving && known->state == MemberState::Dead) {
            this->nextDeadProbe = now;
        }
    }
    if (!unknown.empty() && !this->join.active) {
        this->beginJoin(now, std::move(unknown), actions);
    } else if (!unknown.empty()) {
        this->join.contacts = std::move(unknown);
    }
}

void MemberTable::leave(Instant now, Actions &actions)
{
    if (this->ownMember.state == MemberState::Leaving) {
        return;
    }
    this->ownMember.state = MemberState::Leaving;
    ++this->ownMember.incarnation;
    this->announceSelf();
    this->urgent.pending = false;
    this->urgent.notBefore = now;
    const auto fanout = static_cast<std::size_t>(this->settings.urgentFanout) * leaveFanoutFactor;
    for (const VmId &vm : this->roster.samplePeers(fanout, this->ownMember.vm, this->random)) {
        this->sendTo(now, vm, this->makeMessage(MessageKind::News, 0), actions);
    }
}

void MemberTable::setConfigRevision(Revision revision)
{
    this->ownMember.configRevision = revision;
}

MembershipView MemberTable::view() const
{
    MembershipView view{.self = this->ownMember.vm, .members = this->roster.members()};
    const auto place = std::ranges::lower_bound(view.members, this->ownMember.vm, {}, &Member::vm);
    view.members.insert(place, this->ownMember);
    return view;
}

const Member *MemberTable::find(const VmId &vm) const
{
    return vm == this->ownMember.vm ? &this->ownMember : this->roster.find(vm);
}

const Member &MemberTable::self() const
{
    return this->ownMember;
}

const MembershipCounts &MemberTable::counts() const
{
    return this->counters;
}

int MemberTable::localHealth() const
{
    return this->health;
}

} // namespace hickoryshore
