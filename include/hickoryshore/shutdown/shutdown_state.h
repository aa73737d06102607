// Graceful shutdown of a VM: the phases from the request to leave until the exit.
//
//     ShutdownState shutdown(settings);
//     shutdown.beginLeave(now, actions);                 // AnnounceLeavingAction, HandOverShardsAction
//     shutdown.shardsHandedOver();
//     shutdown.onTimer(now, inFlight, actions);          // RefuseQueriesAction, ExitAction
//     wakeUpAt(shutdown.nextTimer());
#pragma once

#include "hickoryshore/base/time.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace hickoryshore {

/// Phases of a shutdown, in order.
enum class ShutdownPhase {
    Serving, ///< Normal operation.
    Leaving, ///< Leaving is announced; queries are served; shards are handed over to their next owners.
    Lingering, ///< Shards are handed over; queries are served for callers whose answer still lists this VM.
    Refusing, ///< New queries are refused as "not run", with other VMs' addresses; those in flight finish.
    Exiting ///< Nothing is in flight, or maxShutdownTime has passed.
};

/// Returns the name of a phase for logs and the status page, in lower case.
std::string_view shutdownPhaseName(ShutdownPhase phase);

/// Time limits of the steps.
struct ShutdownSettings
{
    Duration leaveGossipTime{std::chrono::seconds(5)}; ///< Afterwards no VM lists this one in its answers.
    Duration entryPointLifetime{std::chrono::seconds(30)}; ///< How long callers use an answer.
    Duration handOverTimeout{std::chrono::seconds(5)}; ///< Afterwards the shards count as handed over.
    Duration refusePeriod{std::chrono::seconds(2)}; ///< Minimum time to refuse late callers.
    Duration maxShutdownTime{std::chrono::seconds(60)}; ///< Afterwards the VM exits even with requests in flight.
};

/// Announce to the other VMs that this one is leaving, and stop listing it to callers.
struct AnnounceLeavingAction
{ };

/// Hand the shards over to their next owners, then call shardsHandedOver().
struct HandOverShardsAction
{ };

/// From now on, refuse new queries as "not run", with other VMs' addresses.
struct RefuseQueriesAction
{ };

/// End the process.
struct ExitAction
{
    std::size_t cut = 0; ///< Requests still in flight; above zero only if maxShutdownTime has passed.
};

using ShutdownAction = std::variant<AnnounceLeavingAction, HandOverShardsAction, RefuseQueriesAction, ExitAction>;

/// The shutdown of one VM. "In flight" includes callers' queries and other VMs' sub-requests.
class ShutdownState
{
public:
    /// Throws std::invalid_argument if maxShutdownTime ends before callers' answers expire and refusePeriod is over.
    explicit ShutdownState(ShutdownSettings settings);

    /// Starts the shutdown. Repeated calls have no effect.
    void beginLeave(Instant now, std::vector<ShutdownAction> &actions);

    /// Records that the next owners have taken the shards.
    void shardsHandedOver();

    /// Performs all steps that are due. `inFlight` is the number of requests in flight.
    void onTimer(Instant now, std::size_t inFlight, std::vector<ShutdownAction> &actions);

    /// Returns when to call onTimer() next, or std::nullopt while serving or exiting.
    std::optional<Instant> nextTimer(Instant now) const;

    ShutdownPhase phase() const;

    /// Returns whether new queries are served rather than refused.
    bool acceptsQueries() const;

    /// Returns when the last answer that lists this VM expires, or std::nullopt while serving.
    std::optional<Instant> answersExpire() const;

private:
    Instant exitDeadline() const;
    Instant handOverDeadline() const;

    ShutdownSettings settings;
    ShutdownPhase currentPhase = ShutdownPhase::Serving;
    Instant leftAt;
};

} // namespace hickoryshore
