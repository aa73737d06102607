// Percentiles of the recent latencies of a shard or replica.
#pragma once

#include "hickoryshore/base/time.h"

#include <boost/histogram.hpp>

#include <optional>
#include <tuple>
#include <vector>

namespace hickoryshore {

/// A histogram of recent latencies in which old samples lose weight. The latency of a cancelled attempt is known only
/// to be at least the elapsed time (a censored sample). Percentiles use the Kaplan-Meier estimator, so that cancelling
/// slow attempts does not make the shard look faster than it is.
///
///     window.add(std::chrono::milliseconds(4));
///     window.addCensored(std::chrono::milliseconds(9));
///     const std::optional<Duration> p95 = window.percentile(0.95);
class LatencyWindow
{
public:
    LatencyWindow();

    void add(Duration latency);

    /// Adds an attempt that was cancelled after this time.
    void addCensored(Duration elapsed);

    /// Returns the latency at this percentile (0 to 1), or std::nullopt if there are too few samples.
    std::optional<Duration> percentile(double share) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram
        = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::storage_adaptor<std::vector<double>>>;

    void decay();

    Histogram observed;
    Histogram censored;
    double total = 0.0;
};

} // namespace hickoryshore
