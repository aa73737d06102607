// The part of StateService that exchanges the state of the store with other VMs.
#include "hickoryshore/clock/clock.h"
#include "hickoryshore/entry/state_service.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// After this time without a newer configuration that a peer has, that peer is asked for it.
constexpr Duration maxConfigurationLag = 400ms;
/// The same for registrations. Longer, since a watch is renewed at most every 300 ms and then returns the changes made
/// in between.
constexpr Duration maxReplicaLag = 1s;
/// Age that peers are told of a state that the store has not confirmed.
constexpr Duration unconfirmedAge = 24h;
constexpr int statusUnavailable = 503;
constexpr int statusGone = 410;
constexpr std::string_view slice = "state";

} // namespace

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
    this->store.askChanges(this->prefixes[Replicas].name, after, [this](const Member &peer, ChangesResult result) {
        this->checkPause();
        auto *changes = std::get_if<StoreChanges>(&result);
        if (changes != nullptr && this->acceptEntries(Replicas, changes->changes)) {
            this->prefixes[Replicas].follower.onPeerChanges(monotonicNow(), std::move(*changes), this->actions);
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
    this->checkPause();
    auto *page = std::get_if<StorePage>(&result);
    writeLog({.level = page == nullptr ? LogLevel::Warn : LogLevel::Info,
              .slice = slice,
              .event = page == nullptr ? "peerGaveNoState" : "stateFromPeer",
              .fields = {{"peer", peer},
                         {"prefix", this->prefixes[kind].name},
                         {"asOf", page == nullptr ? "" : storeRevisionText(page->asOf)},
                         {"before", storeRevisionText(this->prefixes[kind].follower.asOf())}}});
    if (page != nullptr && this->acceptEntries(kind, page->items)) {
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

} // namespace hickoryshore
