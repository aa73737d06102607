#include "hickoryshore/entry/store_sharing.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <utility>

#include "state.pb.h"

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Two, so that if one fails, the other VMs of its data centre can still read within the data centre.
constexpr std::size_t readersPerDataCentre = 2;
/// While calls fail, one of this many goes to the store itself.
constexpr int failuresPerStoreCall = 3;
/// While sources are stale, one call of as many goes to the store as this many VMs share. In an outage of the store all
/// sources are stale, and the store counts the calls of the whole fleet.
constexpr std::size_t vmsPerStaleStoreCall = 8;
/// Maximum wait of a watch at a peer, so that a stopped peer is detected.
constexpr Duration maxPeerWait = 1s;
/// Timeout of a call to a peer beyond its wait: enough for a round trip and a listing.
constexpr Duration peerTimeout = 600ms;
/// Each peer is used to follow two prefixes and may also be asked for a newer configuration.
constexpr int connectionsPerPeer = 6;
constexpr Duration peerIdleLimit = 5s;
/// Bytes of one answer of a peer, and of all that are being read. A listing of a large fleet has about 3 MB.
constexpr std::size_t maxAnswerBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t maxBytesTogether = 2 * maxAnswerBytes;

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr std::string_view listPath = "/v1/store/list?prefix=";
constexpr std::string_view watchPath = "/v1/store/watch?prefix=";
constexpr std::string_view afterKey = "&after=";
constexpr std::string_view waitKey = "&waitMs=";
constexpr std::string_view eraKey = "&era=";

std::uint64_t parseLeadingNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::optional<Duration> awayAgoOf(const wire::FollowedPrefix &wire)
{
    return wire.store_was_away() ? std::optional<Duration>(std::chrono::milliseconds(wire.away_ago_ms()))
                                 : std::nullopt;
}

void setAwayAgo(wire::FollowedPrefix &wire, std::optional<Duration> ago)
{
    wire.set_store_was_away(ago.has_value());
    wire.set_away_ago_ms(static_cast<std::uint32_t>(ceilMilliseconds(ago.value_or(Duration(0)))));
}

std::uint32_t encodeAge(Duration age)
{
    constexpr std::int64_t maxAgeMs = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ceilMilliseconds(age), 0, maxAgeMs));
}

std::optional<StorePage> decodePage(std::string_view body)
{
    wire::FollowedPrefix wire;
    if (!wire.ParseFromArray(body.data(), static_cast<int>(body.size())) || !wire.has_era()) {
        return std::nullopt;
    }
    StorePage page{.items = {},
                   .asOf = {wire.era(), wire.as_of()},
                   .age = std::chrono::milliseconds(wire.age_ms()),
                   .timeSinceStoreOutage = awayAgoOf(wire)};
    for (const wire::FollowedKey &key : wire.keys()) {
        page.items.push_back({key.key(), key.value(), key.revision()});
    }
    return page;
}

std::optional<StoreChanges> decodeChanges(std::string_view body)
{
    wire::FollowedPrefix wire;
    if (!wire.ParseFromArray(body.data(), static_cast<int>(body.size())) || !wire.has_era()) {
        return std::nullopt;
    }
    StoreChanges changes{.changes = {},
                         .asOf = {wire.era(), wire.as_of()},
                         .age = std::chrono::milliseconds(wire.age_ms()),
                         .timeSinceStoreOutage = awayAgoOf(wire)};
    for (const wire::FollowedKey &key : wire.keys()) {
        StoreChange change{.key = key.key(), .value = std::nullopt, .revision = key.revision()};
        if (!key.removed()) {
            change.value = key.value();
        }
        changes.changes.push_back(std::move(change));
    }
    return changes;
}

/// Makes one call to a peer, which may take up to `wait` before it answers.
template<typename Result, typename Decoded>
void callPeer(HttpConnections &peers,
              const std::string &server,
              std::string_view target,
              Duration wait,
              std::optional<Decoded> (*decode)(std::string_view),
              std::function<void(Result)> completion)
{
    HttpExchange exchange;
    exchange.request = formatHttpRequest("GET", target, server, {});
    exchange.timeout = wait + peerTimeout;
    exchange.onEnd = [decode, server, completion = std::move(completion)](const HttpExchangeEnd &end) {
        if (!end.failure.has_value() && end.response.status == statusOk) {
            if (std::optional<Decoded> decoded = decode(end.response.body)) {
                completion(std::move(*decoded));
                return;
            }
            writeLog({.level = LogLevel::Error,
                      .slice = "state",
                      .event = "peerAnswerUnreadable",
                      .fields = {{"peer", server}}});
        }
        const bool gone = !end.failure.has_value() && end.response.status == statusGone;
        completion(gone ? StoreFailure::HistoryGone : StoreFailure::PeerUnavailable);
    };
    peers.start(server, std::move(exchange));
}

