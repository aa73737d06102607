#include "hickoryshore/entry/state_service.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "state.pb.h"

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// A watch that waits is one call to the store, however long it waits; the store allows 30 s.
constexpr Duration watchWait = 20s;
/// How often it is checked whether a peer has to be asked, and after which time without the store it is.
constexpr Duration peerCheck = 250ms;
constexpr Duration patienceWithStore = 400ms;
constexpr Duration peerTimeout = 1s;
constexpr std::string_view statePath = "/v1/state?have=";
constexpr std::string_view slice = "state";

std::uint64_t numberAt(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

StateService::StateService(EventLoop &loop,
                           const EntryDialect &dialect,
                           StoreAccess store,
                           int peerPort,
                           std::uint64_t seed,
                           StateHooks hooks)
    : loop(loop),
      dialect(dialect),
      store(std::move(store)),
      peerPort(peerPort),
      hooks(std::move(hooks)),
      random(static_cast<std::minstd_rand::result_type>(seed % (std::minstd_rand::modulus - 1) + 1)),
      prefixes{Prefix{dialect.configurationKey, PrefixFollower(seed)}, Prefix{dialect.replicaPrefix, PrefixFollower(seed + 1)}},
      peers(std::make_shared<HttpConnections>(loop, HttpConnectionSettings{.connectionsPerServer = 1, .idleLimit = 5s}))
{ }

void StateService::start()
{
    this->startedAt = monotonicNow();
    for (const Followed which : {Configuration, Replicas}) {
        this->prefixes[which].follower.start(this->startedAt, this->actions);
        this->perform(which);
    }
    this->loop.every(peerCheck, [this] {
        this->askPeerIfNeeded();
        this->expireReplicas();
    });
}

void StateService::perform(Followed which)
{
    std::vector<FollowerAction> due = std::exchange(this->actions, {});
    for (FollowerAction &action : due) {
        this->perform(which, action);
    }
    this->armTimer(which);
}

void StateService::perform(Followed which, FollowerAction &action)
{
    if (const auto *listing = std::get_if<ListKeys>(&action)) {
        this->list(which, *listing);
    } else if (const auto *watching = std::get_if<WatchKeys>(&action)) {
        this->watch(which, *watching);
    } else if (const auto *whole = std::get_if<TakeListing>(&action)) {
        this->takeListing(which, *whole);
    } else if (const auto *change = std::get_if<TakeChange>(&action)) {
        this->takeChange(which, *change);
    } else if (const auto *reach = std::get_if<StoreReachable>(&action)) {
        writeLog({.level = reach->reachable ? LogLevel::Info : LogLevel::Warn,
                  .slice = slice,
                  .event = reach->reachable ? "storeReached" : "storeLost",
                  .fields = {{"prefix", this->prefixes[which].name},
                             {"asOf", std::to_string(this->prefixes[which].follower.asOf())}}});
    }
}

void StateService::list(Followed which, const ListKeys &call)
{
    this->store.list(this->prefixes[which].name, call.after, [this, which](PageResult result) {
        PrefixFollower &follower = this->prefixes[which].follower;
        if (auto *page = std::get_if<StorePage>(&result)) {
            follower.onPage(monotonicNow(), std::move(*page), this->actions);
        } else {
            follower.onFailure(monotonicNow(), std::get<StoreFailure>(result), this->actions);
        }
        this->perform(which);
    });
}

void StateService::watch(Followed which, const WatchKeys &call)
{
    this->store.watch(this->prefixes[which].name, call.after, watchWait, [this, which](ChangesResult result) {
        PrefixFollower &follower = this->prefixes[which].follower;
        if (auto *changes = std::get_if<StoreChanges>(&result)) {
            follower.onChanges(monotonicNow(), std::move(*changes), this->actions);
        } else {
            follower.onFailure(monotonicNow(), std::get<StoreFailure>(result), this->actions);
        }
        this->perform(which);
    });
}

void StateService::armTimer(Followed which)
{
    Prefix &prefix = this->prefixes[which];
    const auto next = prefix.follower.nextTimer();
    if (!next.has_value() || *next == prefix.timerAt) {
        return;
    }
    prefix.timerAt = *next;
    this->loop.after(*next - monotonicNow(), [this, which, at = *next] {
        if (this->prefixes[which].timerAt == at) {
            this->prefixes[which].timerAt = Instant::max();
            this->prefixes[which].follower.onTimer(monotonicNow(), this->actions);
            this->perform(which);
        }
    });
}

void StateService::takeListing(Followed which, const TakeListing &listing)
{
    this->prefixes[which].listed = true;
    if (which == Configuration) {
        for (const StoreItem &item : listing.items) {
            if (item.key == this->dialect.configurationKey) {
                this->takeRouteTable(item.value, item.revision);
            }
        }
        return;
    }
    std::vector<ListedReplica> replicas;
    for (const StoreItem &item : listing.items) {
        replicas.push_back(this->readReplica(item.key, item.value));
    }
    this->registry.replaceAll(monotonicNow(), replicas, listing.storeWasAway);
    writeLog({.slice = slice,
              .event = "replicasListed",
              .fields = {{"entries", std::to_string(listing.items.size())},
                         {"replicas", std::to_string(this->registry.replicas().size())},
                         {"asOf", std::to_string(this->prefixes[which].follower.asOf())},
                         {"storeWasAway", listing.storeWasAway ? "true" : "false"}}});
    this->hooks.onReplicas(this->registry);
}

void StateService::takeChange(Followed which, const TakeChange &taken)
{
    const StoreChange &change = taken.change;
    if (which == Configuration) {
        if (change.key == this->dialect.configurationKey && change.value.has_value()) {
            this->takeRouteTable(*change.value, change.revision);
        }
        return;
    }
    const ListedReplica replica = this->readReplica(change.key, change.value.value_or(""));
    if (replica.record.has_value()) {
        this->registry.put(monotonicNow(), replica.name, *replica.record);
    } else {
        this->registry.remove(monotonicNow(), replica.name, taken.storeWasAway);
    }
    writeLog({.slice = slice,
              .event = replica.record.has_value() ? "replicaChanged" : "replicaVanished",
              .fields = {{"replica", replica.name},
                         {"service", replica.record.has_value() ? replica.record->service.value : ""},
                         {"draining", replica.record.has_value() && replica.record->draining ? "true" : "false"},
                         {"revision", std::to_string(change.revision)},
                         {"storeWasAway", taken.storeWasAway ? "true" : "false"}}});
    this->hooks.onReplicas(this->registry);
}

ListedReplica StateService::readReplica(std::string_view key, std::string_view text) const
{
    ListedReplica replica{.name = std::string(key.substr(std::min(key.size(), this->dialect.replicaPrefix.size()))),
                          .record = std::nullopt};
    if (text.empty()) {
        return replica;
    }
    try {
        replica.record = this->dialect.parseReplica(text);
    } catch (const std::invalid_argument &error) {
        writeLog({.level = LogLevel::Warn,
                  .slice = slice,
                  .event = "replicaUnreadable",
                  .detail = error.what(),
                  .fields = {{"key", std::string(key)}}});
    }
    return replica;
}

void StateService::takeRouteTable(std::string_view text, std::uint64_t revision)
{
    std::shared_ptr<const RouteTable> table;
    try {
        table = std::make_shared<const RouteTable>(this->dialect.parseRouteTable(text));
    } catch (const std::invalid_argument &error) {
        writeLog({.level = LogLevel::Error, .slice = slice, .event = "configurationUnreadable", .detail = error.what()});
        return;
    }
    const std::uint64_t before = this->routes == nullptr ? 0 : this->routes->version;
    const bool newer = table->version > before;
    writeLog({.slice = slice,
              .event = newer ? "configurationTaken" : "configurationIgnored",
              .fields = {{"version", std::to_string(table->version)},
                         {"before", std::to_string(before)},
                         {"revision", std::to_string(revision)},
                         {"routes", std::to_string(table->routes.size())}}});
    if (newer) {
        this->routes = std::move(table);
        this->routesRevision = {revision};
        this->hooks.onRouteTable(this->routes);
    }
}

void StateService::expireReplicas()
{
    if (this->registry.expire(monotonicNow())) {
        writeLog({.slice = slice,
                  .event = "lapsedReplicasDropped",
                  .fields = {{"replicas", std::to_string(this->registry.replicas().size())}}});
        this->hooks.onReplicas(this->registry);
    }
}

void StateService::setMembers(std::shared_ptr<const MembershipView> view)
{
    this->members = std::move(view);
}

void StateService::onRevisionHeard(Revision revision, const VmId &from)
{
    if (this->heardRevision <= this->routesRevision) {
        this->heardAt = monotonicNow();
    }
    if (revision >= this->heardRevision) {
        this->heardRevision = revision;
        this->heardFrom = from;
    }
}

void StateService::askPeerIfNeeded()
{
    const Instant now = monotonicNow();
    const bool late = this->heardRevision > this->routesRevision && now - this->heardAt > patienceWithStore;
    const bool alone = this->isCutOff() && now - this->startedAt > patienceWithStore;
    if (this->asking || this->members == nullptr || (!late && !alone)) {
        return;
    }
    const Member *named = late ? findMember(*this->members, this->heardFrom) : nullptr;
    if (named != nullptr && isUsable(*named)) {
        this->askPeer(*named);
        return;
    }
    std::vector<const Member *> able;
    for (const Member &member : this->members->members) {
        if (member.vm != this->members->self && isUsable(member) && member.configRevision.value > 0) {
            able.push_back(&member);
        }
    }
    if (!able.empty()) {
        std::uniform_int_distribution<std::size_t> any(0, able.size() - 1);
        this->askPeer(*able[any(this->random)]);
    }
}

void StateService::askPeer(const Member &peer)
{
    this->asking = true;
    const std::string server = peer.address + ":" + std::to_string(this->peerPort);
    const std::string have = std::to_string(this->prefixes[Configuration].follower.asOf()) + ","
        + std::to_string(this->prefixes[Replicas].follower.asOf());
    HttpExchange exchange;
    exchange.request = formatHttpRequest("GET", std::string(statePath) + have, server, {});
    exchange.timeout = peerTimeout;
    exchange.onEnd = [this, name = peer.vm.value](const HttpExchangeEnd &end) {
        this->asking = false;
        if (end.failure.has_value() || end.response.status != 200) {
            writeLog({.level = LogLevel::Warn, .slice = slice, .event = "peerGaveNoState", .fields = {{"peer", name}}});
        } else if (!end.response.body.empty()) {
            this->takePeerState(end.response.body, name);
        }
    };
    this->peers->start(server, std::move(exchange));
}

std::string StateService::encodeState(std::string_view haveRevisions) const
{
    const std::size_t comma = std::min(haveRevisions.find(','), haveRevisions.size() - 1);
    const std::array<std::uint64_t, FollowedCount> have
        = {numberAt(haveRevisions.substr(0, comma)), numberAt(haveRevisions.substr(comma + 1))};
    wire::FollowedState state;
    for (const Followed which : {Configuration, Replicas}) {
        const PrefixFollower &follower = this->prefixes[which].follower;
        if (follower.asOf() <= have[which]) {
            continue;
        }
        wire::FollowedPrefix &prefix = *state.add_prefixes();
        prefix.set_prefix(this->prefixes[which].name);
        prefix.set_as_of(follower.asOf());
        for (const StoreItem &item : follower.items()) {
            wire::FollowedKey &key = *prefix.add_keys();
            key.set_key(item.key);
            key.set_value(item.value);
            key.set_revision(item.revision);
        }
    }
    return state.SerializeAsString();
}

void StateService::takePeerState(std::string_view body, const std::string &peer)
{
    wire::FollowedState state;
    if (!state.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        writeLog({.level = LogLevel::Error, .slice = slice, .event = "peerStateUnreadable", .fields = {{"peer", peer}}});
        return;
    }
    for (const wire::FollowedPrefix &prefix : state.prefixes()) {
        for (const Followed which : {Configuration, Replicas}) {
            if (this->prefixes[which].name != prefix.prefix()) {
                continue;
            }
            StorePage page{.items = {}, .asOf = prefix.as_of()};
            for (const wire::FollowedKey &key : prefix.keys()) {
                page.items.push_back({key.key(), key.value(), key.revision()});
            }
            writeLog({.slice = slice,
                      .event = "stateFromPeer",
                      .fields = {{"peer", peer},
                                 {"prefix", prefix.prefix()},
                                 {"asOf", std::to_string(page.asOf)},
                                 {"before", std::to_string(this->prefixes[which].follower.asOf())}}});
            this->prefixes[which].follower.onPeerState(monotonicNow(), std::move(page), this->actions);
            this->perform(which);
        }
    }
}

bool StateService::isComplete() const
{
    return this->routes != nullptr && this->prefixes[Replicas].listed;
}

Revision StateService::revision() const
{
    return this->routesRevision;
}

bool StateService::isCutOff() const
{
    return this->prefixes[Configuration].follower.isCutOff() || this->prefixes[Replicas].follower.isCutOff();
}

} // namespace hickoryshore
