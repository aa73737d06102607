// How a VM leaves without cutting a request: the phases from the order to leave until the exit.
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

/// What a VM does with queries. The phases follow each other in this order.
enum class ShutdownPhase {
    Serving, ///< All is as usual.
    Leaving, ///< Announced; new queries are served; the shards go to their next owners.
    Lingering, ///< The shards are gone; queries are served for callers that still hold an answer naming this VM.
    Refusing, ///< Late callers are refused as "not run" and told other VMs; what is in flight is finished.
    Exiting ///< Nothing is in flight any more, or the bound is past.
};

/// The name of a phase for logs and the status page, in lower case.
std::string_view shutdownPhaseName(ShutdownPhase phase);

/// How long each step may take.
struct ShutdownSettings
{
    Duration leaveGossipTime{std::chrono::seconds(5)}; ///< Then no VM names this one in its answers any more.
    Duration entryPointLifetime{std::chrono::seconds(30)}; ///< Callers keep an answer for this long.
    Duration handOverTimeout{std::chrono::seconds(5)}; ///< Then the shards count as handed over.
    Duration refusePeriod{std::chrono::seconds(2)}; ///< Late callers are told other VMs for at least this long.
    Duration maxShutdownTime{std::chrono::seconds(60)}; ///< Then the VM exits, whatever is in flight.
};

/// Tell the other VMs that this one is leaving, and stop naming it to callers.
struct AnnounceLeavingAction
{ };

/// Give the shards to their next owners; shardsHandedOver() follows.
struct HandOverShardsAction
{ };

/// From now on, refuse new queries as "not run", with other VMs' addresses.
struct RefuseQueriesAction
{ };

/// End the process.
struct ExitAction
{
    std::size_t cut = 0; ///< Requests that are still in flight; above zero only where the bound is past.
};

using ShutdownAction = std::variant<AnnounceLeavingAction, HandOverShardsAction, RefuseQueriesAction, ExitAction>;

/// The shutdown of one VM. "In flight" counts queries of callers and sub-requests of other VMs alike.
class ShutdownState
{
public:
    /// Throws std::invalid_argument where maxShutdownTime ends before the answers that name this VM expire.
    explicit ShutdownState(ShutdownSettings settings);

    /// The order to leave. A repeated order changes nothing.
    void beginLeave(Instant now, std::vector<ShutdownAction> &actions);

    /// The next owners have taken the shards.
    void shardsHandedOver();

    /// Does what has become due.
    void onTimer(Instant now, std::size_t inFlight, std::vector<ShutdownAction> &actions);

    /// When onTimer() has to be called next; nothing while serving or exiting.
    std::optional<Instant> nextTimer(Instant now) const;

    ShutdownPhase phase() const;

    /// Whether a new query is served rather than refused.
    bool acceptsQueries() const;

    /// When the last answer that names this VM expires; nothing while serving.
    std::optional<Instant> answersExpire() const;

private:
    Instant exitDeadline() const;
    Instant handOverDeadline() const;

    ShutdownSettings settings;
    ShutdownPhase currentPhase = ShutdownPhase::Serving;
    Instant leftAt;
};

} // namespace hickoryshore
