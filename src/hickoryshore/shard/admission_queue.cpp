#include "hickoryshore/shard/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

namespace {

/// Callers whose received service differs by at most this are served by deadline; in sub-requests at weight 1.
constexpr double deadlineSlack = 0.5;
/// Number of sub-requests that a previously idle caller may have served ahead of the others.
constexpr double burstCredit = 4.0;
/// Maximum number of queued sub-requests that next() examines.
constexpr int maxLookahead = 16;
/// With a lower weight, a single sub-request could use up its caller's share for ever.
constexpr double minWeight = 0.001;

/// Time in which a count decays to about a third, in microseconds.
constexpr double decayTimeMicroseconds = 250'000.0;

/// Other callers are ignored if they received less than this share of the recent service.
constexpr double negligibleServiceShare = 0.05;

} // namespace

double RecentRate::decayedEvents(Instant now) const
{
    return this->events * std::exp(-static_cast<double>((now - this->updatedAt).count()) / decayTimeMicroseconds);
}

void RecentRate::count(Instant now)
{
    this->events = this->decayedEvents(now) + 1.0;
    this->updatedAt = now;
}

double RecentRate::value(Instant now) const
{
    return this->decayedEvents(now) / decayTimeMicroseconds;
}

AdmissionQueue::AdmissionQueue(std::span<const CallerShare> shares)
{
    this->setShares(shares);
}

void AdmissionQueue::setShares(std::span<const CallerShare> shares)
{
    for (Caller &caller : this->callers) {
        caller.weight = 1.0;
    }
    for (const CallerShare &share : shares) {
        this->callers[this->callerIndex(share.caller)].weight = std::max(share.weight, minWeight);
    }
    this->activeWeight = 0.0;
    for (const ServiceOrderKey &key : this->activeCallers) {
        this->activeWeight += this->callers[key.second].weight;
    }
}

std::size_t AdmissionQueue::callerIndex(const CallerId &caller)
{
    const auto [found, isNew] = this->callerIndexes.try_emplace(caller, this->callers.size());
    if (isNew) {
        this->callers.emplace_back();
    }
    return found->second;
}

void AdmissionQueue::push(const QueuedSubRequest &item)
{
    const std::size_t index = this->callerIndex(item.caller);
    Caller &caller = this->callers[index];
    if (caller.backlog.empty()) {
        caller.virtualStartTime = std::max(caller.virtualStartTime, this->virtualTime - burstCredit / caller.weight);
        this->activeCallers.insert({caller.virtualStartTime, index});
        this->activeWeight += caller.weight;
    }
    const Item entry{{item.deadline, ++this->arrivals}, item.id, index};
    caller.backlog.insert(entry);
    this->items[item.id] = entry;
}

void AdmissionQueue::deactivate(std::size_t index)
{
    this->activeCallers.erase({this->callers[index].virtualStartTime, index});
    this->activeWeight = this->activeCallers.empty() ? 0.0 : this->activeWeight - this->callers[index].weight;
}

std::optional<std::size_t> AdmissionQueue::remove(SubRequestId id)
{
    const auto found = this->items.find(id);
    if (found == this->items.end()) {
        return std::nullopt;
    }
    const Item item = found->second;
    this->items.erase(found);
    Caller &caller = this->callers[item.caller];
    caller.backlog.erase(item.order);
    if (caller.backlog.empty()) {
        this->deactivate(item.caller);
    }
    return item.caller;
}

bool AdmissionQueue::erase(SubRequestId id)
{
    return this->remove(id).has_value();
}

bool AdmissionQueue::take(Instant now, SubRequestId id)
{
    const std::optional<std::size_t> index = this->remove(id);
    if (!index) {
        return false;
    }
    Caller &caller = this->callers[*index];
    const ServiceOrderKey before{caller.virtualStartTime, *index};
    this->virtualTime = std::max(this->virtualTime, caller.virtualStartTime);
    caller.virtualStartTime += 1.0 / caller.weight;
    if (this->activeCallers.erase(before) > 0) {
        this->activeCallers.insert({caller.virtualStartTime, *index});
    }
    caller.recentlyServed.count(now);
    this->recentlyServed.count(now);
    return true;
}

std::optional<SubRequestId> AdmissionQueue::next(const std::function<bool(SubRequestId)> &fits) const
{
    const Item *best = nullptr;
    int examined = 0;
    double limit = 0.0;
    for (const ServiceOrderKey &key : this->activeCallers) {
        if (best != nullptr && key.first > limit) {
            break;
        }
        for (const Item &item : this->callers[key.second].backlog) {
            if (best != nullptr && best->order <= item.order) {
                break;
            }
            if (++examined > maxLookahead) {
                return best == nullptr ? std::nullopt : std::optional(best->id);
            }
            if (fits(item.id)) {
                limit = best == nullptr ? key.first + deadlineSlack : limit;
                best = &item;
                break;
            }
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

Duration AdmissionQueue::expectedWait(Instant now, const CallerId &caller, Instant deadline, double rate) const
{
    if (rate <= 0.0) {
        return Duration(0);
    }
    const auto found = this->callerIndexes.find(caller);
    const Caller unknown;
    const Caller &own = found == this->callerIndexes.end() ? unknown : this->callers[found->second];
    const auto ahead = static_cast<double>(own.backlog.upper_bound_rank(std::pair(deadline, this->arrivals)));
    const double othersWeight = this->activeWeight - (own.backlog.empty() ? 0.0 : own.weight);
    const double share = rate * own.weight / (own.weight + std::max(othersWeight, 0.0));
    const double leftByOthers = rate - (this->recentlyServed.value(now) - own.recentlyServed.value(now));
    return Duration(std::llround((ahead + 1.0) / std::max(share, leftByOthers)));
}

bool AdmissionQueue::exceedsFairShare(Instant now, const CallerId &caller) const
{
    const auto found = this->callerIndexes.find(caller);
    if (found == this->callerIndexes.end() || this->callers[found->second].backlog.empty()) {
        return false;
    }
    const Caller &own = this->callers[found->second];
    if (own.backlog.size() == this->items.size()) {
        // No other caller has queued sub-requests, so any active ones are within their fair shares.
        const double all = this->recentlyServed.value(now);
        return all - own.recentlyServed.value(now) > negligibleServiceShare * all;
    }
    return static_cast<double>(own.backlog.size()) * this->activeWeight
        > static_cast<double>(this->items.size()) * own.weight;
}

std::optional<SubRequestId> AdmissionQueue::last() const
{
    if (this->activeCallers.empty()) {
        return std::nullopt;
    }
    return this->callers[this->activeCallers.rbegin()->second].backlog.rbegin()->id;
}

std::size_t AdmissionQueue::size() const
{
    return this->items.size();
}

} // namespace hickoryshore
