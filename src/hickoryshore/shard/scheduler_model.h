// Runs random events against a ShardScheduler for the property tests and checks its invariants.
#pragma once

#include "hickoryshore/shard/shard_scheduler.h"

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace hickoryshore {

/// A random event. The two numbers select among the available choices, modulo their count.
struct ModelEvent
{
    enum class Kind { Submit, Reply, Cancel, Advance, MarkDraining, Update };

    Kind kind = Kind::Advance;
    std::uint32_t first = 0;
    std::uint32_t second = 0;

    friend std::ostream &operator<<(std::ostream &stream, const ModelEvent &event);
};

/// Drives one scheduler and records its actions. Each violated invariant is recorded as a sentence.
class SchedulerModel
{
public:
    explicit SchedulerModel(std::uint64_t seed);

    void run(const ModelEvent &event);

    /// Advances the time until all work must be done, then checks that every sub-request was answered.
    void finish();

    const std::vector<std::string> &violations() const;

    /// Returns a log of all actions, for comparing two runs.
    const std::string &transcript() const;

private:
    struct KnownSubRequest
    {
        SubRequest subRequest;
        int answers = 0;
        bool cancelled = false;
        int dispatches = 0;
        bool mayHaveRun = false; ///< An attempt ended with a result that does not rule out that it ran.
        std::set<AttemptId> open;
    };
    struct KnownAttempt
    {
        SubRequestId subRequest;
        ReplicaId replica;
        bool cancelled = false;
    };

    void submit(const ModelEvent &event);
    void reply(const ModelEvent &event);
    void cancel(const ModelEvent &event);
    void advance(Duration step);
    void update(const ModelEvent &event);
    void checkActions();
    void checkActions(const DispatchAction &action);
    void checkActions(const CancelAction &action);
    void checkActions(const AnswerAction &action);
    void require(bool holds, const std::string &what);
    bool isDraining(const ReplicaId &replica) const;

    ShardSettings settings;
    ShardScheduler scheduler;
    Instant now{std::chrono::seconds(1)};
    Instant lastBusy = this->now; ///< Last time at which an attempt was in flight or the queue was empty.
    std::uint64_t lastSubRequest = 0;
    std::map<SubRequestId, KnownSubRequest> subRequests;
    std::map<AttemptId, KnownAttempt> attempts; ///< Attempts without a reply, including cancelled ones.
    std::map<ReplicaId, int> live; ///< Number of attempts that have neither ended nor been cancelled.
    std::set<ReplicaId> signalled;
    std::map<ReplicaId, Instant> markedUntil;
    std::vector<ShardAction> actions;
    std::vector<std::string> violated;
    std::string log;
};

} // namespace hickoryshore
