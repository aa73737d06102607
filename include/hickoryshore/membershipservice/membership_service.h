// Membership over UDP: drives a MemberTable from an event loop.
#pragma once

#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/membership/member_table.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// What the service needs to start.
struct MembershipServiceSettings
{
    Member self; ///< As others see it. Process id and start time are set by the service.
    std::string bindAddress; ///< IP number that is bound, with self's port; empty for self's address.
    std::vector<std::string> seeds; ///< "ip:port" of some VMs; those that are gone do no harm.
    MembershipSettings protocol;
};

/// Called on the control thread; each may be left empty.
struct MembershipHooks
{
    /// A member, its state or a revision has changed. Revisions alone are told once a second at most. The first call
    /// comes from the constructor.
    std::function<void(std::shared_ptr<const MembershipView>)> onView;

    /// A peer has a higher configuration revision than this VM; repeated until setConfigRevision() reaches it.
    std::function<void(Revision, const VmId &)> onRevisionHeard;

    /// A member is new or its state or process has changed; for logs.
    std::function<void(const MemberChangedAction &)> onMemberChanged;

    /// Another VM's report for another part of the program.
    std::function<void(std::string_view)> onReport;

    /// A newer process of this VM runs elsewhere: this one has to stop.
    std::function<void()> onSuperseded;
};

/// Counters since the start, for metrics.
struct MembershipTraffic
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0; ///< Payload, without IP and UDP headers.
    std::uint64_t bytesReceived = 0;
    std::uint64_t malformed = 0; ///< Datagrams dropped unread.
    std::uint64_t sendErrors = 0;
};

/// The membership of this VM. It lives on the control thread and outlives the loop's run().
///
///     MembershipService membership(loop, settings, {.onView = [&](auto view) { views.store(view); }});
///     loop.every(5s, [&] { membership.seedFromList(list); });
class MembershipService
{
public:
    /// Binds the socket and joins. Before EventLoop::run(). Throws std::system_error.
    MembershipService(EventLoop &loop, MembershipServiceSettings settings, MembershipHooks hooks);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /// Tells the others which revision this VM has in force.
    void setConfigRevision(Revision revision);

    /// Sends a report of another part of the program to these members, once: it may be lost. One that does not fit into
    /// a datagram is dropped.
    void sendReport(std::string_view report, std::span<const Member> members);

    /// Takes the platform's list of VMs.
    void seedFromList(std::span<const ListedMember> list);

    /// Tells the others that this VM is leaving; it goes on answering.
    void leave();

    std::shared_ptr<const MembershipView> view() const;
    const MembershipTraffic &traffic() const;
    const MembershipCounts &counts() const;

    /// 0 while this VM's own network and processor seem sound.
    int localHealth() const;

private:
    void receive();
    void perform();
    void perform(const MembershipAction &action);
    void sendDatagram(const std::string &address, const std::string &datagram);
    void publishView();
    void schedule();

    EventLoop &loop;
    MembershipHooks hooks;
    int descriptor = -1;
    MemberTable table;
    std::vector<MembershipAction> actions;
    std::shared_ptr<const MembershipView> currentView;
    bool viewChanged = true;
    Instant scheduled; ///< The earliest wake-up that the loop still owes.
    bool wakeUpPending = false;
    MembershipTraffic counters;
};

} // namespace hickoryshore
