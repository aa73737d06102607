#include "hickoryshore/metrics/metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <sstream>
#include <vector>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>

namespace hickoryshore {

namespace {

namespace bh = boost::histogram;

constexpr int histogramBins = 400;
constexpr double leastMicros = 10;
constexpr double mostMicros = 100e6;
constexpr double microsPerSecond = 1e6;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram = bh::histogram<std::tuple<LogAxis>, Storage>;

struct CountName
{
    Count what;
    std::string_view name;
    std::string_view help;
};

constexpr auto countNames = std::to_array<CountName>({
    {Count::Queries, "queries_total", "Queries taken from callers"},
    {Count::SubRequests, "sub_requests_total", "Sub-requests that this VM's queries needed"},
    {Count::Attempts, "attempts_total", "Attempts sent to upstreams"},
    {Count::Hedges, "hedges_total", "Attempts sent as hedges"},
    {Count::Cancellations, "cancellations_total", "Attempts cancelled at upstreams"},
    {Count::QueryRestarts, "query_restarts_total", "Queries started again on another snapshot"},
    {Count::LateReplies, "late_replies_total", "Replies that nobody waited for any more"},
    {Count::Groups, "groups_total", "Calls to other VMs for several parts at once"},
    {Count::GroupFailures, "group_failures_total", "Calls for several parts without an answer in time"},
    {Count::GroupsRefused, "groups_refused_total", "Calls for several parts refused by another configuration"},
    {Count::Aggregations, "aggregations_total", "Calls of other VMs for several parts that were served"},
    {Count::AggregationsRefused, "aggregations_refused_total", "Such calls refused by this VM's configuration"},
    {Count::ReplicaReportsSent, "replica_reports_sent_total", "Reports on replicas that answer late or fail"},
    {Count::ReplicaReportsHeard, "replica_reports_heard_total", "Such reports of other VMs"},
    {Count::AnswersCut, "answers_cut_total", "Answers that were not sent whole before their connection ended"},
    {Count::ConnectionsCrowded, "connections_crowded_total", "Connections closed or refused since there were too many"},
    {Count::FramesSent, "frames_sent_total", "Frames sent to other VMs"},
    {Count::FramesReceived, "frames_received_total", "Frames received from other VMs"},
    {Count::BytesSent, "frame_bytes_sent_total", "Bytes of frames sent to other VMs"},
    {Count::BytesReceived, "frame_bytes_received_total", "Bytes of frames received from other VMs"},
});

struct LatencyName
{
    Latency what;
    std::string_view name;
};

constexpr auto latencyNames = std::to_array<LatencyName>({
    {Latency::Query, "query_seconds"},
    {Latency::SubRequest, "sub_request_seconds"},
    {Latency::Upstream, "upstream_seconds"},
    {Latency::EntryOverhead, "entry_overhead_seconds"},
});

using Counter = std::atomic<std::uint64_t>;

/// One counter for each row of the table of result codes.
class CodeCounters
{
public:
    CodeCounters() : counters(resultCodes().size())
    { }

    Counter &of(ResultCode code)
    {
        const auto row = std::ranges::lower_bound(resultCodes(), code, {}, &ResultCodeInfo::code);
        return this->counters.at(static_cast<std::size_t>(row - resultCodes().begin()));
    }

