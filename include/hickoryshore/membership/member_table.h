// The membership decisions of one VM, after the SWIM protocol: probes, suspicion, refutation and the spread of news.
//
// Events and the time go in, actions come out; nothing here reads a clock or a socket. For example:
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

/// The periods and bounds of the protocol. All VMs of a fleet use the same.
struct MembershipSettings
{
    Duration probePeriod{std::chrono::milliseconds(200)}; ///< One peer is probed in each.
    Duration ackTimeout{std::chrono::milliseconds(150)}; ///< Then others are asked to probe the peer.
    Duration indirectTimeout{std::chrono::milliseconds(350)}; ///< Then the peer is suspected.
    Duration suspicionTimeout{std::chrono::seconds(5)}; ///< Then a suspect that has not refuted is dead.
    Duration deadProbePeriod{std::chrono::seconds(5)}; ///< One dead peer is probed in each: it may be back.
    Duration deadRetention{std::chrono::hours(2)}; ///< Then a dead peer is forgotten.
    Duration joinRetry{std::chrono::seconds(1)};
    Duration rejoinDelay{std::chrono::seconds(3)}; ///< After a join that brought members: others may start now, too.
    Duration pauseThreshold{std::chrono::milliseconds(300)}; ///< A timer later than this shows a pause of this VM.
    Duration resyncPause{std::chrono::seconds(5)}; ///< After a longer pause all members are asked for again.
    Duration takeoverPeriod{std::chrono::seconds(10)}; ///< Within it a VM takes over from its former process.
    int indirectProbes = 3; ///< Peers that are asked to probe a silent one.
    int urgentFanout = 3; ///< Peers that a change is sent to at once.
    double transmissionFactor = 3.0; ///< Each news is sent factor * ln(fleet size) times by each VM.
    double updateBytesPerSecond = 2000; ///< Sustained rate of news; the probes themselves come on top.
    double updateBurstBytes = 512 * 1024; ///< News that may go at once, as after the loss of a data centre.
};

/// Send the message to this "ip:port".
struct SendAction
{
    std::string address;
    MembershipMessage message;
};

/// A member is new, or its state or process has changed.
struct MemberChangedAction
{
    Member member;
    std::optional<MemberState> before; ///< Nothing where the member or its process is new.
};

/// A peer has a higher configuration revision than this VM. Repeated with each message until this VM has it too.
struct RevisionReceivedAction
{
    Revision revision;
    VmId from;
};

/// A newer process of this very VM is running: this one was taken for gone, and has to stop.
struct SupersededAction
{
    std::uint64_t processId = 0;
};

using MembershipAction = std::variant<SendAction, MemberChangedAction, RevisionReceivedAction, SupersededAction>;

/// A VM as the platform's list names it; the list lags.
struct ListedMember
{
    VmId vm;
    std::string address; ///< "ip:membershipPort"
    bool leaving = false;
};

/// Counters since the start.
struct MembershipCounts
{
    std::uint64_t probes = 0;
    std::uint64_t indirectProbes = 0; ///< Probes that needed the help of others.
    std::uint64_t suspicions = 0; ///< Raised by this VM.
    std::uint64_t refutations = 0; ///< Of suspicions of this VM.
    std::uint64_t deaths = 0; ///< Declared by this VM.
    std::uint64_t pauses = 0; ///< Pauses of this VM that it noticed.
    std::uint64_t urgentRounds = 0; ///< Changes sent at once.
    std::uint64_t joins = 0;
};

/// The members of the fleet as this VM knows them. Not thread-safe: one thread drives it.
class MemberTable
{
public:
    /// `self` has its process id and start time set. The seed drives every random choice.
    MemberTable(MembershipSettings settings, Member self, std::uint64_t seed);

    /// Begins to probe, and joins through the seeds ("ip:port"), some of which may be gone.
    void start(Instant now, std::vector<std::string> seeds, std::vector<MembershipAction> &actions);

    /// Takes a message that came from this "ip:port".
    void onMessage(Instant now,
                   std::string_view from,
                   const MembershipMessage &message,
                   std::vector<MembershipAction> &actions);

    /// Does what has become due.
    void onTimer(Instant now, std::vector<MembershipAction> &actions);

    /// When onTimer() has to be called next.
    Instant nextTimer() const;

    /// Takes the platform's list. It brings VMs together, but takes none away: what a VM says of itself counts.
    void mergePlatformList(Instant now, std::span<const ListedMember> list, std::vector<MembershipAction> &actions);

    /// Tells the others that this VM is leaving. It goes on answering.
    void leave(Instant now, std::vector<MembershipAction> &actions);

    /// The revision that this VM has in force; sent with each message.
    /// A message that carries a report of another part of the program to a peer.
    MembershipMessage makeReport(std::string_view report) const;

    void setConfigRevision(Revision revision);

    /// All members, this VM included.
    MembershipView view() const;

    /// The member with this id, this VM included, or nullptr where it is not known.
    const Member *find(const VmId &vm) const;

    const Member &self() const;
    const MembershipCounts &counts() const;

    /// 0 while this VM's own network and processor seem sound; each step stretches its timeouts.
    int localHealth() const;

private:
    using Actions = std::vector<MembershipAction>;

    struct PendingProbe
    {
        std::uint64_t sequence = 0;
        MemberUpdate target; ///< As known when the probe was sent.
        Instant deadline;
        bool indirect = false;
        std::size_t helpers = 0;
        std::size_t nacks = 0;
    };

    /// A probe that this VM makes for another one.
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
        std::string peer; ///< Whose pages are being read; empty: any contact.
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

    // Messages in and out.
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

    // News.
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
    VmId lastRefreshed; ///< Whose record was last sent to refresh what the others know.
    Instant startedAt;
    Instant nextProbe;
    Instant nextDeadProbe;
    std::optional<Instant> rejoinAt;
    int health = 0;
    bool superseded = false;
    MembershipCounts counters;
};

} // namespace hickoryshore
