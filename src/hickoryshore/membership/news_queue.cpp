#include "hickoryshore/membership/news_queue.h"

#include "hickoryshore/membership/roster.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hickoryshore {

namespace {

/// Transmissions that one heard piece of news stands for: the peer that sent it sends it to others, too.
constexpr int weightOfHeard = 2;

} // namespace

void NewsQueue::add(MemberNews news)
{
    const VmId vm = news.vm;
    this->entries.insert_or_assign(vm, Entry{std::move(news)});
}

void NewsQueue::take(MembershipMessage &message, int limit, std::size_t bytes)
{
    std::vector<Entry *> order;
    order.reserve(this->entries.size());
    for (auto &[vm, entry] : this->entries) {
        order.push_back(&entry);
    }
    std::ranges::sort(order, [](const Entry *left, const Entry *right) {
        return std::tie(left->transmissions, left->news.vm) < std::tie(right->transmissions, right->news.vm);
    });
    std::size_t used = messageSizeBound(message);
    for (Entry *entry : order) {
        const std::size_t needed = newsSizeBound(entry->news);
        if (used + needed > bytes) {
            break;
        }
        used += needed;
        message.news.push_back(entry->news);
        ++entry->transmissions;
    }
    std::erase_if(this->entries, [limit](const auto &item) {
        return item.second.transmissions >= limit;
    });
}

void NewsQueue::countHeard(const MemberNews &news)
{
    const auto found = this->entries.find(news.vm);
    const bool isStart = news.state == MemberState::Alive && news.incarnation == 0;
    if (isStart && found != this->entries.end() && !isNewer(found->second.news, news)) {
        found->second.transmissions += weightOfHeard;
    }
}

std::size_t NewsQueue::size() const
{
    return this->entries.size();
}

int transmissionLimit(double factor, std::size_t fleetSize)
{
    return std::max(1, static_cast<int>(std::ceil(factor * std::log(static_cast<double>(fleetSize) + 1.0))));
}

} // namespace hickoryshore
