#include "hickoryshore/entry/state_service.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/entry/entry_settings.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// How long to wait for the membership at the start, since it determines whether this VM calls the store at all. With
/// less time, every VM of a large fleet would list the store.
constexpr Duration membershipTimeout = 250ms;
/// Interval of checks for waiting peers, expired replicas and newer configurations of peers.
constexpr Duration checkInterval = 250ms;
/// After this time without a newer configuration that a peer has, that peer is asked for it.
constexpr Duration maxConfigurationLag = 400ms;
/// The same for registrations. Longer, since a watch is renewed at most every 300 ms and then returns the changes made
/// in between.
constexpr Duration maxReplicaLag = 1s;
/// Age above which a state is logged as stale: a watch at the store, then one at a VM that follows it, and their
/// answers.
constexpr Duration maxStateAge = 3500ms;
/// Age that peers are told of a state that the store has not confirmed.
constexpr Duration unconfirmedAge = 24h;
/// Interval of requests to other VMs for newer registrations. After a partition, a VM follows the store again only once
/// its watch has failed, and so do the VMs that follow it.
constexpr Duration freshnessCheckInterval = 2s;
/// Maximum number of changes of one batch that are logged individually.
constexpr std::size_t maxLoggedChanges = 8;
/// When to retry if no other VM can. Live replicas register again within two seconds of the store's return, and callers
/// with less time left retry earlier.
constexpr Duration retryAfterDefault = 1s;
/// Number of other VMs that are asked for departed replicas at the start. One may itself have just started and have
/// none recorded.
constexpr int maxDepartedCalls = 3;
constexpr int statusUnavailable = 503;
constexpr int statusGone = 410;
constexpr std::string_view slice = "state";

/// Returns the failure of a call without a usable result. An answer to another call counts as unavailable.
template<typename Result>
StoreFailure failureOf(const Result &result)
{
    const auto *failure = std::get_if<StoreFailure>(&result);
    return failure == nullptr ? StoreFailure::Unavailable : *failure;
}

/// Returns whether a replica's name can be sent in a header field: visible ASCII characters, at least one.
bool isSendableName(std::string_view name)
{
    constexpr char firstVisible = '!';
    constexpr char lastVisible = '~';
    return !name.empty() && std::ranges::all_of(name, [](char character) {
        return character >= firstVisible && character <= lastVisible;
    });
}

std::string ageText(std::optional<Duration> age)
{
    return age.has_value() ? std::to_string(ceilMilliseconds(*age)) : std::string();
}

} // namespace

StateService::StateService(EventLoop &loop,
                           const PlatformProtocol &protocol,
                           StoreAccess store,
                           int peerPort,
                           std::uint64_t seed,
                           StateHooks hooks)
    : loop(loop),
      protocol(protocol),
      store(loop, std::move(store), peerPort, seed),
      storeCalls(this->store.access()),
      hooks(std::move(hooks)),
      prefixes{Prefix{protocol.configurationKey, PrefixFollower(seed)},
               Prefix{protocol.replicaPrefix, PrefixFollower(seed + 1)}}
{ }

void StateService::start()
{
    this->loop.after(membershipTimeout, [this] {
        for (const PrefixKind kind : {Configuration, Replicas}) {
            this->prefixes[kind].follower.start(monotonicNow(), this->actions);
            this->perform(kind);
        }
    });
    this->loop.every(freshnessCheckInterval, [this] {
        this->checkFreshness();
    });
    this->loop.every(checkInterval, [this] {
        this->askPeerIfLate();
        this->askDeparted();
        this->expireReplicas();
        this->answerWaiting();
        this->logStaleness();
    });
}

void StateService::perform(PrefixKind kind)
{
    std::vector<FollowerAction> due = std::exchange(this->actions, {});
    for (FollowerAction &action : due) {
        this->perform(kind, action);
    }
    this->publishReplicas();
    this->armTimer(kind);
    this->answerWaiting();
}

void StateService::perform(PrefixKind kind, FollowerAction &action)
{
    if (const auto *listing = std::get_if<ListKeys>(&action)) {
        this->list(kind, *listing);
    } else if (const auto *watching = std::get_if<WatchKeys>(&action)) {
        this->watch(kind, *watching);
    } else if (const auto *whole = std::get_if<ApplyListing>(&action)) {
        this->applyListing(kind, *whole);
    } else if (const auto *change = std::get_if<ApplyChange>(&action)) {
        this->applyChange(kind, *change);
    } else if (const auto *reach = std::get_if<StoreReachable>(&action)) {
        writeLog({.level = reach->reachable ? LogLevel::Info : LogLevel::Warn,
                  .slice = slice,
                  .event = reach->reachable ? "storeReached" : "storeLost",
                  .fields = this->callFields(kind)});
    }
}

