// One replica in virtual time: slots, a queue, a connection limit, and the faults that a scenario switches on.
#pragma once

#include "hickoryshore/shard/shard_scheduler.h"
#include "model/event_queue.h"
#include "model/service_shape.h"

#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

namespace hickoryshore::bench {

/// What a replica says of its load in its replies.
enum class LoadReport { Accurate, None, Frozen, Inverted };

/// The faults of one replica. They may change at any time; work that has started keeps its service time.
struct ReplicaFaults
{
    double slowdown = 1; ///< Factor on every service time.
    double slowShare = 0; ///< Share of the replies that are slow.
    double slowFactor = 20; ///< Factor on the service time of these replies.
    double shedShare = 0; ///< Share of the requests that are shed, at random.
    bool failed = false; ///< Receives and answers nothing.
    bool draining = false;
    bool reportsDraining = true; ///< Replies tell that it is draining.
    Instant coldStartedAt; ///< Start of a cold start; the slowdown falls from five to one.
    Duration coldStartDuration{0};
    LoadReport loadReport = LoadReport::Accurate;
};

/// One attempt as it reaches the replica.
struct Work
{
    std::uint64_t key = 0; ///< Unique in the whole run.
    SubRequestId subRequest;
    Instant deadline;
    bool idempotent = true;
    std::function<void(const AttemptReply &)> reply;
};

/// What a run counts at one replica.
struct ReplicaUsage
{
    Duration slotTime{0};
    Duration lateSlotTime{0}; ///< Of work that finished after its deadline.
    Duration cancelledSlotTime{0}; ///< Of work that was cancelled while it ran.
    Instant lastReceived;
    int connections = 0;
    int peakConnections = 0;
    int peakInFlight = 0; ///< Attempts at the replica at once, running or queued.
    Duration aboveSlots{0}; ///< Time with more attempts present than slots.
};

/// Runs work on its slots; queues the rest first come, first served, and drops what is past its deadline.
class ReplicaModel
{
public:
    ReplicaModel(EventQueue &queue, const ServiceShape &shape, std::uint64_t seed);

    void receive(Work work);
    void cancel(std::uint64_t key);

    /// Returns false where the connection limit is reached.
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
