// Joins the daemon's services: what each of them is given, and what one's event means for the others.

#include "daemon_state.h"

#include "hickoryshore/daemon/status_page.h"
#include "hickoryshore/log/log.h"
#include "hickoryshore/ownership/rendezvous.h"
#include "hickoryshore/shutdown/entry_points.h"

#include <algorithm>
#include <future>
#include <iterator>
#include <utility>

namespace hickoryshore {

namespace {

/// VMs of each region that watch the platform for a new configuration.
constexpr std::size_t watchersPerRegion = 3;

/// Keys of the ledger. Fewer would share more writes, but a key holds the requests of the whole retention in 1 MB.
constexpr std::size_t ledgerPartitions = 64;

/// VMs that are asked for their configuration at the start.
constexpr std::size_t peersAsked = 4;

/// Pause between two readings of the platform's lists: the longer of the two, the second for each VM of the fleet.
constexpr Duration shortestListPeriod = std::chrono::seconds(2);
constexpr Duration listPeriodPerVm = std::chrono::milliseconds(20);

/// Longer than the ledger takes to decide; it passes only while the process is stopping.
constexpr Duration decisionTimeout = std::chrono::seconds(5);

constexpr Duration overloadRetryAfter = std::chrono::milliseconds(100);
constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(1);

/// Reads where a caller is from the query string of GET /v1/entry-points.
CallerLocation placeOf(const HttpRequest &request, const DaemonSettings &settings)
{
    CallerLocation place;
    place.dataCentre.value = findQueryParameter(request.queryString, "dataCentre").value_or("");
    place.region.value = findQueryParameter(request.queryString, "region").value_or("");
    if (place.dataCentre.value.empty() && place.region.value.empty()) {
        place = {settings.dataCentre, settings.region};
    }
    return place;
}

/// Waits for a decision of the ledger, which `start` asks for.
LedgerDecision waitForDecision(const std::function<void(LedgerService::OnDecision)> &start)
{
    auto promise = std::make_shared<std::promise<LedgerDecision>>();
    std::future<LedgerDecision> future = promise->get_future();
    start([promise](const LedgerDecision &decision) {
        promise->set_value(decision);
    });
    if (future.wait_for(decisionTimeout) != std::future_status::ready) {
        return {.code = ResultCode::Leaving, .retryAfter = stoppingRetryAfter};
    }
    return future.get();
}

} // namespace

MembershipHooks Daemon::State::membershipHooks()
{
    MembershipHooks hooks;
    hooks.onView = [this](std::shared_ptr<const MembershipView> view) {
        // The first call comes before the traffic thread exists.
        const bool first = this->members == nullptr;
        this->members = std::move(view);
        if (!first) {
            this->publishView();
        }
    };
    hooks.onRevisionHeard = [this](Revision revision, const VmId &peer) {
        this->config.onNewerRevisionHeard(revision, peer);
    };
    hooks.onMemberChanged = [](const MemberChangedAction &change) {
        writeLog({.slice = "membership",
                  .event = "memberChanged",
                  .detail = change.member.vm.value + " is " + std::string(memberStateName(change.member.state))});
    };
    hooks.onSuperseded = [this] {
        writeLog({.level = LogLevel::Error, .slice = "membership", .event = "superseded"});
        this->beginShutdown();
    };
    return hooks;
}

ConfigServiceHooks Daemon::State::configHooks()
{
    ConfigServiceHooks hooks;
    hooks.onDeployment = [this](std::shared_ptr<const Deployment> newer) {
        this->takeDeployment(std::move(newer));
    };
    hooks.isWatcher = [this] {
        return this->isConfigWatcher();
    };
    hooks.peers = [this] {
        return this->somePeers();
    };
    hooks.fetchFromPeer = [this](const VmId &peer, const std::vector<std::string> &hashes, auto done) {
        this->configLink.fetch(peer, hashes, std::move(done));
    };
    hooks.random = [this] {
        return std::uniform_real_distribution(0.0, 1.0)(this->random);
    };
    hooks.onProblem = [](const std::string &sentence) {
        writeLog({.level = LogLevel::Warn, .slice = "config", .event = "problem", .detail = sentence});
    };
    return hooks;
}

LedgerServiceSettings Daemon::State::ledgerSettings()
{
    LedgerServiceSettings ledger;
    ledger.ledger.writer = this->settings.vm.value;
    ledger.ledger.maximumGroup = static_cast<std::size_t>(this->settings.ledgerGroupLimit);
    ledger.partitions = ledgerPartitions;
    ledger.read = [this](std::string_view key) {
        return this->platform.get(key);
    };
    ledger.compareAndSwap = [this](std::string_view key, std::string_view value, std::uint64_t expectedIndex) {
        return this->platform.compareAndSwap(key, value, expectedIndex);
    };
    return ledger;
}

LedgerRouterHooks Daemon::State::ledgerRouterHooks()
{
    LedgerRouterHooks hooks;
    hooks.writerOf = [this](const RequestId &id) {
        const std::string partition = std::to_string(ledgerPartitionOf(id, ledgerPartitions));
        const std::vector<VmId> writers = this->rankedInRegion("ledger/" + partition, 1);
        return writers.empty() ? this->settings.vm : writers.front();
    };
    hooks.send = [this](const VmId &vm, wire::LedgerCall call) {
        this->traffic.callLedger(vm, std::move(call));
    };
    return hooks;
}

TrafficSettings Daemon::State::trafficSettings() const
{
    const Member *self = findMember(*this->membership.view(), this->settings.vm);
    return {.vm = this->settings.vm,
            .endpoint = "tcp://" + this->settings.bindAddress + ':' + std::to_string(this->settings.peerPort),
            .processId = self->processId,
            .upstream = {}};
}

TrafficHooks Daemon::State::trafficHooks()
{
    TrafficHooks hooks;
    hooks.onConfigFetch = [this](const wire::ConfigFetch &fetch, AnswerConfigFetch answer) {
        this->control.post([this, fetch, answer = std::move(answer)] {
            const std::vector<std::string> hashes(fetch.hashes().begin(), fetch.hashes().end());
            answer(toWire(this->config.answerPeer(hashes)));
        });
    };
    hooks.onConfigChunks = [this](const VmId &vm, const wire::ConfigChunks &chunks) {
        this->control.post([this, vm, chunks] {
            this->configLink.onAnswer(vm, chunks);
        });
    };
    hooks.onLedgerCall = [this](const wire::LedgerCall &call, AnswerLedgerCall answer) {
        this->control.post([this, call, answer = std::move(answer)] {
            this->ledgerRouter.onCall(call, answer);
        });
    };
    hooks.onLedgerReply = [this](const VmId &vm, const wire::LedgerReply &reply) {
        this->control.post([this, vm, reply] {
            this->ledgerRouter.onReply(vm, reply);
        });
    };
    return hooks;
}

CallerApiHooks Daemon::State::callerHooks()
{
    CallerApiHooks hooks;
    hooks.admit = [this] {
        return this->refusalOfQueries();
    };
    hooks.deployment = [this] {
        return this->routing()->deployment;
    };
    hooks.submit = [this](QueryRequest request, QueryCompletion completion) {
        return this->traffic.submit(std::move(request), std::move(completion));
    };
    hooks.abandon = [this](QueryNumber number) {
        this->traffic.abandon(number);
    };
    hooks.recordIntent = [this](const LedgerRequest &request) {
        return this->recordIntent(request);
    };
    hooks.recordOutcome = [this](const RequestId &id, ResultCode code, std::string answerBody) {
        this->ledgerRouter.complete(id, code, std::move(answerBody));
    };
    hooks.lookUp = [this](const RequestId &id, std::optional<WallTime> issuedAt) {
        return this->lookUp(id, issuedAt);
    };
    hooks.entryPoints = [this](const HttpRequest &request) {
        return this->entryPoints(request);
    };
    hooks.status = [this] {
        return formatStatus(*this->routing());
    };
    hooks.gauges = [this] {
        return gaugesOf(this->traffic);
    };
    return hooks;
}

void Daemon::State::takeDeployment(std::shared_ptr<const Deployment> newer)
{
    this->deployment = std::move(newer);
    writeLog({.slice = "config",
              .event = "revisionInForce",
              .detail = "revision " + std::to_string(this->deployment->revision.value)});
    this->membership.setConfigRevision(this->deployment->revision);
    this->publishView();
}

void Daemon::State::publishView()
{
    auto view = std::make_shared<RoutingView>();
    view->deployment = this->deployment;
    view->members = this->members;
    view->leavingUpstreams = this->leavingUpstreams;
    view->self = this->settings.vm;
    view->dataCentre = this->settings.dataCentre;
    view->region = this->settings.region;
    this->traffic.setView(view);
    const std::lock_guard lock(this->routingMutex);
    this->routingView = std::move(view);
}

void Daemon::State::readLists()
{
    struct Lists
    {
        std::vector<ListedMember> entryVms;
        std::set<std::string> leaving;
        bool read = false;
    };
    auto lists = std::make_shared<Lists>();
    const auto job = [this, lists] {
        try {
            for (const ListedVm &vm : this->platform.listVms(entryVmService)) {
                lists->entryVms.push_back({{vm.vm}, vm.address, vm.leaving});
            }
            for (const ListedVm &vm : this->platform.listVms(upstreamVmService)) {
                if (vm.leaving) {
                    lists->leaving.insert(vm.address.substr(0, vm.address.rfind(':')));
                }
            }
            lists->read = true;
        } catch (const PlatformError &error) {
            const std::string detail = error.what();
            writeLog({.level = LogLevel::Warn, .slice = "platform", .event = "listUnavailable", .detail = detail});
        }
    };
    this->control.runBlocking(job, [this, lists] {
        if (lists->read) {
            this->takeLists(lists->entryVms, std::move(lists->leaving));
        }
        // The fleet as a whole asks no more often as it grows.
        const auto fleet = static_cast<Duration::rep>(this->members->members.size());
        this->control.after(std::max(shortestListPeriod, listPeriodPerVm * fleet), [this] {
            this->readLists();
        });
    });
}

void Daemon::State::takeLists(const std::vector<ListedMember> &entryVms, std::set<std::string> leaving)
{
    this->membership.seedFromList(entryVms);
    if (leaving != this->leavingUpstreams) {
        this->leavingUpstreams = std::move(leaving);
        this->publishView();
    }
}

std::vector<VmId> Daemon::State::rankedInRegion(const std::string &duty, std::size_t count) const
{
    std::vector<OwnerCandidate> regionMembers;
    for (const Member &member : this->members->members) {
        if (member.region == this->settings.region && isUsable(member)) {
            regionMembers.push_back({member.vm, member.dataCentre});
        }
    }
    return rankOwners({duty}, {}, regionMembers, count);
}

bool Daemon::State::isConfigWatcher() const
{
    const std::vector<VmId> watchers = this->rankedInRegion("configuration", watchersPerRegion);
    return std::ranges::find(watchers, this->settings.vm) != watchers.end();
}

std::vector<VmId> Daemon::State::somePeers()
{
    std::vector<VmId> others;
    for (const Member &member : this->members->members) {
        if (member.vm != this->settings.vm && isUsable(member)) {
            others.push_back(member.vm);
        }
    }
    std::vector<VmId> chosen;
    std::ranges::sample(others, std::back_inserter(chosen), peersAsked, this->random);
    return chosen;
}

std::shared_ptr<const RoutingView> Daemon::State::routing() const
{
    const std::lock_guard lock(this->routingMutex);
    return this->routingView;
}

std::optional<Refusal> Daemon::State::refusalOfQueries() const
{
    if (this->refusing) {
        return makeRefusal(ResultCode::Leaving, stoppingRetryAfter);
    }
    if (this->traffic.queriesInFlight() >= this->settings.queryLimit) {
        return makeRefusal(ResultCode::EntryOverloaded, overloadRetryAfter);
    }
    return std::nullopt;
}

LedgerDecision Daemon::State::recordIntent(const LedgerRequest &request)
{
    return waitForDecision([this, &request](LedgerService::OnDecision onDecision) {
        this->ledgerRouter.submit(request, std::move(onDecision));
    });
}

LedgerDecision Daemon::State::lookUp(const RequestId &id, std::optional<WallTime> issuedAt)
{
    return waitForDecision([this, &id, issuedAt](LedgerService::OnDecision onDecision) {
        this->ledgerRouter.lookUp(id, issuedAt, std::move(onDecision));
    });
}

std::string Daemon::State::entryPoints(const HttpRequest &request) const
{
    const auto view = this->routing();
    const EntryPointSettings bounds{.timeToLive = this->settings.entryPointsTimeToLive};
    // Each answer turns the order by one, so that callers spread evenly.
    static std::atomic<std::uint64_t> turn = 0;
    std::vector<std::string> addresses;
    const EntryPoints chosen = chooseEntryPoints(*view->members, placeOf(request, this->settings), bounds, ++turn);
    for (const EntryPoint &entry : chosen.entries) {
        addresses.push_back(entry.address + ':' + std::to_string(entry.httpPort));
    }
    return formatEntryPoints(addresses, bounds.timeToLive);
}

} // namespace hickoryshore
