#include "hickoryshore/entry/state_service.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// A watch that waits is one call to the store, however long it waits; the store allows 30 s.
constexpr Duration watchWait = 20s;
/// The membership is waited for this long at the start: it tells whether the store is to be called at all. A large
/// fleet needs that time: with less, each of its VMs lists the store.
constexpr Duration patienceWithMembership = 250ms;
/// How often waiting peers, lapsed replicas and news of a newer configuration are looked at.
constexpr Duration periodicCheck = 250ms;
/// After this time without a configuration that peers have, one of them is asked for it.
constexpr Duration patienceWithSource = 400ms;
/// The same for registrations: a watch is renewed each 300 ms at the most often, and brings what came meanwhile.
constexpr Duration patienceWithWatch = 1s;
/// How often another VM is asked whether it knows of newer registrations. A VM that was cut off follows the store again
/// only when its watch has failed, and so do those that follow it.
constexpr Duration freshnessCheck = 2s;
/// Of the changes that come at once, so many are logged one by one.
constexpr std::size_t loggedChanges = 8;
/// When a caller may come back that was sent here while other VMs serve: it connects to one of those.
constexpr Duration comeBackToOthers = 100ms;
/// The same where none does: entries of live replicas are back within two seconds of the store's return, and a caller
/// whose time is shorter comes back earlier.
constexpr Duration comeBackLater = 1s;
/// So many other VMs are asked at the start which replicas have departed: one may have started just now, too.
constexpr int departedSources = 3;
constexpr int statusUnavailable = 503;
constexpr int statusGone = 410;
constexpr std::string_view slice = "state";

/// Why a call brought nothing of use: an answer to another call counts as none.
template<typename Result>
StoreFailure failureOf(const Result &result)
{
    const auto *failure = std::get_if<StoreFailure>(&result);
    return failure == nullptr ? StoreFailure::Unavailable : *failure;
}

} // namespace

StateService::StateService(
    EventLoop &loop, const EntryDialect &dialect, StoreAccess store, int peerPort, std::uint64_t seed, StateHooks hooks)
    : loop(loop),
      dialect(dialect),
      store(loop, std::move(store), peerPort, seed),
      calls(this->store.access()),
      hooks(std::move(hooks)),
      prefixes{Prefix{dialect.configurationKey, PrefixFollower(seed)},
               Prefix{dialect.replicaPrefix, PrefixFollower(seed + 1)}}
{ }

void StateService::start()
{
    this->loop.after(patienceWithMembership, [this] {
        for (const Followed which : {Configuration, Replicas}) {
            this->prefixes[which].follower.start(monotonicNow(), this->actions);
            this->perform(which);
        }
    });
    this->loop.every(freshnessCheck, [this] {
        this->checkFreshness();
    });
    this->loop.every(periodicCheck, [this] {
        this->askPeerIfLate();
        this->askDeparted();
        this->expireReplicas();
        this->answerWaiting();
    });
}

void StateService::perform(Followed which)
{
    std::vector<FollowerAction> due = std::exchange(this->actions, {});
    for (FollowerAction &action : due) {
        this->perform(which, action);
    }
    this->tellReplicas();
    this->armTimer(which);
    this->answerWaiting();
}

void StateService::perform(Followed which, FollowerAction &action)
{
    if (const auto *listing = std::get_if<ListKeys>(&action)) {
        this->list(which, *listing);
    } else if (const auto *watching = std::get_if<WatchKeys>(&action)) {
        this->watch(which, *watching);
    } else if (const auto *whole = std::get_if<ApplyListing>(&action)) {
        this->takeListing(which, *whole);
    } else if (const auto *change = std::get_if<ApplyChange>(&action)) {
        this->takeChange(which, *change);
    } else if (const auto *reach = std::get_if<StoreReachable>(&action)) {
        writeLog({.level = reach->reachable ? LogLevel::Info : LogLevel::Warn,
                  .slice = slice,
                  .event = reach->reachable ? "storeReached" : "storeLost",
                  .fields = {{"prefix", this->prefixes[which].name},
                             {"asOf", storeRevisionText(this->prefixes[which].follower.asOf())}}});
    }
}

void StateService::list(Followed which, const ListKeys &call)
{
    this->calls.list(this->prefixes[which].name, call.after, [this, which](PageResult result) {
        PrefixFollower &follower = this->prefixes[which].follower;
        auto *page = std::get_if<StorePage>(&result);
        if (page != nullptr && this->concerns(which, page->items)) {
            follower.onPage(monotonicNow(), std::move(*page), this->actions);
        } else {
            follower.onFailure(monotonicNow(), failureOf(result), this->actions);
        }
        this->perform(which);
    });
}

