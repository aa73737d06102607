#include "hickoryshore/dispatch/aggregator_table.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

/// Until a call has told.
constexpr Duration firstTravelNear = std::chrono::milliseconds(3);
constexpr Duration firstTravelFar = std::chrono::milliseconds(20);
/// One call counts for so much of what is usual.
constexpr int travelDivisor = 8;

} // namespace

void AggregatorTable::setCandidates(Instant now, std::vector<AggregatorCandidate> changed)
{
    this->candidates = std::move(changed);
    for (const AggregatorCandidate &candidate : this->candidates) {
        Known &state = this->known[candidate.vm];
        if (std::exchange(state.processId, candidate.processId) != candidate.processId) {
            state.passedOverUntil = now + warmUp;
        }
    }
    std::erase_if(this->known, [this](const auto &entry) {
        return entry.second.due.empty()
            && std::ranges::find(this->candidates, entry.first, &AggregatorCandidate::vm) == this->candidates.end();
    });
}

PlaceSet AggregatorTable::places(Instant now) const
{
    PlaceSet places = 0;
    for (const AggregatorCandidate &candidate : this->candidates) {
        if (!this->isPassedOver(candidate.vm, now)) {
            places |= placeBit(candidate.place);
        }
    }
    return places;
}

PlaceSet AggregatorTable::nearPlaces() const
{
    PlaceSet places = 0;
    for (const AggregatorCandidate &candidate : this->candidates) {
        places |= candidate.near ? placeBit(candidate.place) : 0;
    }
    return places;
}

std::optional<AggregatorCandidate> AggregatorTable::choose(Instant now, PlaceNumber place) const
{
    const AggregatorCandidate *best = nullptr;
    std::size_t fewest = 0;
    std::size_t usable = 0;
    for (const AggregatorCandidate &candidate : this->candidates) {
        if (candidate.place != place || usable == usedOfPlace || this->isPassedOver(candidate.vm, now)) {
            continue;
        }
        ++usable;
        const auto found = this->known.find(candidate.vm);
        const std::size_t inFlight = found == this->known.end() ? 0 : found->second.due.size();
        if (best == nullptr || inFlight < fewest) {
            best = &candidate;
            fewest = inFlight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool AggregatorTable::isPassedOver(const VmId &vm, Instant now) const
{
    const auto found = this->known.find(vm);
    if (found == this->known.end()) {
        return false;
    }
    const Known &state = found->second;
    const bool overdue = !state.due.empty() && *state.due.begin() + lateAnswer < now;
    return overdue || state.passedOverUntil > now;
}

void AggregatorTable::forget(const VmId &vm, Instant due)
{
    std::multiset<Instant> &calls = this->known[vm].due;
    const auto found = calls.find(due);
    if (found != calls.end()) {
        calls.erase(found);
    }
}

void AggregatorTable::countSent(const VmId &vm, Instant due)
{
    this->known[vm].due.insert(due);
}

void AggregatorTable::countEnd(Instant now, const VmId &vm, Instant due, const AggregatorEnd &end)
{
    this->forget(vm, due);
    if (!end.answered || now > due + lateAnswer) {
        this->known[vm].passedOverUntil = now + failurePause;
        return;
    }
    const auto found = std::ranges::find(this->candidates, vm, &AggregatorCandidate::vm);
    if (found == this->candidates.end() || placeBit(found->place) == 0) {
        return;
    }
    std::optional<Duration> &usual = this->travels[static_cast<std::size_t>(found->place)];
    const Duration before = usual.value_or(end.travel);
    usual = before + (end.travel - before) / travelDivisor;
}

void AggregatorTable::countDropped(const VmId &vm, Instant due)
{
    this->forget(vm, due);
}

Duration AggregatorTable::travel(PlaceNumber place) const
{
    if (placeBit(place) != 0 && this->travels[static_cast<std::size_t>(place)].has_value()) {
        return *this->travels[static_cast<std::size_t>(place)];
    }
    return (this->nearPlaces() & placeBit(place)) != 0 ? firstTravelNear : firstTravelFar;
}

} // namespace hickoryshore
