// Connections to replicas: each carries one exchange at a time, and an event loop drives all of them.
//
// The number of connections to a replica is bounded. A connection that failed or timed out is closed and never used
// again; the idle ones opened before it went silent are closed too, since what made one silent may have done it to all.
//
//     UpstreamPool pool(loop, {.connectionsPerServer = 6});
//     pool.call(replica, request, timeout, true, [](const UpstreamReply &reply) { ... });
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/upstream/http_connections.h"
#include "hickoryshore/upstream/upstream_protocol.h"

#include <functional>
#include <memory>
#include <string>

namespace hickoryshore {

using UpstreamPoolSettings = HttpConnectionSettings;
using UpstreamPoolCounts = HttpConnectionCounts;

/// Called on the loop's thread with the reply to one call, never from within call().
using UpstreamCompletion = std::function<void(const UpstreamReply &)>;

/// Called on the loop's thread with what the health endpoint told, or nullptr where it gave no answer.
using HealthCompletion = std::function<void(const UpstreamReport *)>;

/// A pool of connections, keyed by replica.
class UpstreamPool
{
public:
    /// A pool on the thread of this loop, where all but counts() must be called. It must end there or after the loop.
    UpstreamPool(EventLoop &loop, const UpstreamPoolSettings &settings);

    /// A pool with a loop and a thread of its own; its functions may be called from any thread.
    explicit UpstreamPool(const UpstreamPoolSettings &settings);

    /// Closes all connections; calls in flight are not completed.
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /// Bounds this VM's connections to one replica. A lowered bound holds for new connections only.
    void limitConnections(const ReplicaId &replica, int connections);

    /// Sends a sub-request and reports its reply, at the latest after the timeout. Where every connection is in use
    /// it waits for one; after the timeout the reply is ConnectFailed: not run. With `proven`, only a new connection or
    /// one proven alive is used.
    void call(const ReplicaId &replica,
              UpstreamRequest request,
              Duration timeout,
              bool proven,
              UpstreamCompletion completion);

    /// Asks the replica to cancel an attempt; its outcome is not waited for.
    void cancel(const ReplicaId &replica, std::string_view attemptId);

    /// Reads the replica's health endpoint.
    void readHealth(const ReplicaId &replica, Duration timeout, HealthCompletion completion);

    UpstreamPoolCounts counts() const;

private:
    struct OwnLoop;

    void start(const ReplicaId &replica, HttpExchange exchange);

    std::unique_ptr<OwnLoop> ownLoop; ///< Where no loop was given.
    std::shared_ptr<HttpConnections> connections;
};

} // namespace hickoryshore
