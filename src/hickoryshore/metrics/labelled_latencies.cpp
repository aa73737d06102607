#include "hickoryshore/metrics/labelled_latencies.h"

#include <map>
#include <sstream>
#include <tuple>

#include <boost/histogram.hpp>

namespace hickoryshore {

namespace {

namespace bh = boost::histogram;

/// Two bins for each factor of ten, from a millisecond to ten seconds: enough to see whose latency has changed, and few
/// enough for hundreds of services.
constexpr unsigned binCount = 8;
constexpr double leastSeconds = 0.001;
constexpr double mostSeconds = 10.0;
/// Further names share one histogram, so that a configuration cannot make the page grow without bound.
constexpr std::size_t mostNames = 512;
constexpr std::string_view nameOfOthers = "other";

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

struct Observations
{
    bh::histogram<std::tuple<LogAxis>, bh::dense_storage<std::uint64_t>> histogram{
        std::make_tuple(LogAxis(binCount, leastSeconds, mostSeconds)), bh::dense_storage<std::uint64_t>()};
    double sum = 0.0;
};

} // namespace

struct LabelledLatencies::State
{
    std::string metric;
    std::string label;
    std::string help;
    std::map<std::string, Observations, std::less<>> byName;
};

LabelledLatencies::LabelledLatencies(std::string_view metric, std::string_view label, std::string_view help)
    : state(std::make_unique<State>(
        State{.metric = std::string(metric), .label = std::string(label), .help = std::string(help), .byName = {}}))
{ }

LabelledLatencies::~LabelledLatencies() = default;

void LabelledLatencies::observe(std::string_view name, Duration latency)
{
    auto &byName = this->state->byName;
    auto found = byName.find(name);
    if (found == byName.end()) {
        found = byName.try_emplace(std::string(byName.size() < mostNames ? name : nameOfOthers)).first;
    }
    const double seconds = std::chrono::duration<double>(latency).count();
    found->second.histogram(seconds);
    found->second.sum += seconds;
}

std::string LabelledLatencies::prometheusText() const
{
    const State &all = *this->state;
    std::ostringstream output;
    output << "# HELP hickoryshore_" << all.metric << ' ' << all.help << "\n# TYPE hickoryshore_" << all.metric
           << " histogram\n";
    for (const auto &[name, observations] : all.byName) {
        const std::string labels = "{" + all.label + "=\"" + name + "\"";
        std::uint64_t below = 0;
        for (const auto &&bin : bh::indexed(observations.histogram, bh::coverage::all)) {
            below += *bin;
            output << "hickoryshore_" << all.metric << "_bucket" << labels << ",le=\"";
            if (bin.index() < static_cast<int>(binCount)) {
                output << bin.bin().upper();
            } else {
                output << "+Inf";
            }
            output << "\"} " << below << '\n';
        }
        output << "hickoryshore_" << all.metric << "_sum" << labels << "} " << observations.sum << "\nhickoryshore_"
               << all.metric << "_count" << labels << "} " << below << '\n';
    }
    return output.str();
}

} // namespace hickoryshore
