#include "hickoryshore/dispatch/endpoint_table.h"

#include "hickoryshore/base/random.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Weight of one attempt in a replica's slowness and in its share of failures.
constexpr double slownessWeight = 0.3;
constexpr double failureWeight = 0.3;
/// A latency counts as at most so many times the typical one.
constexpr double mostSlowness = 20.0;
/// Without news the slowness goes half of the way back to one in this time, and the share of failures to zero, so that
/// a replica is tried again. A pause of a replica makes one latency many times as long and is over when it is known:
/// its work must not go elsewhere for seconds.
constexpr Duration assessmentHalfLife = 1s;
/// Added to the cost, in microseconds, of a replica that fails all of its attempts, and in proportion for others: a
/// failure takes an extra attempt out of a budget of one in five. One failure in five costs as much as 40 ms, the way
/// to another region and back.
constexpr double failureCost = 200000.0;
/// A replica that has just started takes this much longer.
constexpr double coldSlowness = 1.6;
/// Added to the cost for each attempt in flight or in the queue, for each slot.
constexpr double loadCost = 0.7;
/// For how long a replica's report of its queue counts.
constexpr Duration reportLifetime = 150ms;
/// Other VMs hear of attempts that took so many times as long as usual, and of all while the replica counts as so slow.
constexpr double slowAttempt = 2.5;
constexpr double slowReplica = 1.5;
/// For how long it counts that another VM waits for the replica: the news of the end may be lost.
constexpr Duration heardLifetime = 500ms;
/// Added to the cost, in microseconds, of a replica in another data centre of the region: the way there.
constexpr double otherDataCentreCost = 1000.0;
/// The same for one that is taken out after failures, and one that has just refused work.
constexpr double ejectedCost = 1e7;
constexpr double backoffCost = 5e4;
/// How long a replica is left alone that answered for another one.
constexpr Duration refusedElsewhere = 5s;
/// A pause that a replica asked for is made longer by a random part of it, up to a bound, so that the VMs do not all
/// come back at once.
constexpr double refusalSpread = 0.25;
constexpr Duration longestRefusalSpread = 500ms;
/// Costs are compared with this much noise, so that the VMs do not all choose the same of two equal replicas.
constexpr double costNoise = 0.1;
/// A replica that costs at most so many times the best one serves about as well.
constexpr double likeCost = 1.5;
/// Parts of the fleet's budget that are handed out: of the slack, what may be spent at once and what comes back within
/// a window, and of the ratio. What is left covers VMs that start anew within a window, with another part to spend.
constexpr double slackAtOnce = 0.4;
constexpr double slackPerWindow = 0.3;
constexpr double sharedRatio = 0.85;
/// Smallest reserve of which hedges leave one attempt for retries.
constexpr double reserveWithKept = 3.0;

} // namespace

EndpointTable::EndpointTable(std::uint64_t seed) : random(seededGenerator(seed))
{ }

double EndpointTable::repeatReserve() const
{
    return slackAtOnce * this->budget.slack * this->budgetShare;
}

double EndpointTable::repeatEarning() const
{
    return sharedRatio * this->budget.ratio;
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
                         .repeats = TokenBudget(this->repeatEarning(), this->repeatReserve()),
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
        endpoint.warmUntil = replica.warmUpLeft > Duration(0) ? now + replica.warmUpLeft : endpoint.warmUntil;
        if (!replica.draining) {
            this->serviceOf(replica.service).endpoints.push_back(replica.endpoint);
        }
    }
    std::erase_if(this->endpoints, [](const auto &entry) {
        return entry.second.removed && entry.second.inFlight == 0;
    });
}

void EndpointTable::setRepeatBudget(const RepeatBudget &changed, double share)
{
    this->budget = changed;
    this->budgetShare = share;
    for (auto &[id, service] : this->services) {
        service.repeats.setEarning(this->repeatEarning());
        service.repeats.setReserve(this->repeatReserve());
    }
}

