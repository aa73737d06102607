#include "hickoryshore/dispatch/endpoint_table.h"

#include "hickoryshore/base/random.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Weight of one attempt in a replica's latency ratio and in its failure share.
constexpr double latencyRatioWeight = 0.3;
constexpr double failureWeight = 0.3;
/// Upper bound of the latency ratio of one attempt.
constexpr double maxLatencyRatio = 20.0;
/// Half-life of an assessment without new attempts: the latency ratio decays towards 1 and the failure share towards 0,
/// so that the replica is tried again. A pause makes one latency many times longer and is already over when that is
/// measured, so the replica must not be avoided for seconds.
constexpr Duration assessmentHalfLife = 1s;
/// Added to the latency estimate of a replica in proportion to its failure share. A failure takes an extra attempt from
/// a budget of one per five requests. One failure in five adds 40 ms, the round-trip time to another region.
constexpr double failurePenaltyMicros = 200000.0;
/// Latency of a replica during its warm-up, as a multiple of its usual latency.
constexpr double warmUpLatencyFactor = 1.6;
/// How much each attempt in flight or in the queue adds to the estimate, per slot.
constexpr double loadFactor = 0.7;
/// How long a replica's report of its queue length is used.
constexpr Duration queueReportLifetime = 150ms;
/// An attempt is reported to other VMs if its latency ratio is at least slowAttemptRatio. All attempts to a replica are
/// reported if the replica's own ratio is at least slowReplicaRatio.
constexpr double slowAttemptRatio = 2.5;
constexpr double slowReplicaRatio = 1.5;
/// How long another VM's stall report is used. Limited because the report that ends the stall may be lost.
constexpr Duration stallReportLifetime = 500ms;
/// Added to the latency estimate of a replica in another data centre of the region, for the round trip.
constexpr double otherDataCentrePenaltyMicros = 1000.0;
/// Added to the estimate of a replica that is ejected after failures, or that has just refused work.
constexpr double ejectedPenaltyMicros = 1e7;
constexpr double backoffPenaltyMicros = 5e4;
/// How long a replica that answered for another one gets no requests.
constexpr Duration misdirectedPause = 5s;
/// A pause that a replica asked for is extended by a random share of its length, up to a maximum, so that the VMs do
/// not all return at the same time.
constexpr double pauseSpreadShare = 0.25;
constexpr Duration maxPauseSpread = 500ms;
/// Relative noise of the estimates, so that the VMs do not all choose the same one of two equal replicas.
constexpr double estimateNoise = 0.1;
/// A replica whose estimate is at most this multiple of the best one serves about as well.
constexpr double similarLatencyRatio = 1.5;
/// Shares of the fleet's budget that are handed out: the slack that may be spent at once, the slack that is refilled
/// per window, and the ratio. The rest covers VMs that restart within a window and can spend their share again.
constexpr double burstSlackShare = 0.4;
constexpr double refillSlackShare = 0.3;
constexpr double distributedRatioShare = 0.85;
/// With at least this reserve, in extra attempts, hedges must leave one for retries.
constexpr double minReserveForRetryShare = 3.0;

} // namespace

EndpointTable::EndpointTable(std::uint64_t seed) : random(seededGenerator(seed))
{ }

double EndpointTable::extraAttemptReserve() const
{
    return burstSlackShare * this->budget.slack * this->budgetShare;
}

double EndpointTable::extraAttemptsPerRequest() const
{
    return distributedRatioShare * this->budget.ratio;
}

EndpointTable::Service &EndpointTable::serviceOf(const ServiceId &service)
{
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
        return found->second;
    }
    return this->services
        .emplace(service,
                 Service{.endpoints = {},
                         .extraAttempts = TokenBudget(this->extraAttemptsPerRequest(), this->extraAttemptReserve()),
                         .refilledAt = {}})
        .first->second;
}