/// Returns what tells a call that hears nothing from a source that knows nothing new: the latest call's source, how
/// long ago it started, and the age of the state.
std::vector<LogField> StateService::callFields(PrefixKind kind) const
{
    const Prefix &prefix = this->prefixes[kind];
    const Instant now = monotonicNow();
    const StoreCall call = this->store.latestCall(prefix.name);
    return {{"prefix", prefix.name},
            {"asOf", storeRevisionText(prefix.follower.asOf())},
            {"source", call.source},
            {"callMs", std::to_string(ceilMilliseconds(now - call.startedAt))},
            {"stateAgeMs", ageText(prefix.follower.age(now))}};
}

/// Logs when a state becomes stale, and when it is confirmed again.
void StateService::logStaleness()
{
    for (const PrefixKind kind : {Configuration, Replicas}) {
        Prefix &prefix = this->prefixes[kind];
        const auto age = prefix.follower.age(monotonicNow());
        const bool stale = age.has_value() && *age > maxStateAge;
        if (stale != prefix.stale) {
            prefix.stale = stale;
            writeLog({.level = stale ? LogLevel::Warn : LogLevel::Info,
                      .slice = slice,
                      .event = stale ? "stateStale" : "stateConfirmed",
                      .fields = this->callFields(kind)});
        }
    }
}

void StateService::list(PrefixKind kind, const ListKeys &call)
{
    this->storeCalls.list(this->prefixes[kind].name, call.after, [this, kind](PageResult result) {
        PrefixFollower &follower = this->prefixes[kind].follower;
        this->prefixes[kind].source = this->store.latestCall(this->prefixes[kind].name).source;
        auto *page = std::get_if<StorePage>(&result);
        if (page != nullptr && this->hasOnlyOwnKeys(kind, page->items)) {
            follower.onPage(monotonicNow(), std::move(*page), this->actions);
        } else {
            follower.onFailure(monotonicNow(), failureOf(result), this->actions);
        }
        this->perform(kind);
    });
}

/// Returns whether an answer contains only keys of the requested prefix. Otherwise it may be a late copy of the answer
/// to another call.
template<typename Key>
bool StateService::hasOnlyOwnKeys(PrefixKind kind, const std::vector<Key> &keys) const
{
    const std::string &prefix = this->prefixes[kind].name;
    const auto foreign = std::ranges::find_if(keys, [&prefix](const Key &key) {
        return !key.key.starts_with(prefix);
    });
    if (foreign != keys.end()) {
        writeLog({.level = LogLevel::Error,
                  .slice = slice,
                  .event = "foreignKeys",
                  .fields = {{"prefix", prefix}, {"key", foreign->key}}});
    }
    return foreign == keys.end();
}

void StateService::watch(PrefixKind kind, const WatchKeys &call)
{
    this->storeCalls.watch(this->prefixes[kind].name, call.after, call.wait, [this, kind](ChangesResult result) {
        PrefixFollower &follower = this->prefixes[kind].follower;
        this->prefixes[kind].source = this->store.latestCall(this->prefixes[kind].name).source;
        auto *changes = std::get_if<StoreChanges>(&result);
        if (changes != nullptr && this->hasOnlyOwnKeys(kind, changes->changes)) {
            follower.onChanges(monotonicNow(), std::move(*changes), this->actions);
        } else {
            follower.onFailure(monotonicNow(), failureOf(result), this->actions);
        }
        this->perform(kind);
    });
}

void StateService::armTimer(PrefixKind kind)
{
    Prefix &prefix = this->prefixes[kind];
    const auto next = prefix.follower.nextTimer();
    if (!next.has_value() || *next == prefix.timerAt) {
        return;
    }
    prefix.timerAt = *next;
    this->loop.after(*next - monotonicNow(), [this, kind, at = *next] {
        if (this->prefixes[kind].timerAt == at) {
            this->prefixes[kind].timerAt = Instant::max();
            this->prefixes[kind].follower.onTimer(monotonicNow(), this->actions);
            this->perform(kind);
        }
    });
}

