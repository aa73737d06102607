// The queue of one shard: ordered by deadline within a caller, by weighted fair share between callers.
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

/// A sub-request that is waiting for a slot.
struct QueuedSubRequest
{
    SubRequestId id;
    CallerId caller;
    Instant deadline;
};

/// The recent rate of an event, as an exponentially decaying count.
class RecentRate
{
public:
    /// Counts one event.
    void count(Instant now);

    /// Returns the rate in events per microsecond.
    double value(Instant now) const;

private:
    double decayedEvents(Instant now) const;

    double events = 0.0;
    Instant updatedAt;
};

/// Orders waiting sub-requests by start-time fair queueing: the caller that has received the least service relative to
/// its weight goes first. Among callers whose received service is nearly equal, the earliest deadline goes first. Each
/// operation costs O(log n).
///
///     AdmissionQueue queue(shares);
///     queue.push({subRequest.id, subRequest.caller, deadline});
///     if (const auto next = queue.next(dispatchable)) { queue.take(*next); }
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::span<const CallerShare> shares);

    /// Replaces the callers' weights; a caller that is not listed gets weight 1. Queued sub-requests stay queued.
    void setShares(std::span<const CallerShare> shares);

    void push(const QueuedSubRequest &item);

    /// Removes a sub-request without charging its caller. Returns false if it is not queued.
    bool erase(SubRequestId id);

    /// Removes a sub-request for dispatch and charges its caller. Returns false if it is not queued.
    bool take(Instant now, SubRequestId id);

    /// Returns the first sub-request in service order for which fits() is true, or std::nullopt if there is none among
    /// the first few. It examines a bounded number of sub-requests.
    std::optional<SubRequestId> next(const std::function<bool(SubRequestId)> &fits) const;

    /// Estimates how long a new sub-request of this caller with this deadline would wait if the shard serves `rate`
    /// sub-requests per microsecond. The estimate assumes that the caller gets the capacity that other callers have not
    /// used recently, and at least its fair share. Returns zero if the rate is zero.
    Duration expectedWait(Instant now, const CallerId &caller, Instant deadline, double rate) const;

    /// Returns whether the caller has more than its weighted share of the queue, or is the only caller with queued
    /// sub-requests while others are being served.
    bool exceedsFairShare(Instant now, const CallerId &caller) const;

    /// Returns the sub-request with the latest deadline of the caller that has received the most service relative to
    /// its weight, or std::nullopt if the queue is empty.
    std::optional<SubRequestId> last() const;

    std::size_t size() const;

private:
    struct Item
    {
        std::pair<Instant, std::uint64_t> order; ///< Deadline, then order of arrival.
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
        double virtualStartTime = 0.0; ///< Service received, divided by the weight.
        RecentRate recentlyServed;
        Backlog backlog;
    };
    using ServiceOrderKey = std::pair<double, std::size_t>;

    std::size_t callerIndex(const CallerId &caller);
    std::optional<std::size_t> remove(SubRequestId id);
    void deactivate(std::size_t index);

    std::unordered_map<CallerId, std::size_t> callerIndexes;
    std::vector<Caller> callers;
    std::set<ServiceOrderKey> activeCallers; ///< Callers with queued sub-requests, least served first.
    double activeWeight = 0.0;
    double virtualTime = 0.0;
    RecentRate recentlyServed; ///< Rate of all callers together.
    std::uint64_t arrivals = 0;
    std::unordered_map<SubRequestId, Item> items;
};

} // namespace hickoryshore
