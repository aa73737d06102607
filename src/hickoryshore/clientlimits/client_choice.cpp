#include "hickoryshore/clientlimits/client_choice.h"

#include <algorithm>
#include <tuple>

namespace hickoryshore {

namespace {

bool isStalled(const ClientUse &use, Instant now)
{
    const bool waitsForClient = use.stage == ClientStage::Request || use.stage == ClientStage::Answer;
    return waitsForClient && now - use.progressAt > stalledAfter;
}

/// Returns the rank by which connections are given up for their bytes, the lowest first.
std::tuple<int, Duration> rankForBytes(const ClientUse &use, Instant now)
{
    if (isStalled(use, now)) {
        return {0, use.progressAt - now};
    }
    if (use.stage == ClientStage::Request) {
        return {1, now - use.since};
    }
    return {2, use.progressAt - now};
}

/// Returns the rank by which connections are closed for others, the lowest first, or std::nullopt if this one is not.
std::optional<std::tuple<int, Duration>> rankForRoom(const ClientUse &use, Instant now)
{
    if (use.stage == ClientStage::Closing) {
        return std::tuple(0, use.since - now);
    }
    if (use.stage == ClientStage::Idle) {
        return std::tuple(1, use.since - now);
    }
    if (isStalled(use, now)) {
        return std::tuple(2, use.progressAt - now);
    }
    return std::nullopt;
}

} // namespace

std::vector<std::uint64_t> chooseForBytes(std::span<const ClientUse> uses, std::size_t excess, Instant now)
{
    std::vector<ClientUse> candidates;
    std::ranges::copy_if(uses, std::back_inserter(candidates), [](const ClientUse &use) {
        const bool mayEnd = use.stage == ClientStage::Request || use.stage == ClientStage::Answer;
        return mayEnd && use.bytes >= minFreedBytes;
    });
    std::ranges::sort(candidates, {}, [now](const ClientUse &use) {
        return std::tuple_cat(rankForBytes(use, now), std::tuple(use.connection));
    });
    std::vector<std::uint64_t> chosen;
    std::size_t freed = 0;
    for (const ClientUse &use : candidates) {
        if (freed >= excess) {
            break;
        }
        freed += use.bytes;
        chosen.push_back(use.connection);
    }
    return chosen;
}

std::optional<std::uint64_t> chooseForRoom(std::span<const ClientUse> uses, Instant now)
{
    std::optional<std::tuple<int, Duration, std::uint64_t>> best;
    for (const ClientUse &use : uses) {
        const auto rank = rankForRoom(use, now);
        if (!rank.has_value()) {
            continue;
        }
        const auto candidate = std::tuple_cat(*rank, std::tuple(use.connection));
        if (!best.has_value() || candidate < *best) {
            best = candidate;
        }
    }
    return best.has_value() ? std::optional(std::get<std::uint64_t>(*best)) : std::nullopt;
}

} // namespace hickoryshore