void StateService::applyListing(PrefixKind kind, const ApplyListing &listing)
{
    this->prefixes[kind].listed = true;
    if (listing.fromOlderCopy) {
        this->onNewEra(kind);
    }
    if (kind == Configuration) {
        this->applyConfiguration(listing.items);
        return;
    }
    std::vector<ListedReplica> replicas;
    for (const StoreItem &item : listing.items) {
        replicas.push_back(this->readReplica(item.key, item.value));
    }
    if (listing.fromOlderCopy) {
        this->registry.replaceFromOlderCopy(monotonicNow(), replicas);
    } else {
        this->registry.replaceAll(monotonicNow(), replicas, listing.recentStoreOutage);
    }
    writeLog({.slice = slice,
              .event = "replicasListed",
              .fields = {{"entries", std::to_string(listing.items.size())},
                         {"replicas", std::to_string(this->registry.replicas().size())},
                         {"asOf", storeRevisionText(this->prefixes[kind].follower.asOf())},
                         {"storeWasAway", listing.recentStoreOutage ? "true" : "false"}}});
    this->unpublishedChanges = 1;
}

void StateService::applyChange(PrefixKind kind, const ApplyChange &taken)
{
    const StoreChange &change = taken.change;
    if (kind == Configuration) {
        if (change.key == this->protocol.configurationKey && change.value.has_value()) {
            this->applyRouteTable(*change.value);
        }
        return;
    }
    const ListedReplica replica = this->readReplica(change.key, change.value.value_or(""));
    if (replica.record.has_value()) {
        this->registry.put(monotonicNow(), replica.name, *replica.record);
    } else {
        this->registry.remove(monotonicNow(), replica.name, taken.recentStoreOutage);
    }
    ++this->unpublishedChanges;
    if (this->unpublishedChanges > maxLoggedChanges) {
        return;
    }
    writeLog({.slice = slice,
              .event = replica.record.has_value() ? "replicaChanged" : "replicaVanished",
              .fields = {{"replica", replica.name},
                         {"service", replica.record.has_value() ? replica.record->service.value : ""},
                         {"draining", replica.record.has_value() && replica.record->draining ? "true" : "false"},
                         {"revision", std::to_string(change.revision)},
                         {"storeWasAway", taken.recentStoreOutage ? "true" : "false"}}});
}

/// Publishes the replicas once per batch of changes. The receiver processes all replicas each time, so publishing every
/// change would take quadratic time when an index is repartitioned.
void StateService::publishReplicas()
{
    if (this->unpublishedChanges == 0) {
        return;
    }
    if (this->unpublishedChanges > maxLoggedChanges) {
        writeLog({.slice = slice,
                  .event = "replicasChanged",
                  .fields = {{"changes", std::to_string(this->unpublishedChanges)},
                             {"replicas", std::to_string(this->registry.replicas().size())},
                             {"asOf", storeRevisionText(this->prefixes[Replicas].follower.asOf())}}});
    }
    this->unpublishedChanges = 0;
    this->hooks.onReplicas(this->registry);
}

ListedReplica StateService::readReplica(std::string_view key, std::string_view text) const
{
    ListedReplica replica{.name = std::string(key.substr(std::min(key.size(), this->protocol.replicaPrefix.size()))),
                          .record = std::nullopt};
    if (text.empty()) {
        return replica;
    }
    try {
        if (!isSendableName(replica.name)) {
            throw std::invalid_argument("the name cannot be sent in a header field");
        }
        replica.record = this->protocol.parseReplica(text);
    } catch (const std::invalid_argument &error) {
        writeLog({.level = LogLevel::Warn,
                  .slice = slice,
                  .event = "replicaUnreadable",
                  .detail = error.what(),
                  .fields = {{"key", std::string(key)}}});
    }
    return replica;
}

/// Handles a store that was restored from an older copy: logs it and lists the other prefix, whose watch may wait for a
/// revision number that the new era reaches much later.
void StateService::onNewEra(PrefixKind kind)
{
    const StoreRevision asOf = this->prefixes[kind].follower.asOf();
    writeLog({.level = LogLevel::Warn,
              .slice = slice,
              .event = "storeReturned",
              .fields = {{"prefix", this->prefixes[kind].name}, {"asOf", storeRevisionText(asOf)}}});
    const PrefixKind other = kind == Configuration ? Replicas : Configuration;
    if (this->prefixes[other].follower.asOf().era < asOf.era && !this->listingSeparately) {
        this->listingSeparately = true;
        this->listSeparately(other, {});
    }
}

