#include "hickoryshore/entry/replica_report.h"

#include "replica_report.pb.h"

#include <algorithm>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

constexpr double percent = 100.0;
/// Upper bound of reported durations; real ones are shorter.
constexpr std::uint32_t maxReportedMilliseconds = 60'000;

std::uint32_t wholeMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration / 1ms, 0, maxReportedMilliseconds));
}

/// For fields in which zero means that there is no value.
std::uint32_t atLeastOne(std::uint32_t value)
{
    return std::max(value, 1U);
}

void encode(const NamedObservation &named, wire::ReplicaObservation &out)
{
    const ReplicaObservation &observation = named.observation;
    out.set_replica(named.replica);
    if (observation.stalledFor > Duration(0)) {
        out.set_quiet_ms(atLeastOne(wholeMilliseconds(observation.stalledFor)));
    }
    out.set_lasted_ms(wholeMilliseconds(observation.attemptDuration));
    if (observation.latencyRatio.has_value()) {
        out.set_slowness_percent(atLeastOne(static_cast<std::uint32_t>(*observation.latencyRatio * percent)));
    }
}

NamedObservation decode(const wire::ReplicaObservation &in)
{
    NamedObservation named{.replica = in.replica(),
                           .observation = {.stalledFor = 1ms * std::min(in.quiet_ms(), maxReportedMilliseconds),
                                           .attemptDuration = 1ms * std::min(in.lasted_ms(), maxReportedMilliseconds)}};
    if (in.slowness_percent() > 0) {
        named.observation.latencyRatio = static_cast<double>(in.slowness_percent()) / percent;
    }
    return named;
}

} // namespace

std::string encodeReplicaReport(std::span<const NamedObservation> observations)
{
    wire::ReplicaReport report;
    for (const NamedObservation &each : observations) {
        encode(each, *report.add_observations());
        if (report.ByteSizeLong() > maxReportBytes) {
            report.mutable_observations()->RemoveLast();
        }
    }
    return report.SerializeAsString();
}

std::optional<std::vector<NamedObservation>> decodeReplicaReport(std::string_view bytes)
{
    wire::ReplicaReport report;
    if (!report.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    std::vector<NamedObservation> observations;
    for (const wire::ReplicaObservation &each : report.observations()) {
        observations.push_back(decode(each));
    }
    return observations;
}

} // namespace hickoryshore