template<typename Result, typename Decoded>
void callPeer(HttpConnections &peers,
              const std::string &server,
              const PeerStoreRequest &request,
              std::optional<Decoded> (*decode)(std::string_view),
              std::function<void(Result)> completion)
{
    callPeer(peers, server, peerTarget(request), request.wait, decode, std::move(completion));
}

} // namespace

std::vector<VmId> storeReaders(const MembershipView &view, const DataCentreId &dataCentre)
{
    std::vector<const Member *> eligible;
    for (const Member &member : view.members) {
        if (isUsable(member) && member.dataCentre == dataCentre) {
            eligible.push_back(&member);
        }
    }
    std::ranges::sort(eligible, [](const Member *left, const Member *right) {
        return std::pair(-left->capacity, left->vm) < std::pair(-right->capacity, right->vm);
    });
    std::vector<VmId> readers;
    for (const Member *member : eligible) {
        if (readers.size() < readersPerDataCentre) {
            readers.push_back(member->vm);
        }
    }
    return readers;
}

std::optional<Member> storeSource(const MembershipView &view, const SourceFailures &failures, std::uint64_t turn)
{
    const Member *self = findMember(view, view.self);
    if (self == nullptr || view.members.size() < 2) {
        return std::nullopt;
    }
    const std::vector<VmId> own = storeReaders(view, self->dataCentre);
    const bool isReader = std::ranges::find(own, view.self) != own.end();
    const int count = failures.failed + failures.stale;
    const int paced = static_cast<int>(view.members.size() / vmsPerStaleStoreCall);
    const int period = failures.stale > 0 ? std::max(failuresPerStoreCall, paced) : failuresPerStoreCall;
    // A reader calls the store, and alternates between store and peers after failures.
    if (isReader ? count % 2 == 0 : count % period == period - 1) {
        return std::nullopt;
    }
    const bool anyDataCentre = isReader || count > 0;
    std::vector<const Member *> sources;
    std::vector<const Member *> configured;
    std::map<DataCentreId, std::vector<VmId>> readersOf; // Cached per data centre, since fleets are large.
    for (const Member &member : view.members) {
        if (member.vm == view.self || !isUsable(member) || (!anyDataCentre && member.dataCentre != self->dataCentre)) {
            continue;
        }
        const auto [readers, isNew] = readersOf.try_emplace(member.dataCentre);
        if (isNew) {
            readers->second = storeReaders(view, member.dataCentre);
        }
        if (std::ranges::find(readers->second, member.vm) != readers->second.end()) {
            sources.push_back(&member);
            if (member.configRevision.value > 0) {
                configured.push_back(&member);
            }
        }
    }
    // While the whole fleet starts, no VM has reported a configuration yet.
    const std::vector<const Member *> &best = configured.empty() ? sources : configured;
    if (best.empty()) {
        return std::nullopt;
    }
    return *best[turn % best.size()];
}

StoreSharing::StoreSharing(EventLoop &loop, StoreAccess store, int peerPort, std::uint64_t seed)
    : loop(loop),
      store(std::move(store)),
      peerPort(peerPort),
      random(seed),
      peers(std::make_shared<HttpConnections>(loop,
                                              HttpConnectionSettings{.connectionsPerServer = connectionsPerPeer,
                                                                     .idleLimit = peerIdleLimit,
                                                                     .responses = {.bodyBytes = maxAnswerBytes},
                                                                     .bytesTogether = maxBytesTogether})),
      firstTurn(seed)
{ }

void StoreSharing::setMembers(std::shared_ptr<const MembershipView> view)
{
    this->members = std::move(view);
}

StoreSharing::PrefixSource &StoreSharing::sourceOf(std::string_view prefix)
{
    return this->sources.try_emplace(std::string(prefix), PrefixSource{.turn = this->firstTurn}).first->second;
}

/// Returns the VM for the next call, or std::nullopt for the store, and records the call.
std::optional<Member> StoreSharing::nextSource(std::string_view prefix, bool rotate)
{
    PrefixSource &source = this->sourceOf(prefix);
    std::optional<Member> peer;
    if (this->members != nullptr) {
        source.turn += rotate ? 1 : 0;
        peer = source.listAtStore ? std::nullopt : storeSource(*this->members, source.failures, source.turn);
    }
    source.latestCall
        = {.source = peer.has_value() ? peer->vm.value : std::string(storeSourceName), .startedAt = monotonicNow()};
    return peer;
}

