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

} // namespace hickoryshore
