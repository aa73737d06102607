// Timers of MemberTable: probes, suspicions, joins and detection of pauses of this VM.
#include "hickoryshore/membership/member_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickoryshore {

namespace {

constexpr int maxLocalHealth = 8;
constexpr int maxJoinAttempts = 3;
constexpr int maxPageAttempts = 2;
constexpr std::size_t contactsPerJoin = 3;
constexpr double jitterFraction = 0.1;

} // namespace

void MemberTable::onTimer(Instant now, Actions &actions)
{
    this->detectPause(now, actions);
    this->expireProbes(now, actions);
    this->expireRelays(now, actions);
    this->retryJoin(now, actions);
    if (now >= this->nextProbe) {
        this->nextProbe = now + this->addJitter(this->settings.probePeriod);
        this->expireSuspicions(now, actions);
        this->probeDead(now, actions);
        if (const auto vm = this->roster.nextPeer(this->random)) {
            this->probe(now, *vm, actions);
        }
    }
    this->gossipUrgentUpdates(now, actions);
}

Instant MemberTable::nextTimer() const
{
    Instant next = this->nextProbe;
    for (const PendingProbe &probe : this->probes) {
        next = std::min(next, probe.deadline);
    }
    for (const Relay &relay : this->relays) {
        next = std::min(next, relay.deadline);
    }
    if (this->join.active) {
        next = std::min(next, this->join.retryAt);
    }
    if (this->urgent.pending) {
        next = std::min(next, this->urgent.notBefore);
    }
    return next;
}

/// A very late timer means that this VM was paused, so that time is not counted against its peers.
void MemberTable::detectPause(Instant now, Actions &actions)
{
    if (now <= this->nextProbe + this->settings.pauseThreshold) {
        return;
    }
    const Duration pause = now - this->nextProbe;
    ++this->counters.pauses;
    for (PendingProbe &probe : this->probes) {
        probe.deadline += pause;
    }
    for (Relay &relay : this->relays) {
        relay.deadline += pause;
    }
    this->roster.postponeSuspicions(pause);
    this->join.retryAt += pause;
    this->nextProbe += pause;
    if (pause >= this->settings.resyncPause && !this->join.active) {
        this->beginJoin(now, {}, actions);
    }
}

void MemberTable::probe(Instant now, const VmId &vm, Actions &actions)
{
    ++this->counters.probes;
    this->probes.push_back({.sequence = ++this->lastSequence,
                            .target = updateWithoutDescription(*this->roster.find(vm)),
                            .deadline = now + this->scaleTimeout(this->settings.ackTimeout)});
    this->sendTo(now, vm, this->makeMessage(MessageKind::Probe, this->lastSequence), actions);
}

void MemberTable::expireProbes(Instant now, Actions &actions)
{
    std::vector<PendingProbe> failed;
    for (PendingProbe &probe : this->probes) {
        if (probe.deadline > now) {
            continue;
        }
        if (probe.indirect || probe.target.state == MemberState::Dead) {
            failed.push_back(probe);
        } else {
            this->sendIndirectProbes(now, probe, actions);
        }
    }
    for (const PendingProbe &probe : failed) {
        std::erase_if(this->probes, [&](const PendingProbe &pending) {
            return pending.sequence == probe.sequence;
        });
        this->failProbe(now, probe, actions);
    }
}

void MemberTable::sendIndirectProbes(Instant now, PendingProbe &probe, Actions &actions)
{
    ++this->counters.indirectProbes;
    const auto count = static_cast<std::size_t>(this->settings.indirectProbes);
    const std::vector<VmId> helpers = this->roster.samplePeers(count, probe.target.vm, this->random);
    probe.indirect = true;
    probe.helpers = helpers.size();
    probe.deadline = now + this->scaleTimeout(this->settings.indirectTimeout);
    MembershipMessage request = this->makeMessage(MessageKind::ProbeRequest, probe.sequence);
    request.target = probe.target.vm;
    for (const VmId &helper : helpers) {
        this->sendTo(now, helper, request, actions);
    }
}

/// Suspects the peer after direct and indirect probes failed, unless its record has changed since the probe.
void MemberTable::failProbe(Instant now, const PendingProbe &probe, Actions &actions)
{
    if (probe.helpers > 0 && probe.nacks == 0) {
        this->adjustLocalHealth(1); // No helper answered either, so the fault may be local.
    }
    const Member *peer = this->roster.find(probe.target.vm);
    if (peer == nullptr || updateWithoutDescription(*peer) != probe.target) {
        return;
    }
    MemberUpdate update = probe.target;
    if (update.state == MemberState::Alive) {
        update.state = MemberState::Suspect;
        ++this->counters.suspicions;
        this->mergeUpdate(now, update, true, actions);
    } else if (update.state == MemberState::Leaving) {
        update.state = MemberState::Dead; // A leaving member that stops answering has left; no suspicion is needed.
        this->mergeUpdate(now, update, true, actions);
    }
}

