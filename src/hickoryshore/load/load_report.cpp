#include "hickoryshore/load/load_report.h"

#include <numeric>
#include <ostream>

#include <boost/histogram/algorithm/sum.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

constexpr unsigned bins = 1000;
constexpr double shortestMs = 0.01;
constexpr double longestMs = 100'000;
constexpr double p50 = 0.5;
constexpr double p99 = 0.99;
constexpr double p999 = 0.999;

std::string_view failureName(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::Connect:
        return "connect";
    case HttpFailure::Closed:
        return "closed";
    case HttpFailure::Timeout:
        return "timeout";
    case HttpFailure::Malformed:
        return "malformedHttp";
    }
    return "unknown";
}

double coverage(const LoadReport &report)
{
    return report.shardsAsked == 0
        ? 0
        : static_cast<double>(report.shardsCovered) / static_cast<double>(report.shardsAsked);
}

} // namespace

LoadReport::LoadReport() : latencies(boost::histogram::make_histogram(LogAxis(bins, shortestMs, longestMs)))
{ }

void LoadReport::addLatency(Duration latency)
{
    this->latencies(std::chrono::duration<double, std::milli>(latency).count());
}

void LoadReport::addAnswer(const ReceivedAnswer &answer, AnswerFault fault, Duration latency)
{
    this->addLatency(latency);
    ++this->codes[answer.code];
    this->shardsCovered += answer.covered.size();
    this->shardsAsked += answer.covered.size() + answer.missed.size();
    this->withRetryAfter += answer.retryAfter > Duration(0) ? 1 : 0;
    if (fault == AnswerFault::Crossed) {
        ++this->crossed;
    } else if (fault == AnswerFault::Malformed) {
        ++this->malformed;
    } else if (answer.code == ResultCode::Ok || answer.code == ResultCode::RecordedOutcome) {
        ++this->whole;
    } else if (answer.code == ResultCode::PartialAnswer) {
        ++this->partial;
    } else if (answer.execution == Execution::NotRun) {
        ++this->refused;
    } else {
        ++this->failed;
    }
}

void LoadReport::addMalformed(Duration latency)
{
    this->addLatency(latency);
    ++this->malformed;
}

void LoadReport::addTransportFailure(HttpFailure failure, Duration latency)
{
    this->addLatency(latency);
    ++this->transportFailures[failure];
}

void LoadReport::add(const LoadReport &other)
{
    this->whole += other.whole;
    this->partial += other.partial;
    this->refused += other.refused;
    this->failed += other.failed;
    this->crossed += other.crossed;
    this->malformed += other.malformed;
    this->withRetryAfter += other.withRetryAfter;
    this->shardsCovered += other.shardsCovered;
    this->shardsAsked += other.shardsAsked;
    this->sentLate += other.sentLate;
    for (const auto &[code, count] : other.codes) {
        this->codes[code] += count;
    }
    for (const auto &[failure, count] : other.transportFailures) {
        this->transportFailures[failure] += count;
    }
    this->latencies += other.latencies;
}

double LoadReport::latencyPercentile(double share) const
{
    const auto &axis = this->latencies.axis();
    const double wanted = share * boost::histogram::algorithm::sum(this->latencies);
    // The bins before the first and after the last hold what is out of range.
    double sum = 0;
    int bin = -1;
    for (; bin <= axis.size(); ++bin) {
        sum += this->latencies.at(bin);
        if (sum >= wanted) {
            break;
        }
    }
    return axis.bin(bin).upper();
}

std::uint64_t LoadReport::queries() const
{
    std::uint64_t sum = this->whole + this->partial + this->refused + this->failed + this->crossed + this->malformed;
    for (const auto &[failure, count] : this->transportFailures) {
        sum += count;
    }
    return sum;
}

void printLoadTable(std::ostream &out, const LoadReport &report)
{
    out << "queries " << report.queries() << ": whole " << report.whole << ", partial " << report.partial
        << ", refused " << report.refused << ", failed " << report.failed << ", crossed " << report.crossed
        << ", malformed " << report.malformed << '\n';
    out << "shards covered " << coverage(report) << ", answers with a time to come back " << report.withRetryAfter
        << ", sent late " << report.sentLate << '\n';
    out << "latency from the intended time, ms: p50 " << report.latencyPercentile(p50) << ", p99 "
        << report.latencyPercentile(p99) << ", p99.9 " << report.latencyPercentile(p999) << '\n';
    for (const auto &[code, count] : report.codes) {
        out << "  " << static_cast<int>(code) << ' ' << resultCodeInfo(code).name << ": " << count << '\n';
    }
    for (const auto &[failure, count] : report.transportFailures) {
        out << "  transport " << failureName(failure) << ": " << count << '\n';
    }
}

void printLoadJson(std::ostream &out, const LoadReport &report)
{
    nlohmann::json json = {{"queries", report.queries()},
                           {"whole", report.whole},
                           {"partial", report.partial},
                           {"refused", report.refused},
                           {"failed", report.failed},
                           {"crossed", report.crossed},
                           {"malformed", report.malformed},
                           {"coverage", coverage(report)},
                           {"withRetryAfter", report.withRetryAfter},
                           {"sentLate", report.sentLate},
                           {"p50Ms", report.latencyPercentile(p50)},
                           {"p99Ms", report.latencyPercentile(p99)},
                           {"p999Ms", report.latencyPercentile(p999)},
                           {"resultCodes", nlohmann::json::object()},
                           {"transportFailures", nlohmann::json::object()}};
    for (const auto &[code, count] : report.codes) {
        json["resultCodes"][std::string(resultCodeInfo(code).name)] = count;
    }
    for (const auto &[failure, count] : report.transportFailures) {
        json["transportFailures"][std::string(failureName(failure))] = count;
    }
    out << json.dump(2) << '\n';
}

} // namespace hickoryshore
