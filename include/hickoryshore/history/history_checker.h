// Checks the history of a concurrent run for violated invariants.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/history/history.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// The kinds of violated invariants.
enum class ViolationKind {
    Doubled, ///< A non-idempotent request ran more than once on a shard.
    Lost, ///< An answer reports that a request ran, but it did not; or a request has neither answer nor failure.
    NotRunButRan, ///< An answer reports "not run" for a request that ran.
    MixedSnapshots, ///< A part of an answer comes from a snapshot other than the answer's.
    CrossedAnswer, ///< An answer or a part of it belongs to another request, or an answer arrived twice.
    WrongCoverage, ///< Covered shards differ from the merged parts, or shards of the layout are not listed.
    RevisionReverted, ///< A VM switched back to an older revision.
    WorkAfterDrain, ///< A draining upstream ran a request later than drainBound allows.
};

/// One violation.
struct Violation
{
    ViolationKind kind = ViolationKind::Lost;
    std::string subject; ///< Id of the request, VM or upstream.
    std::string detail;
};

/// Tolerances of the check.
struct HistoryLimits
{
    Duration drainBound{std::chrono::seconds(5)}; ///< How long an upstream may receive new work after its drain signal.
};

/// Returns the name of the kind in reports, in camelCase.
std::string_view violationKindName(ViolationKind kind);

/// Returns every violation. Checks that need executions are skipped if the history contains none.
std::vector<Violation> checkHistory(const History &history, const HistoryLimits &limits);

} // namespace hickoryshore
