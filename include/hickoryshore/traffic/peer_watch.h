// Tells when an owner VM has gone silent, from the replies that it owes. Decisions only.
//
// Heartbeats cost a message for each pair of VMs, so they are sent only to a VM that is late with a reply.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// When a peer counts as late, and when as silent.
struct PeerWatchSettings
{
    Duration probeAfter{std::chrono::milliseconds(15)}; ///< Without a frame while a reply is owed.
    Duration silentAfter{std::chrono::milliseconds(45)}; ///< Without a frame after the probe.
    Duration probeEvery{std::chrono::milliseconds(100)}; ///< To a silent peer, until it is heard again.
    Duration reconnectEvery{std::chrono::milliseconds(500)}; ///< While a peer stays silent.
    Duration silentProbesFor{std::chrono::seconds(10)}; ///< After that a silent peer that owes nothing is forgotten.
};

/// What is due for one peer.
struct PeerDue
{
    VmId vm;
    bool silent = false; ///< What was sent to it is lost: it has become silent, or stayed so. Otherwise probe it.
    bool reconnect = false; ///< It has stayed silent, maybe since its connection has: use a new one.
};

/// Watches the peers that owe replies.
///
///     watch.onSent(now, vm);
///     watch.onHeard(now, vm); // any frame
///     for (const PeerDue &due : watch.takeDue(now)) { ... }
class PeerWatch
{
public:
    explicit PeerWatch(PeerWatchSettings settings = {});

    /// A sub-request went to the peer.
    void onSent(Instant now, const VmId &vm);

    /// A reply came, or the sub-request is no longer waited for.
    void onSettled(const VmId &vm);

    /// Any frame came from the peer.
    void onHeard(Instant now, const VmId &vm);

    /// The peer cannot be reached.
    void onLost(Instant now, const VmId &vm);

    /// Whether the peer has gone silent and was not heard since.
    bool isSilent(const VmId &vm) const;

    /// Returns what has fallen due and moves the timers on.
    std::vector<PeerDue> takeDue(Instant now);

    std::optional<Instant> nextTimer() const;

private:
    enum class State { Quiet, Owing, Probed, Silent };

    struct Peer
    {
        State state = State::Quiet;
        int owed = 0;
        Instant since; ///< When the state began, or when the peer was heard last.
        std::optional<Instant>
            owedSince; ///< The first sub-request that was sent since it last owed nothing or was lost.
        Instant reconnectAt; ///< While it is silent.
        std::optional<Instant> timer;
    };

    struct PeerTimer
    {
        Instant due;
        VmId vm;

        auto operator<=>(const PeerTimer &) const = default;
    };

    void setTimer(const VmId &vm, Peer &peer, std::optional<Instant> due);
    bool isForgettable(Instant now, const Peer &peer) const;
    bool isLost(Instant now, const Peer &peer) const;
    PeerDue advance(Instant now, const VmId &vm, Peer &peer);

    PeerWatchSettings settings;
    std::unordered_map<VmId, Peer> peers;
    std::set<PeerTimer> timers;
};

} // namespace hickoryshore
