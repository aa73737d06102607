#include "hickoryshore/shard/latency_window.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

namespace {

namespace bh = boost::histogram;

constexpr int buckets = 128;
constexpr double minMicroseconds = 50.0;
constexpr double maxMicroseconds = 60'000'000.0;
/// Total weight of the samples at which all weights are halved.
constexpr double windowSamples = 1024.0;
/// Minimum total weight of the samples for a percentile.
constexpr double minSamples = 20.0;

double toMicroseconds(Duration duration)
{
    return std::clamp(static_cast<double>(duration.count()), minMicroseconds, maxMicroseconds * 0.999);
}

} // namespace

LatencyWindow::LatencyWindow()
    : observed(Axis(buckets, minMicroseconds, maxMicroseconds)),
      censored(Axis(buckets, minMicroseconds, maxMicroseconds))
{ }

void LatencyWindow::add(Duration latency)
{
    this->observed(toMicroseconds(latency));
    this->decay();
}

void LatencyWindow::addCensored(Duration elapsed)
{
    this->censored(toMicroseconds(elapsed));
    this->decay();
}

void LatencyWindow::decay()
{
    this->total += 1.0;
    if (this->total >= windowSamples) {
        this->observed *= 0.5;
        this->censored *= 0.5;
        this->total *= 0.5;
    }
}

std::optional<Duration> LatencyWindow::percentile(double share) const
{
    if (this->total < minSamples) {
        return std::nullopt;
    }
    double atRisk = this->total;
    double surviving = 1.0;
    std::optional<Duration> longest;
    for (int bucket = 0; bucket < buckets && atRisk > 0.0; ++bucket) {
        const double ended = this->observed.at(bucket);
        const double next = surviving * (1.0 - std::min(1.0, ended / atRisk));
        const auto bin = this->observed.axis().bin(bucket);
        if (ended > 0.0 && 1.0 - next >= share) {
            const double part = (surviving - (1.0 - share)) / (surviving - next);
            const double value = bin.lower() * std::pow(bin.upper() / bin.lower(), std::clamp(part, 0.0, 1.0));
            return Duration(std::llround(value));
        }
        if (ended > 0.0) {
            longest = Duration(std::llround(bin.upper()));
        }
        surviving = next;
        atRisk -= ended + this->censored.at(bucket);
    }
    return longest;
}

} // namespace hickoryshore