/// Whether an answer has only keys of the prefix that was asked for: it may be the late copy of one to another call.
template<typename Key>
bool StateService::concerns(Followed which, const std::vector<Key> &keys) const
{
    const std::string &prefix = this->prefixes[which].name;
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

void StateService::watch(Followed which, const WatchKeys &call)
{
    this->calls.watch(this->prefixes[which].name, call.after, watchWait, [this, which](ChangesResult result) {
        PrefixFollower &follower = this->prefixes[which].follower;
        auto *changes = std::get_if<StoreChanges>(&result);
        if (changes != nullptr && this->concerns(which, changes->changes)) {
            follower.onChanges(monotonicNow(), std::move(*changes), this->actions);
        } else {
            follower.onFailure(monotonicNow(), failureOf(result), this->actions);
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

void StateService::takeListing(Followed which, const ApplyListing &listing)
{
    this->prefixes[which].listed = true;
    if (listing.fromOlderCopy) {
        this->followEra(which);
    }
    if (which == Configuration) {
        this->takeConfiguration(listing.items);
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
                         {"asOf", storeRevisionText(this->prefixes[which].follower.asOf())},
                         {"storeWasAway", listing.recentStoreOutage ? "true" : "false"}}});
    this->replicaChanges = 1;
}

void StateService::takeChange(Followed which, const ApplyChange &taken)
{
    const StoreChange &change = taken.change;
    if (which == Configuration) {
        if (change.key == this->dialect.configurationKey && change.value.has_value()) {
            this->takeRouteTable(*change.value);
        }
        return;
    }
    const ListedReplica replica = this->readReplica(change.key, change.value.value_or(""));
    if (replica.record.has_value()) {
        this->registry.put(monotonicNow(), replica.name, *replica.record);
    } else {
        this->registry.remove(monotonicNow(), replica.name, taken.recentStoreOutage);
    }
    ++this->replicaChanges;
    if (this->replicaChanges > loggedChanges) {
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

/// Hands the replicas on after a batch of changes: what follows costs time for each replica there is, so that doing it
/// for each change would take the square of their number when an index is partitioned anew.
void StateService::tellReplicas()
{
    if (this->replicaChanges == 0) {
        return;
    }
    if (this->replicaChanges > loggedChanges) {
        writeLog({.slice = slice,
                  .event = "replicasChanged",
                  .fields = {{"changes", std::to_string(this->replicaChanges)},
                             {"replicas", std::to_string(this->registry.replicas().size())},
                             {"asOf", storeRevisionText(this->prefixes[Replicas].follower.asOf())}}});
    }
    this->replicaChanges = 0;
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

/// The store has come back from an older copy: logs it, and looks for the other prefix, whose watch may wait for a
/// number that the new era reaches late.
void StateService::followEra(Followed which)
{
    const StoreRevision asOf = this->prefixes[which].follower.asOf();
    writeLog({.level = LogLevel::Warn,
              .slice = slice,
              .event = "storeReturned",
              .fields = {{"prefix", this->prefixes[which].name}, {"asOf", storeRevisionText(asOf)}}});
    const Followed other = which == Configuration ? Replicas : Configuration;
    if (this->prefixes[other].follower.asOf().era < asOf.era && !this->listingAside) {
        this->listingAside = true;
        this->listAside(other, {});
    }
}

/// Lists a prefix beside its follower's own call, page by page.
void StateService::listAside(Followed which, StorePage before)
{
    const std::string after = before.items.empty() ? std::string() : before.items.back().key;
    this->calls.list(
        this->prefixes[which].name, after, [this, which, whole = std::move(before)](PageResult result) mutable {
            auto *page = std::get_if<StorePage>(&result);
            const bool fits = page != nullptr && this->concerns(which, page->items)
                && (whole.items.empty() || whole.asOf.era == page->asOf.era);
            if (!fits) {
                // The follower's own call ends sooner or later.
                this->listingAside = false;
                return;
            }
            whole.asOf = whole.items.empty() ? page->asOf : std::min(whole.asOf, page->asOf);
            whole.timeSinceStoreOutage
                = page->timeSinceStoreOutage.has_value() ? page->timeSinceStoreOutage : whole.timeSinceStoreOutage;
            const bool hasMore = page->hasMore && !page->items.empty();
            std::ranges::move(page->items, std::back_inserter(whole.items));
            if (hasMore) {
                this->listAside(which, std::move(whole));
                return;
            }
            this->listingAside = false;
            this->prefixes[which].follower.onPeerState(monotonicNow(), std::move(whole), this->actions);
            this->perform(which);
        });
}

/// Where the store has come back from an older copy, a VM that has just started can't know what departed since.
void StateService::askDeparted()
{
    if (this->askingDeparted || this->departedCalls == departedSources || !this->isComplete()) {
        return;
    }
    this->askingDeparted = this->store.askDeparted([this](const DepartedResult &result) {
        this->askingDeparted = false;
        const auto *starts = std::get_if<std::vector<DepartedInstance>>(&result);
        if (starts == nullptr) {
            return;
        }
        this->registry.recordDeparted(monotonicNow(), *starts);
        this->replicaChanges += starts->size();
        this->tellReplicas();
    });
    this->departedCalls += this->askingDeparted ? 1 : 0;
}

std::vector<DepartedInstance> StateService::departedReplicas() const
{
    return this->registry.departed();
}

void StateService::takeConfiguration(std::span<const StoreItem> items)
{
    const auto found = std::ranges::find(items, this->dialect.configurationKey, &StoreItem::key);
    if (found != items.end()) {
        this->takeRouteTable(found->value);
    }
}

void StateService::takeRouteTable(std::string_view text)
{
    std::shared_ptr<const RouteTable> table;
    try {
        table = std::make_shared<const RouteTable>(this->dialect.parseRouteTable(text));
    } catch (const std::invalid_argument &error) {
        writeLog(
            {.level = LogLevel::Error, .slice = slice, .event = "configurationUnreadable", .detail = error.what()});
        return;
    }
    const std::uint64_t before = this->routes == nullptr ? 0 : this->routes->version;
    const bool newer = table->version > before;
    writeLog({.slice = slice,
              .event = newer ? "configurationTaken" : "configurationIgnored",
              .fields = {{"version", std::to_string(table->version)},
                         {"before", std::to_string(before)},
                         {"asOf", storeRevisionText(this->prefixes[Configuration].follower.asOf())},
                         {"routes", std::to_string(table->routes.size())}}});
    if (table->version == before && text != this->routesText) {
        writeLog({.level = LogLevel::Error,
                  .slice = slice,
                  .event = "configurationConflict",
                  .detail = "another text bears the version in force",
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

StoreRevision StateService::known(Followed which) const
{
    return which == Configuration ? StoreRevision{.number = this->version()} : this->prefixes[which].follower.asOf();
}

void StateService::hear(Followed which, const StoreRevision &revision, const VmId &from)
{
    Heard &newest = this->heard[which];
    if (newest.revision <= this->known(which)) {
        newest.since = monotonicNow();
    }
    if (revision >= newest.revision) {
        newest.revision = revision;
        newest.from = from;
    }
}

void StateService::onVersionHeard(std::uint64_t version, const VmId &from)
{
    this->hear(Configuration, {.number = version}, from);
}

/// A watch that the store has lost without a sign waits as long as one without changes, and the VM that is followed may
/// be in that state: another one tells.
void StateService::checkFreshness()
{
    const StoreRevision after = this->known(Replicas);
    this->store.askChanges(
        this->prefixes[Replicas].name, after, [this](const Member &peer, const ChangesResult &result) {
            const auto *changes = std::get_if<StoreChanges>(&result);
            if (changes != nullptr && this->concerns(Replicas, changes->changes)) {
                this->prefixes[Replicas].follower.onPeerChanges(monotonicNow(), *changes, this->actions);
                this->perform(Replicas);
            } else if (changes == nullptr && std::get<StoreFailure>(result) == StoreFailure::HistoryGone) {
                // It is ahead by more than it remembers, or the store has come back from an older copy.
                this->takeFrom(peer, Replicas);
            }
        });
}

void StateService::askPeerIfLate()
{
    this->askPeerIfLate(Configuration, patienceWithSource);
    this->askPeerIfLate(Replicas, patienceWithWatch);
}

/// Asks the peer that has a newer state, where the usual source does not bring it.
void StateService::askPeerIfLate(Followed late, Duration patience)
{
    const Instant now = monotonicNow();
    Heard &newest = this->heard[late];
    if (this->members == nullptr || newest.revision <= this->known(late) || now - newest.since < patience) {
        return;
    }
    newest.since = now;
    const Member *peer = findMember(*this->members, newest.from);
    if (peer == nullptr || !isUsable(*peer)) {
        return;
    }
    for (const Followed which : {Configuration, Replicas}) {
        if (which == Replicas || late == Configuration) {
            this->takeFrom(*peer, which);
        }
    }
}

void StateService::takeFrom(const Member &peer, Followed which)
{
    this->store.listAt(peer, this->prefixes[which].name, [this, which, name = peer.vm.value](PageResult result) {
        this->takePeerState(which, std::move(result), name);
    });
}

void StateService::takePeerState(Followed which, PageResult result, const std::string &peer)
{
    auto *page = std::get_if<StorePage>(&result);
    writeLog({.level = page == nullptr ? LogLevel::Warn : LogLevel::Info,
              .slice = slice,
              .event = page == nullptr ? "peerGaveNoState" : "stateFromPeer",
              .fields = {{"peer", peer},
                         {"prefix", this->prefixes[which].name},
                         {"asOf", page == nullptr ? "" : storeRevisionText(page->asOf)},
                         {"before", storeRevisionText(this->prefixes[which].follower.asOf())}}});
    if (page != nullptr && this->concerns(which, page->items)) {
        if (which == Configuration && page->asOf <= this->prefixes[which].follower.asOf()) {
            // The follower does not take it. Whatever the store holds, the highest version is in force.
            this->takeConfiguration(page->items);
        }
        this->prefixes[which].follower.onPeerState(monotonicNow(), std::move(*page), this->actions);
        this->perform(which);
        if (which == Configuration && this->heard[which].from.value == peer) {
            // What it told of and does not have is not asked for again.
            this->heard[which].revision = this->known(which);
        }
    }
}

void StateService::answerPeer(const PeerStoreRequest &request, std::function<void(const HttpAnswer &)> answer)
{
    for (const Followed which : {Configuration, Replicas}) {
        const Prefix &prefix = this->prefixes[which];
        if (prefix.name != request.prefix || !prefix.listed) {
            continue;
        }
        const Instant now = monotonicNow();
        if (!request.changesAfter.has_value()) {
            answer({.body = encodePage({.items = this->itemsForPeers(which),
                                        .asOf = prefix.follower.asOf(),
                                        .timeSinceStoreOutage = prefix.follower.timeSinceOutage(now)})});
            return;
        }
        const StoreRevision after{request.era.value_or(prefix.follower.asOf().era), *request.changesAfter};
        if (const auto changes = this->changesFor(which, after, false)) {
            answer(*changes);
        } else {
            this->waiting.push_back({which, after, now + request.wait, std::move(answer)});
        }
        return;
    }
    answer({.status = statusUnavailable});
}

/// The known state, with the configuration in force where the store holds an older one.
std::vector<StoreItem> StateService::itemsForPeers(Followed which) const
{
    std::vector<StoreItem> items = this->prefixes[which].follower.items();
    if (which == Configuration && this->routes != nullptr) {
        const auto found = std::ranges::find(items, this->dialect.configurationKey, &StoreItem::key);
        StoreItem &item = found != items.end() ? *found : items.emplace_back();
        item.key = this->dialect.configurationKey;
        item.value = this->routesText;
    }
    return items;
}

/// The answer to a peer that knows everything up to a revision; nothing where there is nothing new, unless wanted.
std::optional<HttpAnswer> StateService::changesFor(Followed which, const StoreRevision &after, bool evenNone) const
{
    const PrefixFollower &follower = this->prefixes[which].follower;
    auto changes = follower.changesAfter(after);
    if (!changes.has_value()) {
        return HttpAnswer{.status = statusGone};
    }
    if (changes->empty() && !evenNone) {
        return std::nullopt;
    }
    return HttpAnswer{.body = encodeChanges({.changes = std::move(*changes),
                                             .asOf = std::max(after, follower.asOf()),
                                             .timeSinceStoreOutage = follower.timeSinceOutage(monotonicNow())})};
}

void StateService::answerWaiting()
{
    const Instant now = monotonicNow();
    std::vector<WaitingPeer> due = std::exchange(this->waiting, {});
    for (WaitingPeer &peer : due) {
        if (const auto answer = this->changesFor(peer.which, peer.after, peer.until <= now)) {
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

Duration StateService::comeBackAfter() const
{
    const bool othersServe
        = this->members != nullptr && std::ranges::any_of(this->members->members, [this](const Member &member) {
              return member.vm != this->members->self && isUsable(member) && member.configRevision.value > 0;
          });
    return othersServe && !this->isComplete() ? comeBackToOthers : comeBackLater;
}

std::uint64_t StateService::version() const
{
    return this->routes == nullptr ? 0 : this->routes->version;
}

std::uint64_t StateService::era() const
{
    return this->prefixes[Replicas].follower.asOf().era;
}

bool StateService::isCutOff() const
{
    return this->prefixes[Configuration].follower.isCutOff() || this->prefixes[Replicas].follower.isCutOff();
}

} // namespace hickoryshore