EndpointTable::Assessment EndpointTable::assessmentNow(const Endpoint &endpoint, Instant now)
{
    const auto halfLives = static_cast<double>((now - endpoint.assessedAt).count())
        / static_cast<double>(Duration(assessmentHalfLife).count());
    const double left = std::exp2(-halfLives);
    return {.slowness = 1.0 + (endpoint.assessed.slowness - 1.0) * left,
            .failureShare = endpoint.assessed.failureShare * left};
}

/// Takes the end of one attempt into what is known of its replica.
void EndpointTable::assess(Endpoint &endpoint, Instant now, std::optional<double> slowness, bool failed)
{
    const Assessment before = assessmentNow(endpoint, now);
    endpoint.assessed
        = {.slowness = before.slowness + slownessWeight * (slowness.value_or(before.slowness) - before.slowness),
           .failureShare = before.failureShare + failureWeight * ((failed ? 1.0 : 0.0) - before.failureShare)};
    endpoint.assessedAt = now;
}

/// The expected latency in microseconds. A replica that has been quiet for longer than a hedge is waited for has
/// probably paused, and is expected to stay so for as long again.
double EndpointTable::costOf(const Endpoint &endpoint, Instant now, const RouteLatency &latency)
{
    const Distance distance = endpoint.replica.distance;
    const auto typical = static_cast<double>(latency.typical(distance).count());
    const Assessment assessment = assessmentNow(endpoint, now);
    double cost = typical * assessment.slowness * (endpoint.warmUntil > now ? coldSlowness : 1.0);
    const int queued = now - endpoint.waitingAt < reportLifetime ? endpoint.waiting : 0;
    cost *= 1.0 + loadCost * (endpoint.inFlight + queued) / std::max(1, endpoint.replica.slots);
    cost += static_cast<double>(quietTime(endpoint, now, latency).count());
    cost += failureCost * assessment.failureShare;
    cost += endpoint.replica.place == ownPlace ? 0.0 : otherDataCentreCost;
    cost += endpoint.health.isEjected(now) ? ejectedCost : 0.0;
    cost += endpoint.health.isBackingOff(now) ? backoffCost : 0.0;
    // After its pause one request tells whether it takes others again.
    cost += endpoint.recovering && endpoint.inFlight > 0 ? ejectedCost : 0.0;
    std::uniform_real_distribution<double> noise(1.0, 1.0 + costNoise);
    return cost * noise(this->random);
}

/// For how long the replica has been quiet, here or at another VM; zero where that is no longer than usual.
Duration EndpointTable::quietTime(const Endpoint &endpoint, Instant now, const RouteLatency &latency)
{
    Duration quiet(0);
    if (endpoint.inFlight > 0 && now - endpoint.quietSince > latency.hedgeDelay(endpoint.replica.distance)) {
        quiet = now - endpoint.quietSince;
    }
    if (endpoint.heardQuietAt + heardLifetime > now && endpoint.answeredAt < endpoint.heardQuietAt) {
        quiet = std::max(quiet, now - endpoint.heardQuietSince);
    }
    return quiet;
}

void EndpointTable::countOverdue(Instant now, EndpointId id, const RouteLatency &latency)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    const Duration quiet = now - endpoint.quietSince;
    if (endpoint.inFlight > 0 && endpoint.quietTold != endpoint.quietSince
        && quiet >= latency.earliestHedge(endpoint.replica.distance)) {
        endpoint.quietTold = endpoint.quietSince;
        this->observations.push_back({.endpoint = id, .quiet = quiet});
    }
}

/// Notes an attempt's end for other VMs, if it tells them something: it was slow, or the replica was said to be.
void EndpointTable::observeEnd(const Endpoint &endpoint, Duration lasted, std::optional<double> slowness)
{
    const bool wasTold = endpoint.quietTold == endpoint.quietSince;
    if (wasTold || slowness.value_or(slowAttempt) >= slowAttempt || endpoint.assessed.slowness >= slowReplica) {
        this->observations.push_back({.endpoint = endpoint.replica.endpoint, .lasted = lasted, .slowness = slowness});
    }
}

