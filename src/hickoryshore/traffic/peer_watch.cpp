#include "hickoryshore/traffic/peer_watch.h"

namespace hickoryshore {

PeerWatch::PeerWatch(PeerWatchSettings settings) : settings(settings)
{ }

void PeerWatch::onSent(Instant now, const VmId &vm)
{
    Peer &peer = this->peers[vm];
    if (!peer.owedSince.has_value()) {
        peer.owedSince = now;
    }
    ++peer.owed;
    if (peer.state == State::Quiet) {
        peer.state = State::Owing;
        peer.since = now;
        this->setTimer(vm, peer, now + this->settings.probeAfter);
    }
}

void PeerWatch::onSettled(const VmId &vm)
{
    const auto found = this->peers.find(vm);
    if (found == this->peers.end() || found->second.owed == 0) {
        return;
    }
    Peer &peer = found->second;
    --peer.owed;
    if (peer.owed > 0) {
        return;
    }
    peer.owedSince.reset();
    if (peer.state != State::Silent) {
        this->setTimer(vm, peer, std::nullopt);
        this->peers.erase(found);
    }
}

void PeerWatch::onHeard(Instant now, const VmId &vm)
{
    const auto found = this->peers.find(vm);
    if (found == this->peers.end()) {
        return;
    }
    Peer &peer = found->second;
    if (peer.owed == 0) {
        this->setTimer(vm, peer, std::nullopt);
        this->peers.erase(found);
        return;
    }
    peer.state = State::Owing;
    peer.since = now;
    // A timer that is due earlier is left where it is and looked at again when it falls due: moving it on every frame
    // would cost more than the frame. After a probe it is due too late.
    const Instant probeAt = now + this->settings.probeAfter;
    if (!peer.timer.has_value() || *peer.timer > probeAt) {
        this->setTimer(vm, peer, probeAt);
    }
}

void PeerWatch::onLost(Instant now, const VmId &vm)
{
    Peer &peer = this->peers[vm];
    if (peer.state != State::Silent) {
        peer.reconnectAt = now + this->settings.reconnectEvery;
    }
    peer.state = State::Silent;
    peer.since = now;
    peer.owedSince.reset();
    this->setTimer(vm, peer, now + this->settings.probeEvery);
}

bool PeerWatch::isSilent(const VmId &vm) const
{
    const auto found = this->peers.find(vm);
    return found != this->peers.end() && found->second.state == State::Silent;
}

std::vector<PeerDue> PeerWatch::takeDue(Instant now)
{
    std::vector<PeerDue> due;
    while (!this->timers.empty() && this->timers.begin()->due <= now) {
        const VmId vm = this->timers.begin()->vm;
        Peer &peer = this->peers.at(vm);
        this->setTimer(vm, peer, std::nullopt);
        if (peer.state == State::Owing && now - peer.since < this->settings.probeAfter) {
            this->setTimer(vm, peer, peer.since + this->settings.probeAfter);
            continue;
        }
        if (this->isForgettable(now, peer)) {
            this->peers.erase(vm);
            continue;
        }
        due.push_back(this->advance(now, vm, peer));
    }
    return due;
}

bool PeerWatch::isForgettable(Instant now, const Peer &peer) const
{
    // The count of what a peer owes must last as long as it owes.
    return peer.state == State::Silent && peer.owed == 0 && now - peer.since > this->settings.silentProbesFor;
}

bool PeerWatch::isLost(Instant now, const Peer &peer) const
{
    if (peer.state == State::Probed) {
        return true;
    }
    // A sub-request goes to a silent peer where there is no better one. It gets as long as any other.
    const Duration patience = this->settings.probeAfter + this->settings.silentAfter;
    return peer.state == State::Silent && peer.owedSince.has_value() && now - *peer.owedSince >= patience;
}

PeerDue PeerWatch::advance(Instant now, const VmId &vm, Peer &peer)
{
    if (peer.state == State::Owing) {
        peer.state = State::Probed;
        this->setTimer(vm, peer, now + this->settings.silentAfter);
        return {vm, false};
    }
    const bool lost = this->isLost(now, peer);
    if (lost) {
        peer.owedSince.reset();
    }
    if (peer.state == State::Probed) {
        peer.state = State::Silent;
        peer.since = now;
        peer.reconnectAt = now + this->settings.reconnectEvery;
    }
    this->setTimer(vm, peer, now + this->settings.probeEvery);
    const bool reconnect = peer.reconnectAt <= now;
    if (reconnect) {
        peer.reconnectAt = now + this->settings.reconnectEvery;
    }
    return {vm, lost, reconnect};
}

std::optional<Instant> PeerWatch::nextTimer() const
{
    if (this->timers.empty()) {
        return std::nullopt;
    }
    return this->timers.begin()->due;
}

void PeerWatch::setTimer(const VmId &vm, Peer &peer, std::optional<Instant> due)
{
    if (peer.timer.has_value()) {
        this->timers.erase({*peer.timer, vm});
    }
    peer.timer = due;
    if (due.has_value()) {
        this->timers.insert({*due, vm});
    }
}

} // namespace hickoryshore
