#include "hickoryshore/membership/update_queue.h"

#include "hickoryshore/membership/roster.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hickoryshore {

namespace {

/// Transmissions counted per update received from a peer, since the peer sends it to others too.
constexpr int transmissionsPerReceived = 2;

} // namespace

void UpdateQueue::add(MemberUpdate update)
{
    const VmId vm = update.vm;
    this->entries.insert_or_assign(vm, Entry{std::move(update)});
}

void UpdateQueue::take(MembershipMessage &message, int limit, std::size_t bytes)
{
    std::vector<Entry *> order;
    order.reserve(this->entries.size());
    for (auto &[vm, entry] : this->entries) {
        order.push_back(&entry);
    }
    std::ranges::sort(order, [](const Entry *left, const Entry *right) {
        return std::tie(left->transmissions, left->update.vm) < std::tie(right->transmissions, right->update.vm);
    });
    std::size_t used = messageSizeBound(message);
    for (Entry *entry : order) {
        const std::size_t needed = updateSizeBound(entry->update);
        if (used + needed > bytes) {
            break;
        }
        used += needed;
        message.updates.push_back(entry->update);
        ++entry->transmissions;
    }
    std::erase_if(this->entries, [limit](const auto &item) {
        return item.second.transmissions >= limit;
    });
}

void UpdateQueue::countReceived(const MemberUpdate &update)
{
    const auto found = this->entries.find(update.vm);
    const bool isStart = update.state == MemberState::Alive && update.incarnation == 0;
    if (isStart && found != this->entries.end() && !isNewer(found->second.update, update)) {
        found->second.transmissions += transmissionsPerReceived;
    }
}

std::size_t UpdateQueue::size() const
{
    return this->entries.size();
}

int transmissionLimit(double factor, std::size_t fleetSize)
{
    return std::max(1, static_cast<int>(std::ceil(factor * std::log(static_cast<double>(fleetSize) + 1.0))));
}

} // namespace hickoryshore
