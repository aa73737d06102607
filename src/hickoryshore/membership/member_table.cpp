#include "hickoryshore/membership/member_table.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

constexpr double urgentBurst = 20;
constexpr double urgentPerSecond = 2;
constexpr Duration urgentSpacing = std::chrono::milliseconds(20);
constexpr double minUrgentBytes = 200;
constexpr std::size_t leaveFanoutFactor = 2;

bool isSuspectOrDead(const Member &member)
{
    return member.state == MemberState::Suspect || member.state == MemberState::Dead;
}

/// Suspicions and deaths matter only to VMs that have recorded the member, so they need no description.
MemberUpdate updateToForward(const Member &member)
{
    return isSuspectOrDead(member) ? updateWithoutDescription(member) : updateWithDescription(member);
}

} // namespace

MemberTable::MemberTable(MembershipSettings settings, Member self, std::uint64_t seed)
    : settings(settings),
      ownMember(std::move(self)),
      random(seed),
      urgent{.rounds = TokenBucket(urgentBurst, urgentPerSecond)},
      updateByteBudget(settings.updateBurstBytes, settings.updateBytesPerSecond)
{
    // A reply to a previous process of this VM must not match.
    this->lastSequence = this->random() >> 1;
}

void MemberTable::start(Instant now, std::vector<std::string> seeds, Actions &actions)
{
    this->startedAt = now;
    this->nextProbe = now + this->addJitter(this->settings.probePeriod);
    this->nextDeadProbe = now + this->settings.deadProbePeriod;
    this->urgent.notBefore = now;
    this->announceSelf();
    this->beginJoin(now, std::move(seeds), actions);
}

void MemberTable::onMessage(Instant now, std::string_view from, const MembershipMessage &message, Actions &actions)
{
    if (message.sender.vm == this->ownMember.vm && message.sender.processId == this->ownMember.processId) {
        return; // One of the seeds is this VM's own address.
    }
    this->detectPause(now, actions);
    this->mergeSender(now, message, actions);
    const bool forward = message.kind != MessageKind::JoinReply;
    for (const MemberUpdate &update : message.updates) {
        this->updateQueue.countReceived(update);
        this->mergeUpdate(now, update, forward, actions);
    }
    this->answer(now, std::string(from), message, actions);
    this->gossipUrgentUpdates(now, actions);
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
    case MessageKind::Updates:
        break;
    case MessageKind::Report:
        return;
    }
    const MembershipMessage reply = this->makeReply(MessageKind::Updates, message);
    if (!reply.updates.empty() || reply.describeYourself || message.describeYourself) {
        this->send(now, from, reply, actions);
    }
}

MembershipMessage MemberTable::makeMessage(MessageKind kind, std::uint64_t sequence) const
{
    return {.kind = kind,
            .sequence = sequence,
            .sender = updateWithoutDescription(this->ownMember),
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
        reply.sender = updateWithDescription(this->ownMember);
    }
    if (auto update = this->correction(request.sender)) {
        reply.updates.push_back(std::move(*update));
    }
    const Member *sender = this->roster.find(request.sender.vm);
    reply.describeYourself = sender == nullptr
        || (sender->processId != request.sender.processId
            && isNewer(request.sender, updateWithoutDescription(*sender)));
    return reply;
}

/// Returns this VM's record of the sender if it is newer than what the sender reported, or std::nullopt.
std::optional<MemberUpdate> MemberTable::correction(const MemberUpdate &reported) const
{
    const Member *known = this->find(reported.vm);
    if (known == nullptr || !isNewer(updateWithoutDescription(*known), reported)) {
        return std::nullopt;
    }
    return updateWithoutDescription(*known);
}

/// Sends the message with as many queued updates as fit and one refreshed record.
void MemberTable::send(Instant now, const std::string &address, MembershipMessage message, Actions &actions)
{
    this->appendUpdates(now, message);
    this->appendRefresh(message);
    actions.emplace_back(SendAction{address, std::move(message)});
}

void MemberTable::appendUpdates(Instant now, MembershipMessage &message)
{
    const int limit = transmissionLimit(this->settings.transmissionFactor, this->roster.peerCount() + 1);
    const std::size_t before = messageSizeBound(message);
    const auto allowed = static_cast<std::size_t>(std::max(0.0, this->updateByteBudget.available(now)));
    this->updateQueue.take(message, limit, std::min(maximumDatagramBytes, before + allowed));
    this->updateByteBudget.take(static_cast<double>(messageSizeBound(message) - before));
}

