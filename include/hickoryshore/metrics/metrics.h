// Counters and latency histograms, and their text form for Prometheus.
//
//     Metrics metrics;
//     metrics.countAnswer(ResultCode::WouldMissDeadline);
//     metrics.observe(Latency::Query, 12ms);
//     std::string page = metrics.prometheusText(gauges);
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/result/result_code.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace hickoryshore {

/// What is measured in time; one histogram each.
enum class Latency {
    Query, ///< From a query's arrival to its answer.
    SubRequest, ///< From the entry's sending of a sub-request to its reply.
    Upstream, ///< From the owner's sending of an attempt to its reply.
    EntryOverhead, ///< Time of a query beyond its slowest sub-request.
};

/// What is counted without a result code.
enum class Count {
    Queries,
    SubRequests,
    Attempts,
    Hedges,
    Cancellations,
    QueryRestarts,
    LateReplies, ///< Replies that nobody waited for any more.
    Groups, ///< Calls to other VMs for several parts at once.
    GroupFailures, ///< Such calls without an answer in time.
    GroupsRefused, ///< Such calls refused by a VM whose configuration sends the request elsewhere.
    Aggregations, ///< Such calls that this VM served.
    AggregationsRefused, ///< Such calls that this VM refused, since its configuration sends the request elsewhere.
    ReplicaReportsSent, ///< To other VMs, of replicas that answer late or fail.
    ReplicaReportsHeard,
    AnswersCut, ///< Answers of which the client did not read all before its connection ended.
    ConnectionsCrowded, ///< Connections that were closed or refused since there were too many.
    FramesSent,
    FramesReceived,
    BytesSent,
    BytesReceived,
};

/// A value that is read when the page is made.
struct Gauge
{
    std::string_view name; ///< Without the prefix "hickoryshore_".
    std::string_view help;
    double value = 0;
};

/// All counters and histograms of one daemon. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Counts an answer to a caller; every refusal reason is a result code and so has a counter.
    void countAnswer(ResultCode code);

    /// Counts the owner's answer to a sub-request.
    void countSubAnswer(ResultCode code);

    /// Counts a retry by what ended the attempt before it.
    void countRetry(ResultCode cause);

    /// Counts a faulty frame or a faulty caller request.
    void countBadInput(ResultCode code);

    void count(Count what, std::uint64_t amount = 1);

    void observe(Latency what, Duration value);

    /// The value so far; for tests and the status page.
    std::uint64_t value(Count what) const;
    std::uint64_t answers(ResultCode code) const;

    /// Returns the latency below which this share (0 to 1) of the observations lies; zero where there is none.
    Duration quantile(Latency what, double share) const;

    /// Returns all counters, quantiles and gauges in Prometheus' text format.
    std::string prometheusText(std::span<const Gauge> gauges) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace hickoryshore
