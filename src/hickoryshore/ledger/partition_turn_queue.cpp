#include "hickoryshore/ledger/partition_turn_queue.h"

namespace hickoryshore {

namespace {

/// Each turn contributes 1/smoothingFactor to the moving average.
constexpr int smoothingFactor = 8;

} // namespace

PartitionTurnQueue::PartitionTurnQueue(std::size_t turnsAtOnce) : turnsAtOnce(turnsAtOnce)
{ }

bool PartitionTurnQueue::request(Instant now, std::size_t partition)
{
    if (this->running.size() >= this->turnsAtOnce) {
        this->waiting.push_back(partition);
        return false;
    }
    this->running.emplace(partition, now);
    return true;
}

std::optional<std::size_t> PartitionTurnQueue::release(Instant now, std::size_t partition)
{
    const auto turn = this->running.find(partition);
    if (turn == this->running.end()) {
        return std::nullopt;
    }
    this->recentTurnDuration += (now - turn->second - this->recentTurnDuration) / smoothingFactor;
    this->running.erase(turn);
    if (this->waiting.empty()) {
        return std::nullopt;
    }
    const std::size_t next = this->waiting.front();
    this->waiting.pop_front();
    this->running.emplace(next, now);
    return next;
}

Duration PartitionTurnQueue::estimatedWait() const
{
    return this->recentTurnDuration * this->waiting.size() / this->turnsAtOnce;
}

} // namespace hickoryshore