    void print(std::ostream &output, std::string_view name, std::string_view help) const
    {
        output << "# HELP hickoryshore_" << name << ' ' << help << "\n# TYPE hickoryshore_" << name << " counter\n";
        for (std::size_t row = 0; row < this->counters.size(); ++row) {
            const ResultCodeInfo &info = resultCodes()[row];
            output << "hickoryshore_" << name << "{code=\"" << static_cast<int>(info.code) << "\",reason=\""
                   << info.name << "\"} " << this->counters[row].load() << '\n';
        }
    }

private:
    std::vector<Counter> counters;
};

Histogram makeHistogram()
{
    return Histogram(std::make_tuple(LogAxis(histogramBins, leastMicros, mostMicros)), Storage{});
}

double quantileMicros(const Histogram &histogram, double share)
{
    std::uint64_t total = 0;
    for (const auto &&bin : bh::indexed(histogram, bh::coverage::all)) {
        total += static_cast<std::uint64_t>(*bin);
    }
    std::uint64_t seen = 0;
    for (const auto &&bin : bh::indexed(histogram, bh::coverage::all)) {
        seen += static_cast<std::uint64_t>(*bin);
        if (seen > 0 && static_cast<double>(seen) >= share * static_cast<double>(total)) {
            return std::clamp(bin.bin().upper(), leastMicros, mostMicros);
        }
    }
    return 0;
}

} // namespace

struct Metrics::State
{
    CodeCounters answers;
    CodeCounters subAnswers;
    CodeCounters retries;
    CodeCounters badInputs;
    std::array<Counter, countNames.size()> counts{};
    std::vector<Histogram> histograms{latencyNames.size(), makeHistogram()};
};

Metrics::Metrics() : state(std::make_unique<State>())
{ }

Metrics::~Metrics() = default;

void Metrics::countAnswer(ResultCode code)
{
    ++this->state->answers.of(code);
}

void Metrics::countSubAnswer(ResultCode code)
{
    ++this->state->subAnswers.of(code);
}

void Metrics::countRetry(ResultCode cause)
{
    ++this->state->retries.of(cause);
}

void Metrics::countBadInput(ResultCode code)
{
    ++this->state->badInputs.of(code);
}

void Metrics::count(Count what, std::uint64_t amount)
{
    this->state->counts.at(static_cast<std::size_t>(what)) += amount;
}

void Metrics::observe(Latency what, Duration value)
{
    this->state->histograms.at(static_cast<std::size_t>(what))(static_cast<double>(value.count()));
}

std::uint64_t Metrics::value(Count what) const
{
    return this->state->counts.at(static_cast<std::size_t>(what));
}

std::uint64_t Metrics::answers(ResultCode code) const
{
    return this->state->answers.of(code);
}

Duration Metrics::quantile(Latency what, double share) const
{
    const Histogram &histogram = this->state->histograms.at(static_cast<std::size_t>(what));
    return Duration(static_cast<Duration::rep>(quantileMicros(histogram, share)));
}

std::string Metrics::prometheusText(std::span<const Gauge> gauges) const
{
    std::ostringstream output;
    this->state->answers.print(output, "answers_total", "Answers to callers by result code");
    this->state->subAnswers.print(output, "sub_answers_total", "Answers to sub-requests by result code");
    this->state->retries.print(output, "retries_total", "Retries by what ended the attempt before");
    this->state->badInputs.print(output, "bad_input_total", "Faulty frames and caller requests by result code");
    for (const CountName &row : countNames) {
        output << "# HELP hickoryshore_" << row.name << ' ' << row.help << "\n# TYPE hickoryshore_" << row.name
               << " counter\nhickoryshore_" << row.name << ' ' << this->value(row.what) << '\n';
    }
    for (const LatencyName &row : latencyNames) {
        output << "# TYPE hickoryshore_" << row.name << " summary\n";
        for (const double share : {0.5, 0.95, 0.99, 0.999}) {
            const auto micros = static_cast<double>(this->quantile(row.what, share).count());
            output << "hickoryshore_" << row.name << "{quantile=\"" << share << "\"} " << micros / microsPerSecond
                   << '\n';
        }
    }
    for (const Gauge &gauge : gauges) {
        output << "# HELP hickoryshore_" << gauge.name << ' ' << gauge.help << "\n# TYPE hickoryshore_" << gauge.name
               << " gauge\nhickoryshore_" << gauge.name << ' ' << gauge.value << '\n';
    }
    return output.str();
}

} // namespace hickoryshore
