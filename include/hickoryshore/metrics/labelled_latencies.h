// Latency histograms of things that come and go by name, such as routes and services.
//
//     LabelledLatencies latencies("route_seconds", "route", "From arrival to answer");
//     latencies.observe("r-boards", 12ms);
//     page += latencies.prometheusText();
#pragma once

#include "hickoryshore/base/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace hickoryshore {

/// One histogram for each name that was observed. Names beyond a bound share one. Not thread-safe.
class LabelledLatencies
{
public:
    /// `metric` goes without the prefix "hickoryshore_".
    LabelledLatencies(std::string_view metric, std::string_view label, std::string_view help);
    ~LabelledLatencies();
    LabelledLatencies(const LabelledLatencies &) = delete;
    LabelledLatencies &operator=(const LabelledLatencies &) = delete;

    void observe(std::string_view name, Duration latency);

    /// All histograms in Prometheus' text format.
    std::string prometheusText() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace hickoryshore