void EndpointTable::setReplicas(Instant now, std::span<const DirectReplica> replicas)
{
    for (auto &[id, service] : this->services) {
        service.endpoints.clear();
    }
    for (auto &[id, endpoint] : this->endpoints) {
        endpoint.removed = true;
    }
    for (const DirectReplica &replica : replicas) {
        Endpoint &endpoint = this->endpoints[replica.endpoint];
        endpoint.replica = replica;
        endpoint.removed = false;
        endpoint.warmUpUntil = replica.warmUpLeft > Duration(0) ? now + replica.warmUpLeft : endpoint.warmUpUntil;
        if (!replica.draining) {
            this->serviceOf(replica.service).endpoints.push_back(replica.endpoint);
        }
    }
    std::erase_if(this->endpoints, [](const auto &entry) {
        return entry.second.removed && entry.second.inFlight == 0;
    });
}

void EndpointTable::setExtraAttemptBudget(const ExtraAttemptBudget &changed, double share)
{
    this->budget = changed;
    this->budgetShare = share;
    for (auto &[id, service] : this->services) {
        service.extraAttempts.setEarning(this->extraAttemptsPerRequest());
        service.extraAttempts.setReserve(this->extraAttemptReserve());
    }
}

EndpointTable::Assessment EndpointTable::assessmentNow(const Endpoint &endpoint, Instant now)
{
    const auto halfLives = static_cast<double>((now - endpoint.assessedAt).count())
        / static_cast<double>(Duration(assessmentHalfLife).count());
    const double left = std::exp2(-halfLives);
    return {.latencyRatio = 1.0 + (endpoint.assessment.latencyRatio - 1.0) * left,
            .failureShare = endpoint.assessment.failureShare * left};
}

/// Adds the outcome of one attempt to the replica's assessment.
void EndpointTable::assess(Endpoint &endpoint, Instant now, std::optional<double> latencyRatio, bool failed)
{
    const Assessment before = assessmentNow(endpoint, now);
    endpoint.assessment
        = {.latencyRatio = before.latencyRatio
               + latencyRatioWeight * (latencyRatio.value_or(before.latencyRatio) - before.latencyRatio),
           .failureShare = before.failureShare + failureWeight * ((failed ? 1.0 : 0.0) - before.failureShare)};
    endpoint.assessedAt = now;
}

/// Returns the estimated latency in microseconds, with penalties. A replica that has been stalled for longer than the
/// hedge delay has probably paused, and is expected to stay paused for as long again.
double EndpointTable::estimateLatency(const Endpoint &endpoint, Instant now, const RouteLatency &latency)
{
    const Distance distance = endpoint.replica.distance;
    const auto typical = static_cast<double>(latency.typical(distance).count());
    const Assessment assessment = assessmentNow(endpoint, now);
    double estimate = typical * assessment.latencyRatio * (endpoint.warmUpUntil > now ? warmUpLatencyFactor : 1.0);
    const int queued = now - endpoint.queueReportedAt < queueReportLifetime ? endpoint.waiting : 0;
    estimate *= 1.0 + loadFactor * (endpoint.inFlight + queued) / std::max(1, endpoint.replica.slots);
    estimate += static_cast<double>(stalledDuration(endpoint, now, latency).count());
    estimate += failurePenaltyMicros * assessment.failureShare;
    estimate += endpoint.replica.dataCentreIndex == ownDataCentreIndex ? 0.0 : otherDataCentrePenaltyMicros;
    estimate += endpoint.health.isEjected(now) ? ejectedPenaltyMicros : 0.0;
    estimate += endpoint.health.isBackingOff(now) ? backoffPenaltyMicros : 0.0;
    // After its pause, a single request tests whether the replica accepts requests again.
    estimate += endpoint.recovering && endpoint.inFlight > 0 ? ejectedPenaltyMicros : 0.0;
    std::uniform_real_distribution<double> noise(1.0, 1.0 + estimateNoise);
    return estimate * noise(this->random);
}

