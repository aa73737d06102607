#include "model/run_statistics.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore::bench {

Duration Samples::percentile(double share) const
{
    if (this->values.empty()) {
        return Duration(0);
    }
    std::vector<Duration> sorted = this->values;
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, sorted.size()) - 1;
    std::ranges::nth_element(sorted, sorted.begin() + static_cast<std::ptrdiff_t>(index));
    return sorted[index];
}

int largestCount(const std::unordered_map<SubRequestId, int> &counts)
{
    int largest = 0;
    for (const auto &[id, count] : counts) {
        largest = std::max(largest, count);
    }
    return largest;
}

} // namespace hickoryshore::bench