/// Adds the record of one member to each message, in turn, so that VMs that missed an update still receive it.
void MemberTable::appendRefresh(MembershipMessage &message)
{
    const Member *member = this->roster.peerAfter(this->lastRefreshed);
    if (member == nullptr) {
        return;
    }
    MemberUpdate update = updateToForward(*member);
    if (messageSizeBound(message) + updateSizeBound(update) <= maximumDatagramBytes) {
        this->lastRefreshed = member->vm;
        message.updates.push_back(std::move(update));
    }
}

/// Sends to a known peer. A peer recorded as suspect or dead also receives that record, so that it can refute it.
void MemberTable::sendTo(Instant now, const VmId &vm, const MembershipMessage &message, Actions &actions)
{
    const Member *peer = this->roster.find(vm);
    if (peer == nullptr) {
        return;
    }
    MembershipMessage toPeer = message;
    if (isSuspectOrDead(*peer)) {
        toPeer.updates.push_back(updateWithoutDescription(*peer));
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
        // A network partition may have healed, so probe the next dead peer at once.
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

void MemberTable::mergeSender(Instant now, const MembershipMessage &message, Actions &actions)
{
    this->mergeUpdate(now, message.sender, true, actions);
    const Member *sender = this->roster.find(message.sender.vm);
    if (sender != nullptr && sender->processId == message.sender.processId
        && sender->configRevision != message.configRevision) {
        this->roster.setConfigRevision(message.sender.vm, message.configRevision);
    }
    if (message.configRevision > this->ownMember.configRevision) {
        actions.emplace_back(RevisionReceivedAction{message.configRevision, message.sender.vm});
    }
}

/// Merges the update and forwards it if it is newer. A change of usability is urgent.
void MemberTable::mergeUpdate(Instant now, const MemberUpdate &update, bool forward, Actions &actions)
{
    if (update.vm == this->ownMember.vm) {
        this->mergeOwnUpdate(now, update, actions);
        return;
    }
    const Duration suspicionTimeout = this->scaleTimeout(this->settings.suspicionTimeout);
    const MergeResult result = this->roster.merge(now, update, suspicionTimeout, this->random);
    if (!result.accepted) {
        return;
    }
    const Member &member = *this->roster.find(update.vm);
    if (result.before != member.state) {
        actions.emplace_back(MemberChangedAction{member, result.before});
    }
    if (!forward) {
        return;
    }
    this->updateQueue.add(updateToForward(member));
    this->urgent.pending |= result.usabilityChanged;
}

void MemberTable::mergeOwnUpdate(Instant now, const MemberUpdate &update, Actions &actions)
{
    if (!isNewer(update, updateWithoutDescription(this->ownMember))) {
        return;
    }
    if (update.processId == this->ownMember.processId) {
        this->ownMember.incarnation = update.incarnation + 1;
        ++this->counters.refutations;
        this->adjustLocalHealth(1);
        this->announceSelf();
    } else if (now < this->startedAt + this->settings.takeoverPeriod) {
        // The previous process had a later start time because its clock was ahead.
        this->ownMember.started = {update.started.milliseconds + 1};
        this->announceSelf();
    } else if (!this->superseded) {
        this->superseded = true;
        actions.emplace_back(SupersededAction{update.processId});
    }
}

void MemberTable::announceSelf()
{
    this->updateQueue.add(updateWithDescription(this->ownMember));
    this->urgent.pending = true;
}

/// Sends changes to a few peers at once, which forward them, so that they reach the fleet in a few hops. Token buckets
/// limit this; updates over the limit are sent with the probes.
void MemberTable::gossipUrgentUpdates(Instant now, Actions &actions)
{
    if (!this->urgent.pending || now < this->urgent.notBefore) {
        return;
    }
    this->urgent.pending = false;
    this->urgent.notBefore = now + urgentSpacing;
    if (this->urgent.rounds.available(now) < 1 || this->updateByteBudget.available(now) < minUrgentBytes) {
        return;
    }
    this->urgent.rounds.take(1);
    ++this->counters.urgentRounds;
    const auto fanout = static_cast<std::size_t>(this->settings.urgentFanout);
    for (const VmId &vm : this->roster.samplePeers(fanout, this->ownMember.vm, this->random)) {
        this->sendTo(now, vm, this->makeMessage(MessageKind::Updates, 0), actions);
    }
}

void MemberTable::mergePlatformList(Instant now, std::span<const ListedMember> list, Actions &actions)
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
        this->sendTo(now, vm, this->makeMessage(MessageKind::Updates, 0), actions);
    }
}

void MemberTable::setConfigRevision(Revision revision)
{
    this->ownMember.configRevision = revision;
}

MembershipView MemberTable::view() const
{
    MembershipView view{.self = this->ownMember.vm, .members = this->roster.members()};
    const auto position = std::ranges::lower_bound(view.members, this->ownMember.vm, {}, &Member::vm);
    view.members.insert(position, this->ownMember);
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