void MemberTable::expireRelays(Instant now, Actions &actions)
{
    for (const Relay &relay : this->relays) {
        if (relay.deadline <= now) {
            this->send(now, relay.requester, this->makeMessage(MessageKind::Nack, relay.requesterSequence), actions);
        }
    }
    std::erase_if(this->relays, [now](const Relay &relay) {
        return relay.deadline <= now;
    });
}

void MemberTable::expireSuspicions(Instant now, Actions &actions)
{
    for (const VmId &vm : this->roster.overdueSuspects(now)) {
        MemberUpdate update = updateWithoutDescription(*this->roster.find(vm));
        update.state = MemberState::Dead;
        ++this->counters.deaths;
        this->mergeUpdate(now, update, true, actions);
    }
    this->roster.forgetDeadSince(now - this->settings.deadRetention);
}

void MemberTable::probeDead(Instant now, Actions &actions)
{
    if (now < this->nextDeadProbe) {
        return;
    }
    this->nextDeadProbe = now + this->settings.deadProbePeriod;
    if (const auto vm = this->roster.randomDead(this->random)) {
        this->probe(now, *vm, actions);
    }
}

void MemberTable::beginJoin(Instant now, std::vector<std::string> contacts, Actions &actions)
{
    ++this->counters.joins;
    this->join = Join{.active = true, .peersBefore = this->roster.peerCount(), .contacts = std::move(contacts)};
    this->sendJoin(now, actions);
}

void MemberTable::sendJoin(Instant now, Actions &actions)
{
    this->join.sequence = ++this->lastSequence;
    this->join.retryAt = now + this->settings.joinRetry;
    ++this->join.attempts;
    MembershipMessage message = this->makeMessage(MessageKind::Join, this->join.sequence);
    message.sender = updateWithDescription(this->ownMember);
    message.pageAfter = this->join.after;
    if (!this->join.peer.empty()) {
        this->send(now, this->join.peer, message, actions);
        return;
    }
    std::vector<std::string> chosen;
    std::ranges::sample(this->join.contacts, std::back_inserter(chosen), contactsPerJoin, this->random);
    for (const std::string &contact : chosen) {
        this->send(now, contact, message, actions);
    }
    if (chosen.empty()) {
        for (const VmId &vm : this->roster.samplePeers(1, this->ownMember.vm, this->random)) {
            this->sendTo(now, vm, message, actions);
        }
    }
}

void MemberTable::retryJoin(Instant now, Actions &actions)
{
    if (this->rejoinAt && now >= *this->rejoinAt && !this->join.active) {
        this->rejoinAt.reset();
        this->beginJoin(now, {}, actions);
    }
    if (!this->join.active || now < this->join.retryAt) {
        return;
    }
    if (this->join.attempts >= maxJoinAttempts && this->roster.peerCount() > 0) {
        this->join.active = false;
        return;
    }
    if (this->join.attempts >= maxPageAttempts) {
        this->join.peer.clear();
    }
    this->sendJoin(now, actions);
}

void MemberTable::onJoinReply(Instant now, const std::string &from, const MembershipMessage &message, Actions &actions)
{
    if (!this->join.active || message.sequence != this->join.sequence) {
        return;
    }
    this->join.peer = from;
    this->join.after = message.pageAfter;
    this->join.attempts = 0;
    this->join.active = !message.pageAfter.value.empty();
    if (this->join.active) {
        this->sendJoin(now, actions);
    } else if (this->roster.peerCount() > this->join.peersBefore) {
        this->rejoinAt = now + this->settings.rejoinDelay;
    }
}

/// Returns the reply to a Join: this VM, and as many members after the requested id as fit.
MembershipMessage MemberTable::makePage(const MembershipMessage &request) const
{
    MembershipMessage page = this->makeReply(MessageKind::JoinReply, request);
    page.sender = updateWithDescription(this->ownMember);
    VmId last = request.pageAfter;
    for (const Member *member = this->roster.peerAfter(last); member != nullptr && member->vm > last;
         member = this->roster.peerAfter(last)) {
        if (member->state != MemberState::Dead) {
            MemberUpdate update = updateWithDescription(*member);
            // Leaves room for `pageAfter`, which holds the last id.
            if (messageSizeBound(page) + updateSizeBound(update) + maximumNameBytes > maximumDatagramBytes) {
                page.pageAfter = last;
                return page;
            }
            page.updates.push_back(std::move(update));
        }
        last = member->vm;
    }
    return page;
}

Duration MemberTable::scaleTimeout(Duration timeout) const
{
    return timeout * (1 + this->health);
}

Duration MemberTable::addJitter(Duration period)
{
    const double factor
        = std::uniform_real_distribution<double>(1.0 - jitterFraction, 1.0 + jitterFraction)(this->random);
    return std::chrono::duration_cast<Duration>(period * factor);
}

void MemberTable::adjustLocalHealth(int change)
{
    this->health = std::clamp(this->health + change, 0, maxLocalHealth);
}

} // namespace hickoryshore
