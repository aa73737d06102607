#include "model/bench_run.h"

#include <algorithm>

namespace hickoryshore::bench {

namespace {

constexpr double p50 = 0.5;
constexpr double p95 = 0.95;
constexpr double p99 = 0.99;
constexpr double p999 = 0.999;

double shareOf(std::uint64_t part, std::uint64_t total)
{
    return total == 0 ? 0 : static_cast<double>(part) / static_cast<double>(total);
}

CallerReport reportOf(const std::string &name, const CallerStatistics &statistics)
{
    const std::uint64_t queries = statistics.latency.size();
    return {.caller = name,
            .queries = queries,
            .p50 = statistics.latency.percentile(p50),
            .p99 = statistics.latency.percentile(p99),
            .p999 = statistics.latency.percentile(p999),
            .strictP99 = statistics.strictLatency.percentile(p99),
            .coverage = queries == 0 ? 0 : statistics.coverage / static_cast<double>(queries),
            .complete = shareOf(statistics.complete, queries)};
}

std::vector<CodeCount> countsOf(const std::map<ResultCode, std::uint64_t> &codes)
{
    std::vector<CodeCount> counts;
    for (const auto &[code, count] : codes) {
        counts.push_back({std::string(resultCodeInfo(code).name), count});
    }
    return counts;
}

void reportCallers(const RunStatistics &statistics, RunReport &report)
{
    CallerStatistics all;
    for (const auto &[caller, each] : statistics.callers) {
        report.callers.push_back(reportOf(caller.value, each));
        all.latency.append(each.latency);
        all.strictLatency.append(each.strictLatency);
        all.coverage += each.coverage;
        all.complete += each.complete;
    }
    report.all = reportOf("all", all);
}

void reportAttempts(const RunStatistics &statistics, RunReport &report)
{
    report.subRequests = statistics.subRequests;
    report.extraLoad = shareOf(statistics.retries + statistics.hedges, statistics.firstAttempts);
    report.retryAmplification = 1 + shareOf(statistics.retries, statistics.firstAttempts);
    report.refusals = countsOf(statistics.refusals);
    report.failures = countsOf(statistics.failures);
    report.refusalP99 = statistics.refusalLatency.percentile(p99);
    report.refusalLongest = statistics.refusalLatency.percentile(1);
    report.refusalsWithoutRetryAfter = statistics.refusalsWithoutRetryAfter;
    report.subRequestP95 = statistics.subRequestLatency.percentile(p95);
    report.subRequestP999 = statistics.subRequestLatency.percentile(p999);
    report.hedgeDelayP50 = statistics.hedgeDelay.percentile(p50);
    for (const auto &[silentConnections, latencies] : statistics.silentLatency) {
        report.silentSubRequests += latencies.size();
        report.silentLatencies.push_back({silentConnections, latencies.size(), latencies.percentile(1)});
    }
    report.silentNonIdempotent = statistics.silentNonIdempotent;
    report.maxSends = largestCount(statistics.nonIdempotentSent);
    report.maxRuns = largestCount(statistics.nonIdempotentRuns);
    report.incompleteAfterSettling = statistics.incompleteAfterSettling;
}

void reportReplicas(std::span<const std::unique_ptr<ReplicaModel>> replicas, Duration duration, RunReport &report)
{
    Duration slotTime(0);
    Duration late(0);
    Duration cancelled(0);
    for (const std::unique_ptr<ReplicaModel> &replica : replicas) {
        slotTime += replica->usage.slotTime;
        late += replica->usage.lateSlotTime;
        cancelled += replica->usage.cancelledSlotTime;
        report.peakConnections = std::max(report.peakConnections, replica->usage.peakConnections);
        report.peakInFlight = std::max(report.peakInFlight, replica->usage.peakInFlight);
        const double above = shareOf(static_cast<std::uint64_t>(replica->usage.aboveSlots.count()),
                                     static_cast<std::uint64_t>(duration.count()));
        report.aboveSlots = std::max(report.aboveSlots, above);
        report.lastReceived.push_back(replica->usage.lastReceived.time_since_epoch());
    }
    report.lateShare = shareOf(static_cast<std::uint64_t>(late.count()), static_cast<std::uint64_t>(slotTime.count()));
    report.cancelledShare
        = shareOf(static_cast<std::uint64_t>(cancelled.count()), static_cast<std::uint64_t>(slotTime.count()));
}

} // namespace

RunReport BenchRun::report() const
{
    RunReport report;
    report.service = this->settings.shape.name;
    report.scenario = this->settings.scenario.name;
    report.seed = this->settings.seed;
    const auto names = policyNames();
    report.policy = std::ranges::find(names, this->settings.policy, &PolicyName::kind)->name;
    reportCallers(this->statistics, report);
    reportAttempts(this->statistics, report);
    reportReplicas(this->replicas, this->settings.duration - this->settings.warmUp, report);
    const double seconds = std::chrono::duration<double>(this->settings.duration - this->settings.warmUp).count();
    report.goodput
        = static_cast<double>(this->statistics.answeredInTime) / (capacityPerSecond(this->settings.shape) * seconds);
    return report;
}

} // namespace hickoryshore::bench
