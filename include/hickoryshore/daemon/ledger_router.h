// Brings ledger submissions to the one VM that writes their partition, so that concurrent ones share a write.
//
// This is a matter of speed alone: any VM may write any partition, and compare-and-swap keeps it safe.
#pragma once

#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/ledgerservice/ledger_service.h"

#include "query.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace hickoryshore {

/// What the router needs to know of the fleet; called on the control thread.
struct LedgerRouterHooks
{
    std::function<VmId(const RequestId &)> writerOf; ///< The VM that should write the request's partition.
    std::function<void(const VmId &, wire::LedgerCall)> send;
};

/// Lives on the control thread; submit(), complete() and lookUp() may be called from any thread.
///
///     LedgerRouter router(loop, ledger, self, hooks);
///     router.submit(request, [](const LedgerDecision &decision) { ... });
///     router.onReply(vm, reply);  // of another VM
///     router.onCall(call, answer); // another VM's
class LedgerRouter
{
public:
    using OnDecision = LedgerService::OnDecision;
    using Answer = std::function<void(wire::LedgerReply)>;

    LedgerRouter(EventLoop &loop, LedgerService &ledger, VmId self, LedgerRouterHooks hooks);

    /// As LedgerService::submit(). Where the writer gives no reply in time, the request is refused and never
    /// dispatched.
    void submit(LedgerRequest request, OnDecision onDecision);

    /// As LedgerService::complete(); goes to the VM that accepted the request.
    void complete(RequestId id, ResultCode code, std::string outcome);

    /// As LedgerService::lookUp().
    void lookUp(RequestId id, std::optional<WallTime> issuedAt, OnDecision onDecision);

    /// Another VM's call to this one.
    void onCall(const wire::LedgerCall &call, Answer answer);

    /// A reply to this VM's call.
    void onReply(const VmId &from, const wire::LedgerReply &reply);

private:
    struct Waiting
    {
        VmId writer;
        OnDecision onDecision;
    };

    void ask(const VmId &writer, wire::LedgerCall call, Duration timeout, LedgerDecision late, OnDecision onDecision);

    EventLoop &loop;
    LedgerService &ledger;
    VmId self;
    LedgerRouterHooks hooks;
    std::unordered_map<std::uint64_t, Waiting> waiting;
    std::unordered_set<std::uint64_t> refused; ///< Submissions refused for lack of a reply, which may still come.
    std::unordered_map<RequestId, VmId> acceptedBy; ///< Requests that another VM accepted for this one.
    std::uint64_t lastToken = 0;
};

} // namespace hickoryshore