std::vector<ReplicaObservation> EndpointTable::takeObservations()
{
    return std::exchange(this->observations, {});
}

void EndpointTable::hear(Instant now, const ReplicaObservation &observation)
{
    const auto found = this->endpoints.find(observation.endpoint);
    if (found == this->endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    if (observation.quiet > Duration(0)) {
        // A VM that stood still takes its own pause for that of every replica.
        endpoint.heardQuietSince = std::max(now - observation.quiet, endpoint.answeredAt);
        endpoint.heardQuietAt = now;
        return;
    }
    endpoint.heardQuietAt = {};
    // Attempts that were in flight together have met the same pause: one of them counts.
    if (now - observation.lasted < endpoint.countedUntil) {
        return;
    }
    endpoint.countedUntil = now;
    if (observation.slowness.has_value()) {
        assessLatency(endpoint, now, *observation.slowness);
    } else {
        assess(endpoint, now, std::nullopt, true);
    }
}

/// A pause makes one attempt slow, and is over when that ends: the first slow one after others does not count.
void EndpointTable::assessLatency(Endpoint &endpoint, Instant now, double slowness)
{
    const bool slow = slowness >= slowAttempt;
    if (!slow || endpoint.slowBefore) {
        assess(endpoint, now, slowness, false);
    }
    endpoint.slowBefore = slow;
}

bool EndpointTable::accepts(const Endpoint &endpoint, Instant now)
{
    return !endpoint.leaving && endpoint.misdirectedUntil <= now && endpoint.refusesUntil <= now;
}

std::optional<ResultCode> EndpointTable::refusalOf(Instant now, EndpointId id) const
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

std::optional<Duration> EndpointTable::untilAccepted(Instant now, const ServiceId &service) const
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
    double bestCost = std::numeric_limits<double>::infinity();
    for (const EndpointId id : found->second.endpoints) {
        const Endpoint &endpoint = this->endpoints.at(id);
        if (!accepts(endpoint, now) || std::ranges::find(excluded, id) != excluded.end()) {
            continue;
        }
        const double cost = this->costOf(endpoint, now, latency);
        if (cost < bestCost) {
            best = id;
            bestCost = cost;
        }
    }
    return best;
}

PlaceSet EndpointTable::placesOf(Instant now, const ServiceId &service, const RouteLatency &latency)
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return 0;
    }
    std::vector<std::pair<double, PlaceNumber>> costs;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const EndpointId id : found->second.endpoints) {
        const Endpoint &endpoint = this->endpoints.at(id);
        if (accepts(endpoint, now)) {
            costs.emplace_back(this->costOf(endpoint, now, latency), endpoint.replica.place);
            bestCost = std::min(bestCost, costs.back().first);
        }
    }
    PlaceSet places = 0;
    for (const auto &[cost, place] : costs) {
        places |= cost <= bestCost * likeCost ? placeBit(place) : 0;
    }
    return places;
}

void EndpointTable::countRequest(Instant now, const ServiceId &id)
{
    Service &service = this->serviceOf(id);
    this->refill(now, service);
    service.repeats.earn();
}

void EndpointTable::refill(Instant now, Service &service) const
{
    const Duration passed = std::min(now - std::exchange(service.refilledAt, now), this->budget.window);
    const double windows = static_cast<double>(passed.count()) / static_cast<double>(this->budget.window.count());
    service.repeats.refill(windows * slackPerWindow * this->budget.slack * this->budgetShare);
}

bool EndpointTable::takeRepeat(Instant now, const ServiceId &id, bool isHedge)
{
    Service &service = this->serviceOf(id);
    this->refill(now, service);
    const double reserve = this->repeatReserve();
    return service.repeats.trySpend(isHedge && reserve >= reserveWithKept ? 1.0 / reserve : 0.0);
}

void EndpointTable::countSent(Instant now, EndpointId id)
{
    Endpoint &endpoint = this->endpoints.at(id);
    endpoint.quietSince = endpoint.inFlight == 0 ? now : endpoint.quietSince;
    ++endpoint.inFlight;
}

