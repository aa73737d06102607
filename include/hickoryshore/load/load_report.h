// What a run of the load generator counts, and how it is printed.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/http/http_client.h"
#include "hickoryshore/load/received_answer.h"

#include <iosfwd>
#include <map>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>

namespace hickoryshore {

/// Counts and latencies; each thread fills its own, and they are added up at the end.
///
///     LoadReport report;
///     report.addAnswer(answer, AnswerFault::None, 12ms);
///     printLoadTable(std::cout, report);
class LoadReport
{
public:
    LoadReport();

    void addAnswer(const ReceivedAnswer &answer, AnswerFault fault, Duration latency);
    void addMalformed(Duration latency);
    void addTransportFailure(HttpFailure failure, Duration latency);
    void add(const LoadReport &other);

    /// Returns the upper edge of the bin that holds this share (0 to 1) of the latencies, in milliseconds.
    double latencyPercentile(double share) const;

    /// Returns the number of queries that have an outcome.
    std::uint64_t queries() const;

    std::uint64_t whole = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0; ///< Answered as "not run".
    std::uint64_t failed = 0;
    std::uint64_t crossed = 0;
    std::uint64_t malformed = 0;
    std::uint64_t withRetryAfter = 0;
    std::uint64_t shardsCovered = 0;
    std::uint64_t shardsAsked = 0;
    std::uint64_t sentLate = 0; ///< Sent more than a millisecond after the intended time.
    std::map<ResultCode, std::uint64_t> codes;
    std::map<HttpFailure, std::uint64_t> transportFailures;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    void addLatency(Duration latency);

    boost::histogram::histogram<std::tuple<LogAxis>> latencies; ///< Milliseconds since the intended time.
};

void printLoadTable(std::ostream &out, const LoadReport &report);
void printLoadJson(std::ostream &out, const LoadReport &report);

} // namespace hickoryshore