/// Returns how long the replica has been stalled, as seen by this VM or another, or zero if that is within the usual
/// range.
Duration EndpointTable::stalledDuration(const Endpoint &endpoint, Instant now, const RouteLatency &latency)
{
    Duration stalledFor(0);
    if (endpoint.inFlight > 0 && now - endpoint.stalledSince > latency.hedgeDelay(endpoint.replica.distance)) {
        stalledFor = now - endpoint.stalledSince;
    }
    if (endpoint.peerStallReportedAt + stallReportLifetime > now
        && endpoint.answeredAt < endpoint.peerStallReportedAt) {
        stalledFor = std::max(stalledFor, now - endpoint.peerStalledSince);
    }
    return stalledFor;
}

void EndpointTable::countOverdue(Instant now, EndpointId id, const RouteLatency &latency)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    const Duration stalledFor = now - endpoint.stalledSince;
    if (endpoint.inFlight > 0 && endpoint.reportedStalledSince != endpoint.stalledSince
        && stalledFor >= latency.earliestHedge(endpoint.replica.distance)) {
        endpoint.reportedStalledSince = endpoint.stalledSince;
        this->observations.push_back({.endpoint = id, .stalledFor = stalledFor});
    }
}

/// Queues the end of an attempt for other VMs if it was slow or failed, or the replica was reported stalled or counts
/// as slow.
void EndpointTable::recordObservation(const Endpoint &endpoint,
                                      Duration attemptDuration,
                                      std::optional<double> latencyRatio)
{
    const bool wasReported = endpoint.reportedStalledSince == endpoint.stalledSince;
    if (wasReported || latencyRatio.value_or(slowAttemptRatio) >= slowAttemptRatio
        || endpoint.assessment.latencyRatio >= slowReplicaRatio) {
        this->observations.push_back(
            {.endpoint = endpoint.replica.endpoint, .attemptDuration = attemptDuration, .latencyRatio = latencyRatio});
    }
}

std::vector<ReplicaObservation> EndpointTable::takeObservations()
{
    return std::exchange(this->observations, {});
}

void EndpointTable::receiveObservation(Instant now, const ReplicaObservation &observation)
{
    const auto found = this->endpoints.find(observation.endpoint);
    if (found == this->endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    if (observation.stalledFor > Duration(0)) {
        // A VM that was paused itself reports all replicas as stalled; an answer here shows that the stall began later.
        endpoint.peerStalledSince = std::max(now - observation.stalledFor, endpoint.answeredAt);
        endpoint.peerStallReportedAt = now;
        return;
    }
    endpoint.peerStallReportedAt = {};
    // Attempts that were in flight together were delayed by the same pause, so only one of them counts.
    if (now - observation.attemptDuration < endpoint.latestCountedAt) {
        return;
    }
    endpoint.latestCountedAt = now;
    if (observation.latencyRatio.has_value()) {
        assessLatency(endpoint, now, *observation.latencyRatio);
    } else {
        assess(endpoint, now, std::nullopt, true);
    }
}

/// A pause makes one attempt slow and ends with it, so the first slow attempt after faster ones is ignored.
void EndpointTable::assessLatency(Endpoint &endpoint, Instant now, double latencyRatio)
{
    const bool slow = latencyRatio >= slowAttemptRatio;
    if (!slow || endpoint.lastAttemptSlow) {
        assess(endpoint, now, latencyRatio, false);
    }
    endpoint.lastAttemptSlow = slow;
}

bool EndpointTable::accepts(const Endpoint &endpoint, Instant now)
{
    return !endpoint.leaving && endpoint.misdirectedUntil <= now && endpoint.refusesUntil <= now;
}

std::optional<ResultCode> EndpointTable::refusalReason(Instant now, EndpointId id) const
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end() || found->second.removed || found->second.replica.draining) {
        return ResultCode::UpstreamDraining;
    }
    if (accepts(found->second, now)) {
        return std::nullopt;
    }
    return found->second.refusesUntil > now ? ResultCode::UpstreamShed : ResultCode::UpstreamDraining;
}