Instant EndpointTable::endOfRefusal(Instant now, Duration asked)
{
    const auto most = std::min(static_cast<double>(asked.count()) * refusalSpread,
                               static_cast<double>(longestRefusalSpread.count()));
    std::uniform_real_distribution<double> spread(0.0, most);
    return now + asked + Duration(static_cast<Duration::rep>(spread(this->random)));
}

/// Takes what the replica said of itself beside its answer.
std::optional<EndpointChange> EndpointTable::takeNotice(Instant now, Endpoint &endpoint, const AttemptEnd &end)
{
    std::optional<EndpointChange> change;
    if (end.refusesFor.has_value() && *end.refusesFor > Duration(0)) {
        const bool wasRefusing = endpoint.refusesUntil > now;
        endpoint.refusesUntil = std::max(endpoint.refusesUntil, this->endOfRefusal(now, *end.refusesFor));
        endpoint.recovering = true;
        if (!wasRefusing) {
            change = {.endpoint = endpoint.replica.endpoint,
                      .state = EndpointState::Refusing,
                      .lasts = endpoint.refusesUntil - now};
        }
    }
    if (end.leaving && !endpoint.leaving) {
        endpoint.leaving = true;
        change = {.endpoint = endpoint.replica.endpoint, .state = EndpointState::Leaving};
    }
    return change;
}

void EndpointTable::countReply(Instant now, Endpoint &endpoint, const RouteLatency &latency, Duration lasted)
{
    const auto typical = static_cast<double>(std::max(latency.typical(endpoint.replica.distance), Duration(1)).count());
    const double slowness = std::min(static_cast<double>(lasted.count()) / typical, mostSlowness);
    assessLatency(endpoint, now, slowness);
    this->observeEnd(endpoint, lasted, slowness);
    endpoint.answeredAt = now;
    endpoint.countedUntil = now;
    endpoint.health.countSuccess(now);
    endpoint.recovering = false;
}

void EndpointTable::countFailed(Instant now, Endpoint &endpoint, Duration lasted)
{
    assess(endpoint, now, std::nullopt, true);
    this->observeEnd(endpoint, lasted, std::nullopt);
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
        this->forgetRemoved(id);
        return std::nullopt;
    }
    std::optional<EndpointChange> change;
    const bool wasEjected = endpoint.health.isEjected(now);
    if (end.waiting.has_value()) {
        endpoint.waiting = *end.waiting;
        endpoint.waitingAt = now;
    }
    if (end.code == ResultCode::Ok) {
        this->countReply(now, endpoint, latency, end.latency);
        if (wasEjected) {
            change = {.endpoint = id, .state = EndpointState::InUse};
        }
    } else if (end.code == ResultCode::UpstreamShed) {
        this->countFailed(now, endpoint, end.latency);
        std::uniform_real_distribution<double> share(0.0, 1.0);
        endpoint.health.countShed(now, share(this->random));
    } else if (end.code == ResultCode::UpstreamDraining) {
        // What goes there only adds to the load of another service, whose budget of extra attempts it uses up.
        endpoint.misdirectedUntil = now + refusedElsewhere;
        change = {.endpoint = id, .state = EndpointState::Misdirected};
    } else {
        this->countFailed(now, endpoint, end.latency);
        if (endpoint.health.countFailure(now)) {
            change = {.endpoint = id, .state = EndpointState::Ejected, .failures = endpoint.health.consecutiveFailures};
        }
    }
    endpoint.quietSince = now;
    const auto notice = this->takeNotice(now, endpoint, end);
    change = notice.has_value() ? notice : change;
    this->forgetRemoved(id);
    return change;
}

/// A latency that was cut off late was long, whatever it would have been.
void EndpointTable::countDropped(Instant now, EndpointId id, bool late)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    --endpoint.inFlight;
    if (late) {
        assess(endpoint, now, mostSlowness, true);
    }
    this->forgetRemoved(id);
}

void EndpointTable::forgetRemoved(EndpointId id)
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
