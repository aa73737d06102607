// What a RequestService tells other VMs of replicas that answer late or fail, and takes from them.
#include "hickoryshore/clock/clock.h"
#include "hickoryshore/entry/request_service.h"
#include "hickoryshore/log/log.h"

#include "replica_report.pb.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Observations of this time go in one report.
constexpr Duration reportPause = 5ms;
/// In one report, so that it fits into a datagram; what is more is left out.
constexpr std::size_t mostObservations = 16;
constexpr double percent = 100.0;
/// What no replica takes and no pause lasts.
constexpr std::uint32_t longestTold = 60'000;
constexpr std::string_view slice = "entry";

std::uint32_t wholeMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration / 1ms, 0, longestTold));
}

std::vector<LogField> fieldsOf(std::string_view replica, const ReplicaObservation &observation)
{
    return {{"replica", std::string(replica)},
            {"quietMs", std::to_string(observation.quiet / 1ms)},
            {"lastedMs", std::to_string(observation.lasted / 1ms)},
            {"slowness", std::to_string(observation.slowness.value_or(0.0))}};
}

} // namespace

void RequestService::collectObservations()
{
    std::vector<ReplicaObservation> fresh = this->table.takeObservations();
    if (fresh.empty() || !this->hooks.reportReplicas) {
        return;
    }
    if (this->unreported.empty()) {
        this->loop.after(reportPause, [this] {
            this->reportObservations();
        });
    }
    this->unreported.insert(this->unreported.end(), fresh.begin(), fresh.end());
}

void RequestService::reportObservations()
{
    wire::ReplicaReport report;
    for (const ReplicaObservation &each : std::exchange(this->unreported, {})) {
        const auto replica = this->replicas.find(each.endpoint);
        if (replica == this->replicas.end() || report.observations_size() == static_cast<int>(mostObservations)) {
            continue;
        }
        wire::ReplicaObservation &told = *report.add_observations();
        writeLog({.level = LogLevel::Debug,
                  .slice = slice,
                  .event = "replicaReported",
                  .fields = fieldsOf(replica->second.name, each)});
        told.set_replica(replica->second.name);
        told.set_quiet_ms(wholeMilliseconds(each.quiet));
        told.set_lasted_ms(wholeMilliseconds(each.lasted));
        if (each.slowness.has_value()) {
            told.set_slowness_percent(std::max(static_cast<std::uint32_t>(*each.slowness * percent), 1U));
        }
    }
    this->metrics.count(Count::ReplicaReportsSent);
    this->hooks.reportReplicas(report.SerializeAsString());
}

void RequestService::onReplicaReport(std::string_view bytes)
{
    this->metrics.count(Count::ReplicaReportsHeard);
    wire::ReplicaReport report;
    if (!report.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        writeLog({.level = LogLevel::Warn, .slice = slice, .event = "malformedReplicaReport"});
        return;
    }
    for (const wire::ReplicaObservation &told : report.observations()) {
        const auto endpoint = this->endpointsByName.find(told.replica());
        if (endpoint == this->endpointsByName.end()) {
            continue;
        }
        ReplicaObservation heard{.endpoint = endpoint->second,
                                 .quiet = 1ms * std::min(told.quiet_ms(), longestTold),
                                 .lasted = 1ms * std::min(told.lasted_ms(), longestTold)};
        if (told.slowness_percent() > 0) {
            heard.slowness = static_cast<double>(told.slowness_percent()) / percent;
        }
        writeLog({.level = LogLevel::Debug,
                  .slice = slice,
                  .event = "replicaReportHeard",
                  .fields = fieldsOf(told.replica(), heard)});
        this->table.hear(monotonicNow(), heard);
    }
}

} // namespace hickoryshore