StoreCall StoreSharing::latestCall(std::string_view prefix) const
{
    const auto found = this->sources.find(prefix);
    return found == this->sources.end() ? StoreCall{} : found->second.latestCall;
}

template<typename State>
void StoreSharing::recordOutcome(PrefixSource &source, const std::variant<State, StoreFailure> &result)
{
    SourceFailures &failures = source.failures;
    const auto *failure = std::get_if<StoreFailure>(&result);
    if (failure != nullptr && *failure != StoreFailure::HistoryGone) {
        ++failures.failed;
    } else if (failure == nullptr && std::get<State>(result).age > maxSourceAge) {
        ++failures.stale;
    } else {
        failures = {};
    }
}

StoreAccess StoreSharing::access()
{
    return {.list =
                [this](std::string_view prefix, std::string_view after, std::function<void(PageResult)> completion) {
                    this->list(prefix, after, std::move(completion));
                },
            .watch =
                [this](std::string_view prefix,
                       const StoreRevision &after,
                       Duration wait,
                       std::function<void(ChangesResult)> completion) {
                    this->watch(prefix, after, wait, std::move(completion));
                }};
}

void StoreSharing::listAt(const Member &peer, std::string_view prefix, std::function<void(PageResult)> completion)
{
    callPeer<PageResult>(
        *this->peers, this->serverOf(peer), {.prefix = std::string(prefix)}, decodePage, std::move(completion));
}

std::string StoreSharing::serverOf(const Member &peer) const
{
    return peer.address + ":" + std::to_string(this->peerPort);
}

/// Returns a random other VM that has reported a configuration, or nullptr if there is none.
const Member *StoreSharing::randomConfiguredPeer()
{
    if (this->members == nullptr) {
        return nullptr;
    }
    std::vector<const Member *> eligible;
    for (const Member &member : this->members->members) {
        if (member.vm != this->members->self && isUsable(member) && member.configRevision.value > 0) {
            eligible.push_back(&member);
        }
    }
    return eligible.empty() ? nullptr : eligible[this->random() % eligible.size()];
}

bool StoreSharing::askDeparted(std::function<void(DepartedResult)> completion)
{
    const Member *peer = this->randomConfiguredPeer();
    if (peer == nullptr) {
        return false;
    }
    callPeer(*this->peers, this->serverOf(*peer), departedPath, Duration(0), decodeDeparted, std::move(completion));
    return true;
}

void StoreSharing::askChanges(std::string_view prefix,
                              const StoreRevision &after,
                              std::function<void(const Member &, ChangesResult)> completion)
{
    const Member *peer = this->randomConfiguredPeer();
    if (peer == nullptr) {
        return;
    }
    callPeer<ChangesResult>(
        *this->peers,
        this->serverOf(*peer),
        {.prefix = std::string(prefix), .changesAfter = after.number, .era = after.era},
        decodeChanges,
        std::function<void(ChangesResult)>([asked = *peer, completion = std::move(completion)](ChangesResult result) {
            completion(asked, std::move(result));
        }));
}

void StoreSharing::list(std::string_view prefix, std::string_view after, std::function<void(PageResult)> completion)
{
    auto counted = [this, listed = std::string(prefix), completion = std::move(completion)](PageResult result) {
        PrefixSource &source = this->sourceOf(listed);
        source.listAtStore = false;
        this->recordOutcome(source, result);
        completion(std::move(result));
    };
    // Only the store returns listings in pages, so the next page comes from the store. A listing that follows a watch
    // refused by a peer for lack of history goes to the same peer, since another one may be behind.
    const std::optional<Member> peer = after.empty() ? this->nextSource(prefix, false) : std::nullopt;
    if (peer.has_value()) {
        this->listAt(*peer, prefix, std::move(counted));
    } else {
        this->store.list(prefix, after, std::move(counted));
    }
}

void StoreSharing::watch(std::string_view prefix,
                         const StoreRevision &after,
                         Duration wait,
                         std::function<void(ChangesResult)> completion)
{
    auto counted = [this, watched = std::string(prefix), completion = std::move(completion)](ChangesResult result) {
        PrefixSource &source = this->sourceOf(watched);
        const auto *failure = std::get_if<StoreFailure>(&result);
        source.listAtStore = failure != nullptr && *failure == StoreFailure::Unreadable;
        if (!source.listAtStore) {
            this->recordOutcome(source, result);
        }
        const auto *changes = std::get_if<StoreChanges>(&result);
        if (changes != nullptr && changes->changes.empty() && changes->age > maxSourceAge) {
            result = StoreFailure::PeerStale;
        }
        completion(std::move(result));
    };
    const std::optional<Member> peer = this->nextSource(prefix, true);
    if (!peer.has_value()) {
        this->store.watch(prefix, after, wait, std::move(counted));
        return;
    }
    callPeer<ChangesResult>(*this->peers,
                            this->serverOf(*peer),
                            {.prefix = std::string(prefix),
                             .changesAfter = after.number,
                             .era = after.era,
                             .wait = std::min(wait, maxPeerWait)},
                            decodeChanges,
                            std::function<void(ChangesResult)>(std::move(counted)));
}

