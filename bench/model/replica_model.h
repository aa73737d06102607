// Simulates one replica: its slots, queue, connection limit and the faults that a scenario switches on.
#pragma once

#include "hickoryshore/shard/shard_scheduler.h"
#include "model/event_queue.h"
#include "model/service_shape.h"

#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

namespace hickoryshore::bench {

/// How the load that a replica reports in its replies relates to its actual load.
enum class LoadReport { Accurate, None, Frozen, Inverted };

/// The faults of one replica. They may change at any time. Work that has started keeps its service time.
struct ReplicaFaults
{
    double slowdown = 1; ///< Factor applied to every service time.
    double slowShare = 0; ///< Share of the requests that are slow.
    double slowFactor = 20; ///< Factor applied to the service time of slow requests.
    double shedShare = 0; ///< Share of the requests that are shed, chosen at random.
    bool failed = false; ///< Receives and answers nothing.
    bool draining = false;
    bool reportsDraining = true; ///< While draining, replies report it.
    Instant coldStartedAt;
    Duration coldStartDuration{0}; ///< In this time from coldStartedAt, a further slowdown falls from five to one.
    LoadReport loadReport = LoadReport::Accurate;
};

/// One attempt as the replica receives it.
struct Work
{
    std::uint64_t key = 0; ///< Unique within a run.
    SubRequestId subRequest;
    Instant deadline;
    bool idempotent = true;
    std::function<void(const AttemptReply &)> reply; ///< Called at most once.
};

/// Usage counters of one replica.
struct ReplicaUsage
{
    Duration slotTime{0}; ///< Time that slots spent on work.
    Duration lateSlotTime{0}; ///< Slot time of work that finished after its deadline.
    Duration cancelledSlotTime{0}; ///< Slot time of work that was cancelled while it ran.
    Instant lastReceived; ///< When the last work arrived.
    int connections = 0;
    int peakConnections = 0;
    int peakInFlight = 0; ///< Largest number of attempts running or queued at the same time.
    Duration aboveSlots{0}; ///< Time with more attempts running or queued than slots.
};

/// Runs work on a fixed number of slots and queues the rest in order of arrival. Queued work whose deadline has passed
/// is answered with DeadlineBeforeDispatch and not run.
class ReplicaModel
{
public:
    ReplicaModel(EventQueue &queue, const ServiceShape &shape, std::uint64_t seed);

    void receive(Work work);
    void cancel(std::uint64_t key);

    /// Opens a connection. Returns false if the connection limit is reached.
    bool connect();
    void disconnect();

    ReplicaFaults faults;
    ReplicaUsage usage;
    std::function<void(const Work &)> onStart; ///< Called when work starts to run.

private:
    struct Running
    {
        Work work;
        Instant start;
    };

    void start(Work work);
    void finish(std::uint64_t key);
    void startQueued();
    void recordInFlight();
    Duration serviceTime();
    AttemptReply replyWith(ResultCode code);

    EventQueue &queue;
    const ServiceShape &shape;
    std::mt19937_64 random;
    std::deque<Work> waiting;
    std::unordered_map<std::uint64_t, Running> running;
    bool isAboveSlots = false;
    Instant aboveSlotsSince;
};

} // namespace hickoryshore::bench
