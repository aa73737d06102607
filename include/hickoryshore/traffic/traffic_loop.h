// The traffic thread: joins the entry's side, the owner's side, the connections between VMs and those to upstreams.
//
//     TrafficLoop traffic(settings, metrics);
//     std::thread thread([&] { traffic.run(); });
//     traffic.setView(view);
//     traffic.submit(request, [](const QueryAnswer &answer) { ... });
#pragma once

#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/metrics/metrics.h"
#include "hickoryshore/traffic/entry_side.h"
#include "hickoryshore/traffic/routing_view.h"
#include "hickoryshore/upstream/upstream_pool.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace hickoryshore {

struct TrafficSettings
{
    VmId vm;
    std::string endpoint; ///< "tcp://ip:peerPort" to bind.
    std::uint64_t processId = 0; ///< The same that membership tells the others.
    UpstreamPoolSettings upstream;
};

/// Sends the answer to a peer's fetch; may be called later, from any thread.
using AnswerConfigFetch = std::function<void(wire::ConfigChunks)>;

/// Sends the answer to a peer's ledger call; may be called later, from any thread.
using AnswerLedgerCall = std::function<void(wire::LedgerReply)>;

/// What peers say beyond queries; called on the traffic thread.
struct TrafficHooks
{
    std::function<void(const wire::ConfigFetch &, AnswerConfigFetch)> onConfigFetch;
    std::function<void(const VmId &, const wire::ConfigChunks &)> onConfigChunks;
    std::function<void(const wire::LedgerCall &, AnswerLedgerCall)> onLedgerCall;
    std::function<void(const VmId &, const wire::LedgerReply &)> onLedgerReply;
};

/// All traffic of one VM. Its public functions may be called from any thread.
class TrafficLoop
{
public:
    TrafficLoop(TrafficSettings settings, TrafficHooks hooks, Metrics &metrics);
    ~TrafficLoop();
    TrafficLoop(const TrafficLoop &) = delete;
    TrafficLoop &operator=(const TrafficLoop &) = delete;

    /// Takes a new picture of deployment and members.
    void setView(std::shared_ptr<const RoutingView> view);

    /// Starts a query; the completion is called on the traffic thread.
    QueryNumber submit(QueryRequest request, QueryCompletion completion);

    /// The query's caller has left; see EntrySide::abandon(). Nothing happens where it is answered already.
    void abandon(QueryNumber number);

    /// Asks a peer for its configuration head and for chunks; the answer comes through onConfigChunks.
    void fetchConfig(const VmId &vm, wire::ConfigFetch fetch);

    /// Sends a ledger call to the VM that writes its partition; a reply comes through onLedgerReply.
    void callLedger(const VmId &vm, wire::LedgerCall call);

    /// Queries of callers, and sub-requests of other VMs, that are not answered yet.
    int queriesInFlight() const;
    int subRequestsInFlight() const;

    UpstreamPoolCounts upstreamCounts() const;

    /// Serves until stop().
    void run();
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace hickoryshore