std::string peerTarget(const PeerStoreRequest &request)
{
    if (!request.changesAfter.has_value()) {
        return std::string(listPath).append(request.prefix);
    }
    std::string target = std::string(watchPath)
                             .append(request.prefix)
                             .append(afterKey)
                             .append(std::to_string(*request.changesAfter))
                             .append(waitKey)
                             .append(std::to_string(ceilMilliseconds(request.wait)));
    // The era is the last parameter, since VMs without eras parse only the ones before it.
    if (request.era.has_value()) {
        target.append(eraKey).append(std::to_string(*request.era));
    }
    return target;
}

std::optional<PeerStoreRequest> parsePeerTarget(std::string_view target)
{
    if (target.starts_with(listPath)) {
        return PeerStoreRequest{.prefix = std::string(target.substr(listPath.size()))};
    }
    const std::size_t after = target.find(afterKey);
    const std::size_t wait = target.find(waitKey);
    if (!target.starts_with(watchPath) || after == std::string_view::npos || wait == std::string_view::npos) {
        return std::nullopt;
    }
    const std::uint64_t waitMs = std::min<std::uint64_t>(parseLeadingNumber(target.substr(wait + waitKey.size())),
                                                         static_cast<std::uint64_t>(maxPeerWait / 1ms));
    const std::size_t era = target.find(eraKey);
    std::optional<std::uint64_t> eraNumber;
    if (era != std::string_view::npos) {
        eraNumber = parseLeadingNumber(target.substr(era + eraKey.size()));
    }
    return PeerStoreRequest{.prefix = std::string(target.substr(watchPath.size(), after - watchPath.size())),
                            .changesAfter = parseLeadingNumber(target.substr(after + afterKey.size())),
                            .era = eraNumber,
                            .wait = std::chrono::milliseconds(waitMs)};
}

std::string encodePage(const StorePage &page)
{
    wire::FollowedPrefix wire;
    wire.set_as_of(page.asOf.number);
    wire.set_era(page.asOf.era);
    wire.set_age_ms(encodeAge(page.age));
    setAwayAgo(wire, page.timeSinceStoreOutage);
    for (const StoreItem &item : page.items) {
        wire::FollowedKey &key = *wire.add_keys();
        key.set_key(item.key);
        key.set_value(item.value);
        key.set_revision(item.revision);
    }
    return wire.SerializeAsString();
}

std::string encodeChanges(const StoreChanges &changes)
{
    wire::FollowedPrefix wire;
    wire.set_as_of(changes.asOf.number);
    wire.set_era(changes.asOf.era);
    wire.set_age_ms(encodeAge(changes.age));
    setAwayAgo(wire, changes.timeSinceStoreOutage);
    for (const StoreChange &change : changes.changes) {
        wire::FollowedKey &key = *wire.add_keys();
        key.set_key(change.key);
        key.set_value(change.value.value_or(std::string()));
        key.set_revision(change.revision);
        key.set_removed(!change.value.has_value());
    }
    return wire.SerializeAsString();
}

std::string encodeDeparted(std::span<const DepartedInstance> instances)
{
    wire::DepartedReplicas wire;
    for (const DepartedInstance &start : instances) {
        wire::DepartedReplica &replica = *wire.add_replicas();
        replica.set_name(start.name);
        replica.set_address(start.address);
        replica.set_started_ms(start.started.milliseconds);
        replica.set_removed(start.removed);
    }
    return wire.SerializeAsString();
}

std::optional<std::vector<DepartedInstance>> decodeDeparted(std::string_view body)
{
    wire::DepartedReplicas wire;
    if (!wire.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return std::nullopt;
    }
    std::vector<DepartedInstance> instances;
    for (const wire::DepartedReplica &replica : wire.replicas()) {
        instances.push_back({.name = replica.name(),
                             .address = replica.address(),
                             .started = {replica.started_ms()},
                             .removed = replica.removed()});
    }
    return instances;
}

} // namespace hickoryshore
