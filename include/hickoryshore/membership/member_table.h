// The SWIM membership protocol of one VM: probes, suspicion, refutation and gossip.
//
// Takes events and the current time and returns actions; reads no clock and no socket. For example:
//
//     MemberTable table(settings, self, seed);
//     std::vector<MembershipAction> actions;
//     table.start(now, seeds, actions);                // SendAction: joins
//     table.onMessage(now, from, message, actions);    // SendAction, MemberChangedAction, ...
//     table.onTimer(now, actions);                     // SendAction: probes
//     wakeUpAt(table.nextTimer());
#pragma once

#include "hickoryshore/membership/roster.h"
#include "hickoryshore/membership/token_bucket.h"
#include "hickoryshore/membership/update_queue.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickoryshore {

/// Periods and limits of the protocol. All VMs of a fleet must use the same values.
struct MembershipSettings
{
    Duration probePeriod{std::chrono::milliseconds(200)}; ///< One peer is probed per period.
    Duration ackTimeout{std::chrono::milliseconds(150)}; ///< Afterwards other peers are asked to probe the target.
    Duration indirectTimeout{std::chrono::milliseconds(350)}; ///< Afterwards the target is suspected.
    Duration suspicionTimeout{std::chrono::seconds(5)}; ///< Afterwards a suspect that has not refuted is dead.
    Duration deadProbePeriod{std::chrono::seconds(5)}; ///< One dead peer is probed per period, in case it is back.
    Duration deadRetention{std::chrono::hours(2)}; ///< Afterwards a dead peer is removed.
    Duration joinRetry{std::chrono::seconds(1)};
    /// A join that found new members is repeated after this time, since more may be starting.
    Duration rejoinDelay{std::chrono::seconds(3)};
    Duration pauseThreshold{std::chrono::milliseconds(300)}; ///< A timer later than this means that this VM was paused.
    Duration resyncPause{std::chrono::seconds(5)}; ///< After a pause of at least this, the members are fetched again.
    /// For this time after its start, a VM takes over from a previous process that seems to have started later.
    Duration takeoverPeriod{std::chrono::seconds(10)};
    int indirectProbes = 3; ///< Peers that are asked to probe an unresponsive target.
    int urgentFanout = 3; ///< Peers that a change is sent to at once.
    double transmissionFactor = 3.0; ///< Each VM sends an update factor * ln(fleet size + 1) times.
    double updateBytesPerSecond = 2000; ///< Sustained rate of updates, probes not included.
    double updateBurstBytes = 512 * 1024; ///< Allows a burst, as after the loss of a data centre.
};

/// Sends the message to `address`, an "ip:port".
struct SendAction
{
    std::string address;
    MembershipMessage message;
};

/// Reports a new member, or a change of a member's state or process.
struct MemberChangedAction
{
    Member member;
    std::optional<MemberState> before; ///< std::nullopt if the member or its process is new.
};

/// Reports a peer with a higher configuration revision. Repeated for each message until this VM has that revision.
struct RevisionReceivedAction
{
    Revision revision;
    VmId from;
};

/// Reports that a newer process runs under this VM's id. This process must stop.
struct SupersededAction
{
    std::uint64_t processId = 0;
};

using MembershipAction = std::variant<SendAction, MemberChangedAction, RevisionReceivedAction, SupersededAction>;

/// A VM in the platform's list. The list lags behind the actual state.
struct ListedMember
{
    VmId vm;
    std::string address; ///< "ip:membershipPort"
    bool leaving = false;
};

/// Counters since the process started.
struct MembershipCounts
{
    std::uint64_t probes = 0;
    std::uint64_t indirectProbes = 0; ///< Probes that were repeated through other peers.
    std::uint64_t suspicions = 0; ///< Raised by this VM.
    std::uint64_t refutations = 0; ///< Suspicions of this VM that it refuted.
    std::uint64_t deaths = 0; ///< Declared by this VM.
    std::uint64_t pauses = 0; ///< Pauses of this VM that it detected.
    std::uint64_t urgentRounds = 0; ///< Rounds of updates sent outside the probes.
    std::uint64_t joins = 0;
};

/// Tracks the members of the fleet for one VM. Not thread-safe.
class MemberTable
{
public:
    /// `self` must have its process id and start time set. All random choices derive from `seed`.
    MemberTable(MembershipSettings settings, Member self, std::uint64_t seed);

    /// Starts probing and joins through the seeds ("ip:port"). Some seeds may be unreachable.
    void start(Instant now, std::vector<std::string> seeds, std::vector<MembershipAction> &actions);

    /// Handles a message received from `from`, an "ip:port".
    void onMessage(Instant now,
                   std::string_view from,
                   const MembershipMessage &message,
                   std::vector<MembershipAction> &actions);

    /// Performs all work that is due.
    void onTimer(Instant now, std::vector<MembershipAction> &actions);

    /// Returns when to call onTimer() next.
    Instant nextTimer() const;

