// Simulates one shard on one VM: the policy, its connections to the replicas and the network delay of attempts.
#pragma once

#include "model/event_queue.h"
#include "model/replica_model.h"
#include "model/run_statistics.h"
#include "model/shard_policy.h"

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace hickoryshore::bench {

/// A replica and the network delay from this VM to it.
struct ReplicaPath
{
    ReplicaId id;
    ReplicaModel *replica = nullptr;
    Duration oneWayDelay{0};
};

/// Drives the policy of one shard on one VM and carries out its actions.
class ShardHost
{
public:
    using AnswerCallback = std::function<void(const AnswerAction &)>;

    /// `hostIndex` is unique among the hosts of a run.
    ShardHost(EventQueue &queue,
              RunStatistics &statistics,
              ShardPolicy policy,
              std::vector<ReplicaPath> paths,
              Duration connectionCost,
              std::uint64_t hostIndex);

    void submit(const SubRequest &subRequest);
    void cancel(SubRequestId subRequest);
    void markDraining(std::size_t replica);
    void update(const ShardSettings &settings);

    /// Simulates the failure of the VM: it sends no more answers and its connections are closed.
    void fail();

    /// Makes every open connection to this replica silent: from now on no reply arrives on it.
    void silenceConnections(std::size_t replica);

    AnswerCallback onAnswer; ///< Called with the answer to each sub-request.

private:
    struct Connection
    {
        bool silent = false;
        Instant lastReply;
    };

    struct Attempt
    {
        std::size_t replica = 0;
        std::uint64_t key = 0; ///< Key of the work at the replica; zero until it is sent.
        SubRequestId subRequest;
        Connection connection;
        Instant sentAt;
    };

    struct Pending
    {
        SubRequest subRequest;
        Instant firstDispatch;
        int silentConnections = 0; ///< Attempts whose connection was or went silent.
    };

    void apply(Actions &actions);
    void perform(const DispatchAction &action);
    void perform(const CancelAction &action);
    void perform(const AnswerAction &action);
    void connectAndSend(const DispatchAction &action);
    void send(AttemptId id, Connection connection);
    void reply(AttemptId id, const AttemptReply &reply, bool keepConnection);
    void closeIdleConnections(std::size_t replica);
    void closeSuspectConnections(std::size_t replica, Instant since);
    void closeStaleConnections(std::size_t replica);
    void openSpareConnection(std::size_t replica);
    std::size_t indexOf(const ReplicaId &replica) const;
    void countAttempt(const DispatchAction &action, Pending &pending);
    void scheduleTimer();

    EventQueue &queue;
    RunStatistics &statistics;
    ShardPolicy policy;
    std::vector<ReplicaPath> paths;
    std::vector<std::vector<Connection>> idle;
    std::vector<bool> spareOpening; ///< Whether a spare connection is being opened.
    Duration connectionCost;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<SubRequestId, Pending> pending;
    std::optional<Instant> timerAt;
    std::uint64_t lastKey = 0;
    bool failed = false;
};

} // namespace hickoryshore::bench
