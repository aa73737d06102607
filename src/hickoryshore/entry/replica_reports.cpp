// The part of RequestService that sends and receives reports on slow or failing replicas.
#include "hickoryshore/clock/clock.h"
#include "hickoryshore/entry/replica_report.h"
#include "hickoryshore/entry/request_service.h"
#include "hickoryshore/log/log.h"

#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Observations made within this time are sent in one report.
constexpr Duration reportDelay = 5ms;
constexpr std::string_view slice = "entry";

void logObservation(std::string_view event, const NamedObservation &named)
{
    const ReplicaObservation &observation = named.observation;
    writeLog({.level = LogLevel::Debug,
              .slice = slice,
              .event = event,
              .fields = {{"replica", named.replica},
                         {"quietMs", std::to_string(observation.stalledFor / 1ms)},
                         {"lastedMs", std::to_string(observation.attemptDuration / 1ms)},
                         {"slowness", std::to_string(observation.latencyRatio.value_or(0.0))}}});
}

} // namespace

void RequestService::collectObservations()
{
    std::vector<ReplicaObservation> observations = this->table.takeObservations();
    if (observations.empty() || !this->hooks.reportReplicas) {
        return;
    }
    if (this->unreportedObservations.empty()) {
        this->loop.after(reportDelay, [this] {
            this->reportObservations();
        });
    }
    this->unreportedObservations.insert(this->unreportedObservations.end(), observations.begin(), observations.end());
}

void RequestService::reportObservations()
{
    std::vector<NamedObservation> named;
    for (const ReplicaObservation &each : std::exchange(this->unreportedObservations, {})) {
        const auto replica = this->replicas.find(each.endpoint);
        if (replica != this->replicas.end()) {
            named.push_back({.replica = replica->second.name, .observation = each});
            logObservation("replicaReported", named.back());
        }
    }
    if (!named.empty()) {
        this->metrics.count(Count::ReplicaReportsSent);
        this->hooks.reportReplicas(encodeReplicaReport(named));
    }
}

void RequestService::onReplicaReport(std::string_view bytes)
{
    this->metrics.count(Count::ReplicaReportsHeard);
    auto report = decodeReplicaReport(bytes);
    if (!report.has_value()) {
        writeLog({.level = LogLevel::Warn, .slice = slice, .event = "malformedReplicaReport"});
        return;
    }
    for (NamedObservation &each : *report) {
        const auto endpoint = this->endpointsByName.find(each.replica);
        if (endpoint != this->endpointsByName.end()) {
            logObservation("replicaReportHeard", each);
            each.observation.endpoint = endpoint->second;
            this->table.receiveObservation(monotonicNow(), each.observation);
        }
    }
}

} // namespace hickoryshore
