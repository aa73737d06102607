// The queue of one shard: deadline order within a caller, weighted fair shares between callers.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/shard/shard_settings.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickoryshore {

/// A sub-request that waits for a slot.
struct QueuedSubRequest
{
    SubRequestId id;
    CallerId caller;
    Instant deadline;
};

/// How often something happened of late: counts that fade.
class RecentRate
{
public:
    void count(Instant now);

    /// In events for each microsecond.
    double value(Instant now) const;

private:
    double decayedEvents(Instant now) const;

    double events = 0.0;
    Instant updatedAt;
};

/// Orders waiting sub-requests. Between callers it is start-time fair queueing: a caller that has received less
/// service for its weight goes first; among callers within a small slack of each other the earliest deadline does.
/// Each operation costs O(log n).
///
///     AdmissionQueue queue(shares);
///     queue.push({subRequest.id, subRequest.caller, deadline});
///     if (const auto next = queue.next(dispatchable)) { queue.take(*next); }
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::span<const CallerShare> shares);

    /// Takes changed weights; callers that are not named weigh one. What waits stays.
    void setShares(std::span<const CallerShare> shares);

    void push(const QueuedSubRequest &item);

    /// Removes one without charging its caller. Returns false where it does not wait.
    bool erase(SubRequestId id);

    /// Removes one that is dispatched and charges its caller. Returns false where it does not wait.
    bool take(Instant now, SubRequestId id);

    /// The first in service order that fits; looks at a bounded number only.
    std::optional<SubRequestId> next(const std::function<bool(SubRequestId)> &fits) const;

    /// How long a new one of this caller with this deadline would wait, where the shard serves `rate` sub-requests for
    /// each microsecond. The caller gets what the others leave of late, and at least its share.
    Duration expectedWait(Instant now, const CallerId &caller, Instant deadline, double rate) const;

    /// Whether the caller waits with more than its weighted share of what waits, or alone while others are served.
    bool exceedsFairShare(Instant now, const CallerId &caller) const;

    /// One of those that would be served last: the latest deadline of the caller that has received most service for its
    /// weight. Nothing where the queue is empty.
    std::optional<SubRequestId> last() const;

    std::size_t size() const;

private:
    struct Item
    {
        std::pair<Instant, std::uint64_t> order; ///< Deadline, then arrival.
        SubRequestId id;
        std::size_t caller = 0;
    };
    struct ByOrder;
    using Backlog = boost::multi_index_container<
        Item,
        boost::multi_index::indexed_by<boost::multi_index::ranked_unique<
            boost::multi_index::tag<ByOrder>,
            boost::multi_index::member<Item, std::pair<Instant, std::uint64_t>, &Item::order>>>>;
    struct Caller
    {
        double weight = 1.0;
        double virtualStartTime = 0.0; ///< Virtual start time: service received, divided by the weight.
        RecentRate recentlyServed;
        Backlog backlog;
    };
    using ServiceOrderKey = std::pair<double, std::size_t>;

    std::size_t callerIndex(const CallerId &caller);
    std::optional<std::size_t> remove(SubRequestId id);
    void deactivate(std::size_t index);

    std::unordered_map<CallerId, std::size_t> callerIndexes;
    std::vector<Caller> callers;
    std::set<ServiceOrderKey> activeCallers; ///< Callers with a backlog, by the service they have received.
    double activeWeight = 0.0;
    double virtualTime = 0.0;
    RecentRate recentlyServed; ///< Of all callers.
    std::uint64_t arrivals = 0;
    std::unordered_map<SubRequestId, Item> items;
};

} // namespace hickoryshore