/// Lists a prefix page by page, in parallel with the follower's own call.
void StateService::listSeparately(PrefixKind kind, StorePage before)
{
    const std::string after = before.items.empty() ? std::string() : before.items.back().key;
    this->storeCalls.list(
        this->prefixes[kind].name, after, [this, kind, whole = std::move(before)](PageResult result) mutable {
            auto *page = std::get_if<StorePage>(&result);
            const bool fits = page != nullptr && this->hasOnlyOwnKeys(kind, page->items)
                && (whole.items.empty() || whole.asOf.era == page->asOf.era);
            if (!fits) {
                // Not retried: the follower's own call ends eventually.
                this->listingSeparately = false;
                return;
            }
            whole.asOf = whole.items.empty() ? page->asOf : std::min(whole.asOf, page->asOf);
            whole.timeSinceStoreOutage
                = page->timeSinceStoreOutage.has_value() ? page->timeSinceStoreOutage : whole.timeSinceStoreOutage;
            const bool hasMore = page->hasMore && !page->items.empty();
            std::ranges::move(page->items, std::back_inserter(whole.items));
            if (hasMore) {
                this->listSeparately(kind, std::move(whole));
                return;
            }
            this->listingSeparately = false;
            this->prefixes[kind].follower.onPeerState(monotonicNow(), std::move(whole), this->actions);
            this->perform(kind);
        });
}

/// Asks other VMs for departed replicas. If the store was restored from an older copy, a VM that has just started has
/// no record of replicas that departed since.
void StateService::askDeparted()
{
    if (this->askingDeparted || this->departedCallCount == maxDepartedCalls || !this->isComplete()) {
        return;
    }
    this->askingDeparted = this->store.askDeparted([this](const DepartedResult &result) {
        this->askingDeparted = false;
        const auto *instances = std::get_if<std::vector<DepartedInstance>>(&result);
        if (instances == nullptr) {
            return;
        }
        this->registry.recordDeparted(monotonicNow(), *instances);
        this->unpublishedChanges += instances->size();
        this->publishReplicas();
    });
    this->departedCallCount += this->askingDeparted ? 1 : 0;
}

std::vector<DepartedInstance> StateService::departedReplicas() const
{
    return this->registry.departed();
}

void StateService::applyConfiguration(std::span<const StoreItem> items)
{
    const auto found = std::ranges::find(items, this->protocol.configurationKey, &StoreItem::key);
    if (found != items.end()) {
        this->applyRouteTable(found->value);
    }
}