    /// Joins VMs of the platform's list that are missing here. Removes none: only a VM's own updates or failed probes
    /// do.
    void mergePlatformList(Instant now, std::span<const ListedMember> list, std::vector<MembershipAction> &actions);

    /// Announces that this VM is leaving. It still answers messages.
    void leave(Instant now, std::vector<MembershipAction> &actions);

    /// Returns a message that carries a report of another component to a peer.
    MembershipMessage makeReport(std::string_view report) const;

    /// Sets the configuration revision that this VM uses; each message carries it.
    void setConfigRevision(Revision revision);

    /// Returns all members, this VM included.
    MembershipView view() const;

    /// Returns the member with this id (may be this VM), or nullptr if there is none.
    const Member *find(const VmId &vm) const;

    const Member &self() const;
    const MembershipCounts &counts() const;

    /// Returns 0 while this VM's own network and processor work well. Timeouts are multiplied by one plus this value.
    int localHealth() const;

private:
    using Actions = std::vector<MembershipAction>;

    struct PendingProbe
    {
        std::uint64_t sequence = 0;
        MemberUpdate target; ///< As recorded when the probe was sent.
        Instant deadline;
        bool indirect = false;
        std::size_t helpers = 0;
        std::size_t nacks = 0;
    };

    /// A probe that this VM sends on behalf of another one.
    struct Relay
    {
        std::uint64_t sequence = 0;
        std::uint64_t requesterSequence = 0;
        std::string requester;
        VmId target;
        Instant deadline;
    };

    struct Join
    {
        bool active = false;
        std::uint64_t sequence = 0;
        std::size_t peersBefore = 0;
        std::vector<std::string> contacts;
        std::string peer; ///< The contact that replied and sends further pages of members; empty if there is none.
        VmId after;
        Instant retryAt;
        int attempts = 0;
    };

    struct UrgentUpdates
    {
        bool pending = false;
        Instant notBefore;
        TokenBucket rounds;
    };

    // Messages.
    MembershipMessage makeMessage(MessageKind kind, std::uint64_t sequence) const;
    void send(Instant now, const std::string &address, MembershipMessage message, Actions &actions);
    void sendTo(Instant now, const VmId &vm, const MembershipMessage &message, Actions &actions);
    void appendUpdates(Instant now, MembershipMessage &message);
    void appendRefresh(MembershipMessage &message);
    void answer(Instant now, const std::string &from, const MembershipMessage &message, Actions &actions);
    MembershipMessage makeReply(MessageKind kind, const MembershipMessage &request) const;
    void onAck(Instant now, std::uint64_t sequence, Actions &actions);
    void onNack(std::uint64_t sequence);
    void onProbeRequest(Instant now, const std::string &from, const MembershipMessage &message, Actions &actions);
    void onJoinReply(Instant now, const std::string &from, const MembershipMessage &message, Actions &actions);
    MembershipMessage makePage(const MembershipMessage &request) const;

    // Updates.
    void mergeSender(Instant now, const MembershipMessage &message, Actions &actions);
    void mergeUpdate(Instant now, const MemberUpdate &update, bool forward, Actions &actions);
    void mergeOwnUpdate(Instant now, const MemberUpdate &update, Actions &actions);
    void announceSelf();
    void gossipUrgentUpdates(Instant now, Actions &actions);
    std::optional<MemberUpdate> correction(const MemberUpdate &reported) const;

    // Timers.
    void detectPause(Instant now, Actions &actions);
    void probe(Instant now, const VmId &vm, Actions &actions);
    void expireProbes(Instant now, Actions &actions);
    void sendIndirectProbes(Instant now, PendingProbe &probe, Actions &actions);
    void failProbe(Instant now, const PendingProbe &probe, Actions &actions);
    void expireRelays(Instant now, Actions &actions);
    void expireSuspicions(Instant now, Actions &actions);
    void probeDead(Instant now, Actions &actions);
    void beginJoin(Instant now, std::vector<std::string> contacts, Actions &actions);
    void sendJoin(Instant now, Actions &actions);
    void retryJoin(Instant now, Actions &actions);
    Duration scaleTimeout(Duration timeout) const;
    Duration addJitter(Duration period);
    void adjustLocalHealth(int change);

    MembershipSettings settings;
    Member ownMember;
    MembershipRandom random;
    Roster roster;
    UpdateQueue updateQueue;
    UrgentUpdates urgent;
    TokenBucket updateByteBudget;
    Join join;
    std::vector<PendingProbe> probes;
    std::vector<Relay> relays;
    std::uint64_t lastSequence = 0;
    VmId lastRefreshed; ///< Member last sent by appendRefresh().
    Instant startedAt;
    Instant nextProbe;
    Instant nextDeadProbe;
    std::optional<Instant> rejoinAt;
    int health = 0;
    bool superseded = false;
    MembershipCounts counters;
};

} // namespace hickoryshore
