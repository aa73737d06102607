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
/// Time between two events above which this VM was paused: several checks are missing.
constexpr Duration minPause = 1s;
/// Age above which a state is logged as stale: a watch at the store, then one at a VM that follows it, and their
/// answers.
constexpr Duration maxStateAge = 3500ms;
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

std::string_view evidenceName(OutageEvidence evidence)
{
    switch (evidence) {
    case OutageEvidence::UnansweredCalls:
        return "unansweredCalls";
    case OutageEvidence::MassExpiry:
        return "massExpiry";
    case OutageEvidence::Peer:
        return "peer";
    }
    return "";
}

/// Returns the value of an entry, or nullptr if it was removed.
std::string *valueOf(StoreItem &item)
{
    return &item.value;
}

std::string *valueOf(StoreChange &change)
{
    return change.value.has_value() ? &*change.value : nullptr;
}

void logUnreadableReplica(std::string_view key, std::string_view reason)
{
    writeLog({.level = LogLevel::Warn,
              .slice = slice,
              .event = "replicaUnreadable",
              .detail = std::string(reason),
              .fields = {{"key", std::string(key)}}});
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
    this->lastRanAt = monotonicNow();
    this->loop.every(checkInterval, [this] {
        this->checkPause();
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
    } else if (const auto *outage = std::get_if<StoreOutageEnded>(&action)) {
        std::vector<LogField> fields = this->callFields(kind);
        fields.push_back({"evidence", std::string(evidenceName(outage->evidence))});
        fields.push_back({"silentMs", std::to_string(ceilMilliseconds(outage->silence))});
        writeLog({.level = LogLevel::Warn, .slice = slice, .event = "storeOutageEnded", .fields = std::move(fields)});
    } else if (const auto *stalled = std::get_if<ListingStalled>(&action)) {
        this->logStalledListing(kind, stalled->after);
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

void StateService::logStalledListing(PrefixKind kind, std::string_view after) const
{
    writeLog({.level = LogLevel::Error,
              .slice = slice,
              .event = "listingStalled",
              .detail = "the page after this key brought no new key",
              .fields = {{"prefix", this->prefixes[kind].name}, {"after", std::string(after)}}});
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
        this->checkPause();
        PrefixFollower &follower = this->prefixes[kind].follower;
        this->prefixes[kind].source = this->store.latestCall(this->prefixes[kind].name).source;
        auto *page = std::get_if<StorePage>(&result);
        if (page != nullptr && this->acceptEntries(kind, page->items)) {
            follower.onPage(monotonicNow(), std::move(*page), this->actions);
        } else {
            follower.onFailure(monotonicNow(), failureOf(result), this->actions);
        }
        this->perform(kind);
    });
    this->recordCallTarget(kind);
}

/// Tells the followers if this VM has just resumed. Called before the first answer after a pause is applied, whichever
/// event comes first.
void StateService::checkPause()
{
    const Instant now = monotonicNow();
    const Duration passed = now - std::exchange(this->lastRanAt, now);
    if (passed <= minPause) {
        return;
    }
    writeLog({.level = LogLevel::Warn,
              .slice = slice,
              .event = "resumed",
              .fields = {{"pausedMs", std::to_string(ceilMilliseconds(passed))}}});
    for (Prefix &prefix : this->prefixes) {
        prefix.follower.onPaused(now);
    }
}

/// Tells the follower if the call that was just started went to another VM.
void StateService::recordCallTarget(PrefixKind kind)
{
    Prefix &prefix = this->prefixes[kind];
    if (this->store.latestCall(prefix.name).source != storeSourceName) {
        prefix.follower.onCallSentToPeer();
    }
}

/// Returns whether an answer contains only keys of the requested prefix. Otherwise it may be a late copy of the answer
/// to another call. Empties values that are too long for a replica, so that they take no memory here or at peers.
template<typename Entry>
bool StateService::acceptEntries(PrefixKind kind, std::vector<Entry> &entries) const
{
    const std::string &prefix = this->prefixes[kind].name;
    const auto foreign = std::ranges::find_if(entries, [&prefix](const Entry &entry) {
        return !entry.key.starts_with(prefix);
    });
    if (foreign != entries.end()) {
        writeLog({.level = LogLevel::Error,
                  .slice = slice,
                  .event = "foreignKeys",
                  .fields = {{"prefix", prefix}, {"key", foreign->key}}});
        return false;
    }
    for (Entry &entry : entries) {
        std::string *value = valueOf(entry);
        if (kind == Replicas && value != nullptr && value->size() > this->protocol.maxReplicaBytes) {
            logUnreadableReplica(entry.key, "entry of " + std::to_string(value->size()) + " bytes");
            *value = std::string();
        }
    }
    return true;
}

template bool StateService::acceptEntries(PrefixKind kind, std::vector<StoreItem> &entries) const;
template bool StateService::acceptEntries(PrefixKind kind, std::vector<StoreChange> &entries) const;

void StateService::watch(PrefixKind kind, const WatchKeys &call)
{
    this->storeCalls.watch(this->prefixes[kind].name, call.after, call.wait, [this, kind](ChangesResult result) {
        this->checkPause();
        PrefixFollower &follower = this->prefixes[kind].follower;
        this->prefixes[kind].source = this->store.latestCall(this->prefixes[kind].name).source;
        auto *changes = std::get_if<StoreChanges>(&result);
        if (changes != nullptr && this->acceptEntries(kind, changes->changes)) {
            follower.onChanges(monotonicNow(), std::move(*changes), this->actions);
        } else {
            follower.onFailure(monotonicNow(), failureOf(result), this->actions);
        }
        this->perform(kind);
    });
    this->recordCallTarget(kind);
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
        logUnreadableReplica(key, error.what());
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
void StateService::listSeparately(PrefixKind kind, PagedListing before)
{
    const std::string after = before.lastKey();
    this->storeCalls.list(
        this->prefixes[kind].name, after, [this, kind, after, listing = std::move(before)](PageResult result) mutable {
            const Instant now = monotonicNow();
            auto *page = std::get_if<StorePage>(&result);
            // A failed listing is not retried: the follower's own call ends eventually.
            auto progress = PagedListing::Progress::EraChanged;
            if (page != nullptr && this->acceptEntries(kind, page->items)) {
                progress = listing.add(now, std::move(*page));
            }
            if (progress == PagedListing::Progress::NeedsMore) {
                this->listSeparately(kind, std::move(listing));
                return;
            }
            this->listingSeparately = false;
            if (progress == PagedListing::Progress::Complete) {
                this->prefixes[kind].follower.onPeerState(now, listing.take(now), this->actions);
                this->perform(kind);
            } else if (progress == PagedListing::Progress::Stalled) {
                this->logStalledListing(kind, after);
            }
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
