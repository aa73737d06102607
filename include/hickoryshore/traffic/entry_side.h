// The entry's duty: splits each query over the shards, sends the parts to the shards' owners and merges the answer.
//
// It holds no socket: what it wants done goes out through hooks, and it is driven by the traffic thread.
#pragma once

#include "hickoryshore/metrics/metrics.h"
#include "hickoryshore/query/query_coordinator.h"
#include "hickoryshore/traffic/peer_watch.h"
#include "hickoryshore/traffic/routing_view.h"

#include "query.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// A caller's query, checked, on its way to the traffic thread.
struct QueryRequest
{
    RequestId requestId;
    CallerId caller;
    IndexId index;
    std::string query;
    Instant arrival;
    Instant deadline;
    bool idempotent = true;
};

/// Names a running query within this VM's process.
using QueryNumber = std::uint64_t;

/// Called once with the final answer, on the traffic thread.
using QueryCompletion = std::function<void(const QueryAnswer &)>;

/// What the entry's side asks of its surroundings. Hooks that take a VM are also called for this VM itself.
struct EntryHooks
{
    std::function<void(const VmId &, wire::SubRequestMessage)> send;
    std::function<void(const VmId &, std::span<const std::uint64_t> ids)> cancel;
    std::function<void(const VmId &)> probe; ///< Send a heartbeat, to be answered at once.

    /// Use a new connection from now on; what is in flight on the former one is lost.
    std::function<void(const VmId &)> reconnect = [](const VmId &) {};
};

/// All queries that callers brought to this VM. Not thread-safe.
class EntrySide
{
public:
    EntrySide(EntryHooks hooks, Metrics &metrics);

    /// Takes a new view; queries in flight go on.
    void setDirectory(ShardDirectory &directory);

    /// Starts a query. The index must exist in the deployment of the directory; otherwise the answer says so.
    /// `number` must not have been used before.
    void submit(Instant now, QueryNumber number, const QueryRequest &request, QueryCompletion completion);

    /// The caller has left: an idempotent query ends as cancelled, together with its sub-requests. A non-idempotent one
    /// goes on, since its outcome is recorded and may be asked for.
    void abandon(Instant now, QueryNumber number);

    void onSubReply(Instant now, const wire::SubReplyMessage &message);

    /// Any frame came from this VM: it is alive.
    void onHeard(Instant now, const VmId &vm);

    /// A frame could not be handed to this VM, or it is known to be dead: its sub-requests go elsewhere.
    void onPeerLost(Instant now, const VmId &vm);

    void onTimer(Instant now);
    std::optional<Instant> nextTimer() const;

    std::size_t inFlight() const;

private:
    struct RunningQuery
    {
        QueryRequest request;
        QueryCoordinator coordinator;
        QueryCompletion completion;
        std::optional<Instant> timer;
        Duration slowestPart{0};
        int sent = 0;
    };

    struct SentSubRequest
    {
        QueryNumber query = 0;
        VmId vm;
        Instant sentAt;
    };

    struct QueryTimer
    {
        Instant due;
        QueryNumber query = 0;

        auto operator<=>(const QueryTimer &) const = default;
    };

    void perform(Instant now, QueryNumber number);
    void send(Instant now, QueryNumber number, RunningQuery &query, const SendSubRequest &action);
    void cancel(std::span<const SubRequestId> ids);
    void finish(Instant now, RunningQuery &query, const QueryAnswer &answer);
    void forget(SubRequestId id);
    void schedule(QueryNumber number, RunningQuery &query);
    std::optional<VmId> chooseOwner(const ShardId &shard, bool resend) const;
    QuerySettings settingsOf(const QueryRequest &request, const Index &index);

    EntryHooks hooks;
    Metrics &metrics;
    ShardDirectory *directory = nullptr;
    std::unordered_map<IndexId, SnapshotTracker> trackers;
    std::unordered_map<QueryNumber, RunningQuery> queries;
    std::unordered_map<SubRequestId, SentSubRequest> sent;
    std::set<QueryTimer> timers;
    PeerWatch peers;
    std::uint64_t lastSubRequest = 0;
    std::vector<QueryAction> actions;
};

} // namespace hickoryshore