void StateService::applyRouteTable(std::string_view text)
{
    std::shared_ptr<const RouteTable> table;
    try {
        table = std::make_shared<const RouteTable>(this->protocol.parseRouteTable(text));
    } catch (const std::invalid_argument &error) {
        writeLog(
            {.level = LogLevel::Error, .slice = slice, .event = "configurationUnreadable", .detail = error.what()});
        return;
    }
    const std::uint64_t before = this->routes == nullptr ? 0 : this->routes->version;
    const bool newer = table->version > before;
    const Prefix &configuration = this->prefixes[Configuration];
    writeLog({.slice = slice,
              .event = newer ? "configurationTaken" : "configurationIgnored",
              .fields = {{"version", std::to_string(table->version)},
                         {"before", std::to_string(before)},
                         {"asOf", storeRevisionText(configuration.follower.asOf())},
                         {"source", configuration.source},
                         {"stateAgeMs", ageText(configuration.follower.age(monotonicNow()))},
                         {"routes", std::to_string(table->routes.size())}}});
    if (table->version == before && text != this->routesText) {
        writeLog({.level = LogLevel::Error,
                  .slice = slice,
                  .event = "configurationConflict",
                  .detail = "this text differs from the configuration in force but has the same version",
                  .fields = {{"version", std::to_string(before)}}});
    }
    if (newer) {
        this->routes = std::move(table);
        this->routesText = text;
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

void StateService::markLeaving(EndpointId endpoint)
{
    this->registry.markLeaving(monotonicNow(), endpoint);
}

void StateService::setMembers(std::shared_ptr<const MembershipView> view)
{
    this->members = std::move(view);
    this->store.setMembers(this->members);
}

StoreRevision StateService::ownRevision(PrefixKind kind) const
{
    return kind == Configuration ? StoreRevision{.number = this->version()} : this->prefixes[kind].follower.asOf();
}

void StateService::recordPeerState(PrefixKind kind, const StoreRevision &revision, const VmId &from)
{
    NewestPeerState &newest = this->newestPeerStates[kind];
    if (newest.revision <= this->ownRevision(kind)) {
        newest.since = monotonicNow();
    }
    if (revision >= newest.revision) {
        newest.revision = revision;
        newest.from = from;
    }
}

void StateService::onPeerVersion(std::uint64_t version, const VmId &from)
{
    this->recordPeerState(Configuration, {.number = version}, from);
}

/// Asks another VM for newer registrations. A watch that the store has lost silently looks like a watch without
/// changes, and the VM that this one follows may be waiting on such a watch.
void StateService::checkFreshness()
{
    const StoreRevision after = this->ownRevision(Replicas);
    this->store.askChanges(
        this->prefixes[Replicas].name, after, [this](const Member &peer, const ChangesResult &result) {
            const auto *changes = std::get_if<StoreChanges>(&result);
            if (changes != nullptr && this->hasOnlyOwnKeys(Replicas, changes->changes)) {
                this->prefixes[Replicas].follower.onPeerChanges(monotonicNow(), *changes, this->actions);
                this->perform(Replicas);
            } else if (changes == nullptr && std::get<StoreFailure>(result) == StoreFailure::HistoryGone) {
                // The peer's history doesn't reach back to this VM's revision, or the store was restored from an older
                // copy.
                this->requestStateFrom(peer, Replicas);
            }
        });
}

void StateService::askPeerIfLate()
{
    this->askPeerIfLate(Configuration, maxConfigurationLag);
    this->askPeerIfLate(Replicas, maxReplicaLag);
}

/// Asks the peer that reported a newer state if the usual source hasn't delivered it within `maxLag`.
void StateService::askPeerIfLate(PrefixKind late, Duration maxLag)
{
    const Instant now = monotonicNow();
    NewestPeerState &newest = this->newestPeerStates[late];
    if (this->members == nullptr || newest.revision <= this->ownRevision(late) || now - newest.since < maxLag) {
        return;
    }
    newest.since = now;
    const Member *peer = findMember(*this->members, newest.from);
    if (peer == nullptr || !isUsable(*peer)) {
        return;
    }
    for (const PrefixKind kind : {Configuration, Replicas}) {
        if (kind == Replicas || late == Configuration) {
            this->requestStateFrom(*peer, kind);
        }
    }
}

void StateService::requestStateFrom(const Member &peer, PrefixKind kind)
{
    this->store.listAt(peer, this->prefixes[kind].name, [this, kind, name = peer.vm.value](PageResult result) {
        this->applyPeerState(kind, std::move(result), name);
    });
}

void StateService::applyPeerState(PrefixKind kind, PageResult result, const std::string &peer)
{
    auto *page = std::get_if<StorePage>(&result);
    writeLog({.level = page == nullptr ? LogLevel::Warn : LogLevel::Info,
              .slice = slice,
              .event = page == nullptr ? "peerGaveNoState" : "stateFromPeer",
              .fields = {{"peer", peer},
                         {"prefix", this->prefixes[kind].name},
                         {"asOf", page == nullptr ? "" : storeRevisionText(page->asOf)},
                         {"before", storeRevisionText(this->prefixes[kind].follower.asOf())}}});
    if (page != nullptr && this->hasOnlyOwnKeys(kind, page->items)) {
        this->prefixes[kind].source = peer;
        if (kind == Configuration && page->asOf <= this->prefixes[kind].follower.asOf()) {
            // The follower ignores this state, but the highest version is in force regardless of the store's revision.
            this->applyConfiguration(page->items);
        }
        this->prefixes[kind].follower.onPeerState(monotonicNow(), std::move(*page), this->actions);
        this->perform(kind);
        if (kind == Configuration && this->newestPeerStates[kind].from.value == peer) {
            // A version that the peer reported but doesn't have is not requested again.
            this->newestPeerStates[kind].revision = this->ownRevision(kind);
        }
    }
}

void StateService::answerPeer(const PeerStoreRequest &request, std::function<void(const HttpAnswer &)> answer)
{
    for (const PrefixKind kind : {Configuration, Replicas}) {
        const Prefix &prefix = this->prefixes[kind];
        if (prefix.name != request.prefix || !prefix.listed) {
            continue;
        }
        const Instant now = monotonicNow();
        if (!request.changesAfter.has_value()) {
            answer({.body = encodePage({.items = this->itemsForPeers(kind),
                                        .asOf = prefix.follower.asOf(),
                                        .age = this->ageForPeers(kind, prefix.follower.asOf()),
                                        .timeSinceStoreOutage = prefix.follower.timeSinceOutage(now)})});
            return;
        }
        const StoreRevision after{request.era.value_or(prefix.follower.asOf().era), *request.changesAfter};
        if (const auto changes = this->changesFor(kind, after, this->isStaleFor(kind, after))) {
            answer(*changes);
        } else {
            this->waiting.push_back({kind, after, now + request.wait, std::move(answer)});
        }
        return;
    }
    answer({.status = statusUnavailable});
}

/// Returns the items of a prefix. The configuration in force replaces an older one from the store.
std::vector<StoreItem> StateService::itemsForPeers(PrefixKind kind) const
{
    std::vector<StoreItem> items = this->prefixes[kind].follower.items();
    if (kind == Configuration && this->routes != nullptr) {
        const auto found = std::ranges::find(items, this->protocol.configurationKey, &StoreItem::key);
        StoreItem &item = found != items.end() ? *found : items.emplace_back();
        item.key = this->protocol.configurationKey;
        item.value = this->routesText;
    }
    return items;
}

/// Returns the answer to a peer that is up to date as of a revision, or std::nullopt if there are no changes and
/// `evenIfEmpty` is false.
std::optional<HttpAnswer> StateService::changesFor(PrefixKind kind, const StoreRevision &after, bool evenIfEmpty) const
{
    const PrefixFollower &follower = this->prefixes[kind].follower;
    auto changes = follower.changesAfter(after);
    if (!changes.has_value()) {
        return HttpAnswer{.status = statusGone};
    }
    if (changes->empty() && !evenIfEmpty) {
        return std::nullopt;
    }
    return HttpAnswer{.body = encodeChanges({.changes = std::move(*changes),
                                             .asOf = std::max(after, follower.asOf()),
                                             .age = this->ageForPeers(kind, after),
                                             .timeSinceStoreOutage = follower.timeSinceOutage(monotonicNow())})};
}

/// Returns the age that a peer at the given revision is told. What this VM knows of an earlier era confirms nothing
/// about the peer's state.
Duration StateService::ageForPeers(PrefixKind kind, const StoreRevision &after) const
{
    const PrefixFollower &follower = this->prefixes[kind].follower;
    return after.era > follower.asOf().era ? unconfirmedAge : follower.age(monotonicNow()).value_or(unconfirmedAge);
}

/// Returns whether a peer should look for another source rather than wait for changes here.
bool StateService::isStaleFor(PrefixKind kind, const StoreRevision &after) const
{
    return this->ageForPeers(kind, after) > maxSourceAge;
}

void StateService::answerWaiting()
{
    const Instant now = monotonicNow();
    std::vector<WaitingPeer> due = std::exchange(this->waiting, {});
    for (WaitingPeer &peer : due) {
        const bool isDue = peer.until <= now || this->isStaleFor(peer.kind, peer.after);
        if (const auto answer = this->changesFor(peer.kind, peer.after, isDue)) {
            peer.answer(*answer);
        } else {
            this->waiting.push_back(std::move(peer));
        }
    }
}

bool StateService::isComplete() const
{
    return this->routes != nullptr && this->prefixes[Replicas].listed;
}

Duration StateService::retryAfter() const
{
    const bool othersServe
        = this->members != nullptr && std::ranges::any_of(this->members->members, [this](const Member &member) {
              return member.vm != this->members->self && isUsable(member) && member.configRevision.value > 0;
          });
    return othersServe && !this->isComplete() ? retryAfterAtOtherVm : retryAfterDefault;
}

std::uint64_t StateService::version() const
{
    return this->routes == nullptr ? 0 : this->routes->version;
}

std::uint64_t StateService::era() const
{
    return this->prefixes[Replicas].follower.asOf().era;
}

std::optional<Duration> StateService::configurationAge() const
{
    return this->prefixes[Configuration].follower.age(monotonicNow());
}

std::optional<Duration> StateService::replicasAge() const
{
    return this->prefixes[Replicas].follower.age(monotonicNow());
}

bool StateService::isCutOff() const
{
    return this->prefixes[Configuration].follower.isCutOff() || this->prefixes[Replicas].follower.isCutOff();
}

} // namespace hickoryshore