std::optional<Duration> EndpointTable::timeUntilAccepted(Instant now, const ServiceId &service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    std::optional<Duration> shortest;
    for (const EndpointId id : found->second.endpoints) {
        const Endpoint &endpoint = this->endpoints.at(id);
        if (accepts(endpoint, now)) {
            return std::nullopt;
        }
        if (!endpoint.leaving && endpoint.refusesUntil > now) {
            const Duration left = endpoint.refusesUntil - now;
            shortest = std::min(shortest.value_or(left), left);
        }
    }
    return shortest;
}

std::optional<EndpointId> EndpointTable::choose(Instant now,
                                                const ServiceId &service,
                                                const RouteLatency &latency,
                                                std::span<const EndpointId> excluded)
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    std::optional<EndpointId> best;
    double bestEstimate = std::numeric_limits<double>::infinity();
    for (const EndpointId id : found->second.endpoints) {
        const Endpoint &endpoint = this->endpoints.at(id);
        if (!accepts(endpoint, now) || std::ranges::find(excluded, id) != excluded.end()) {
            continue;
        }
        const double estimate = this->estimateLatency(endpoint, now, latency);
        if (estimate < bestEstimate) {
            best = id;
            bestEstimate = estimate;
        }
    }
    return best;
}

DataCentreSet EndpointTable::dataCentresOf(Instant now, const ServiceId &service, const RouteLatency &latency)
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return 0;
    }
    std::vector<std::pair<double, DataCentreIndex>> estimates;
    double bestEstimate = std::numeric_limits<double>::infinity();
    for (const EndpointId id : found->second.endpoints) {
        const Endpoint &endpoint = this->endpoints.at(id);
        if (accepts(endpoint, now)) {
            estimates.emplace_back(this->estimateLatency(endpoint, now, latency), endpoint.replica.dataCentreIndex);
            bestEstimate = std::min(bestEstimate, estimates.back().first);
        }
    }
    DataCentreSet dataCentres = 0;
    for (const auto &[estimate, dataCentreIndex] : estimates) {
        dataCentres |= estimate <= bestEstimate * similarLatencyRatio ? dataCentreBit(dataCentreIndex) : 0;
    }
    return dataCentres;
}

void EndpointTable::countRequest(Instant now, const ServiceId &id)
{
    Service &service = this->serviceOf(id);
    this->refill(now, service);
    service.extraAttempts.earn();
}

void EndpointTable::refill(Instant now, Service &service) const
{
    const Duration passed = std::min(now - std::exchange(service.refilledAt, now), this->budget.window);
    const double windows = static_cast<double>(passed.count()) / static_cast<double>(this->budget.window.count());
    service.extraAttempts.refill(windows * refillSlackShare * this->budget.slack * this->budgetShare);
}

bool EndpointTable::takeExtraAttempt(Instant now, const ServiceId &id, bool isHedge)
{
    Service &service = this->serviceOf(id);
    this->refill(now, service);
    const double reserve = this->extraAttemptReserve();
    return service.extraAttempts.trySpend(isHedge && reserve >= minReserveForRetryShare ? 1.0 / reserve : 0.0);
}

void EndpointTable::countSent(Instant now, EndpointId id)
{
    Endpoint &endpoint = this->endpoints.at(id);
    endpoint.stalledSince = endpoint.inFlight == 0 ? now : endpoint.stalledSince;
    ++endpoint.inFlight;
}

Instant EndpointTable::endOfRefusal(Instant now, Duration asked)
{
    const auto maxSpread
        = std::min(static_cast<double>(asked.count()) * pauseSpreadShare, static_cast<double>(maxPauseSpread.count()));
    std::uniform_real_distribution<double> spread(0.0, maxSpread);
    return now + asked + Duration(static_cast<Duration::rep>(spread(this->random)));
}

