// Runs random events against a ShardScheduler for the property tests and checks what must always hold.
#pragma once

#include "hickoryshore/shard/shard_scheduler.h"

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace hickoryshore {

/// One random event; the choices are taken modulo what there is to choose from.
struct ModelEvent
{
    enum class Kind { Submit, Reply, Cancel, Advance, MarkDraining, Update };

    Kind kind = Kind::Advance;
    std::uint32_t first = 0;
    std::uint32_t second = 0;

    friend std::ostream &operator<<(std::ostream &stream, const ModelEvent &event);
};

/// Drives one scheduler and remembers what it did. Broken invariants are collected as sentences.
class SchedulerModel
{
public:
    explicit SchedulerModel(std::uint64_t seed);

    void run(const ModelEvent &event);

    /// Lets all time pass that the scheduler asks for.
    void finish();

    const std::vector<std::string> &violations() const;

    /// Everything the scheduler did, to compare two runs.
    const std::string &transcript() const;

private:
    struct KnownSubRequest
    {
        SubRequest subRequest;
        int answers = 0;
        bool cancelled = false;
        int dispatches = 0;
        bool mayHaveRun = false; ///< An attempt ended without surely not having run, or has not ended.
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
    Instant lastBusy = this->now; ///< When last an attempt was in flight or nothing waited.
    std::uint64_t lastSubRequest = 0;
    std::map<SubRequestId, KnownSubRequest> subRequests;
    std::map<AttemptId, KnownAttempt> attempts; ///< Without a reply so far, cancelled ones included.
    std::map<ReplicaId, int> live; ///< Attempts neither ended nor cancelled.
    std::set<ReplicaId> signalled;
    std::map<ReplicaId, Instant> markedUntil;
    std::vector<ShardAction> actions;
    std::vector<std::string> violated;
    std::string log;
};

} // namespace hickoryshore