/// Applies what the replica reported about itself in its reply.
std::optional<EndpointChange> EndpointTable::applyReplicaNotice(Instant now, Endpoint &endpoint, const AttemptEnd &end)
{
    std::optional<EndpointChange> change;
    if (end.refusesFor.has_value() && *end.refusesFor > Duration(0)) {
        const bool wasRefusing = endpoint.refusesUntil > now;
        endpoint.refusesUntil = std::max(endpoint.refusesUntil, this->endOfRefusal(now, *end.refusesFor));
        endpoint.recovering = true;
        if (!wasRefusing) {
            change = {.endpoint = endpoint.replica.endpoint,
                      .state = EndpointState::Refusing,
                      .refusalDuration = endpoint.refusesUntil - now};
        }
    }
    if (end.leaving && !endpoint.leaving) {
        endpoint.leaving = true;
        change = {.endpoint = endpoint.replica.endpoint, .state = EndpointState::Leaving};
    }
    return change;
}

void EndpointTable::countReply(Instant now, Endpoint &endpoint, const RouteLatency &latency, Duration attemptDuration)
{
    const auto typical = static_cast<double>(std::max(latency.typical(endpoint.replica.distance), Duration(1)).count());
    const double latencyRatio = std::min(static_cast<double>(attemptDuration.count()) / typical, maxLatencyRatio);
    assessLatency(endpoint, now, latencyRatio);
    this->recordObservation(endpoint, attemptDuration, latencyRatio);
    endpoint.answeredAt = now;
    endpoint.latestCountedAt = now;
    endpoint.health.countSuccess(now);
    endpoint.recovering = false;
}

void EndpointTable::countFailedAttempt(Instant now, Endpoint &endpoint, Duration attemptDuration)
{
    assess(endpoint, now, std::nullopt, true);
    this->recordObservation(endpoint, attemptDuration, std::nullopt);
}

std::optional<EndpointChange> EndpointTable::countEnd(Instant now,
                                                      EndpointId id,
                                                      const RouteLatency &latency,
                                                      const AttemptEnd &end)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        return std::nullopt;
    }
    Endpoint &endpoint = found->second;
    --endpoint.inFlight;
    if (end.withdrawn) {
        this->eraseIfUnused(id);
        return std::nullopt;
    }
    std::optional<EndpointChange> change;
    const bool wasEjected = endpoint.health.isEjected(now);
    if (end.waiting.has_value()) {
        endpoint.waiting = *end.waiting;
        endpoint.queueReportedAt = now;
    }
    if (end.code == ResultCode::Ok) {
        this->countReply(now, endpoint, latency, end.latency);
        if (wasEjected) {
            change = {.endpoint = id, .state = EndpointState::InUse};
        }
    } else if (end.code == ResultCode::UpstreamShed) {
        this->countFailedAttempt(now, endpoint, end.latency);
        std::uniform_real_distribution<double> share(0.0, 1.0);
        endpoint.health.countShed(now, share(this->random));
    } else if (end.code == ResultCode::UpstreamDraining) {
        // Requests sent there reach a replica of another service and use up that service's budget of extra attempts.
        endpoint.misdirectedUntil = now + misdirectedPause;
        change = {.endpoint = id, .state = EndpointState::Misdirected};
    } else {
        this->countFailedAttempt(now, endpoint, end.latency);
        if (endpoint.health.countFailure(now)) {
            change = {.endpoint = id, .state = EndpointState::Ejected, .failures = endpoint.health.consecutiveFailures};
        }
    }
    endpoint.stalledSince = now;
    const auto notice = this->applyReplicaNotice(now, endpoint, end);
    change = notice.has_value() ? notice : change;
    this->eraseIfUnused(id);
    return change;
}

/// An attempt abandoned late counts as a failure with the maximum latency ratio, since its real latency is unknown but
/// long.
void EndpointTable::countDropped(Instant now, EndpointId id, bool late)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    --endpoint.inFlight;
    if (late) {
        assess(endpoint, now, maxLatencyRatio, true);
    }
    this->eraseIfUnused(id);
}

void EndpointTable::eraseIfUnused(EndpointId id)
{
    const Endpoint &endpoint = this->endpoints.at(id);
    if (endpoint.removed && endpoint.inFlight == 0) {
        this->endpoints.erase(id);
    }
}

Distance EndpointTable::distanceOf(EndpointId id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? Distance::SameRegion : found->second.replica.distance;
}

} // namespace hickoryshore
