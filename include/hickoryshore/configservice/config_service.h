// Keeps the configuration of one VM up to date: from the platform's service, and from the VMs that have it already.
#pragma once

#include "hickoryshore/config/publication.h"
#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/keyvalue/key_value_client.h"

namespace hickoryshore {

/// What a VM tells another one about its configuration.
struct PeerConfig
{
    std::string headText; ///< Empty where the VM has no configuration.
    std::vector<std::string> chunks; ///< Texts of those asked for that the VM holds.
};

/// Where a ConfigService meets the rest of the process. All are called on the control thread.
struct ConfigServiceHooks
{
    /// Takes a deployment into force; its revision is higher than that of the call before.
    std::function<void(std::shared_ptr<const Deployment>)> onDeployment = [](auto) {};

    /// Returns whether this VM watches the platform's service; the others only poll it slowly.
    std::function<bool()> isWatcher = [] {
        return false;
    };

    /// Returns a few live VMs, chosen at random, to be asked at the start.
    std::function<std::vector<VmId>()> peers = [] {
        return std::vector<VmId>();
    };

    /// Asks a VM for its head and these chunks. Must call `done` once on the control thread, with nothing after a
    /// timeout or a failure.
    using FetchDone = std::function<void(std::optional<PeerConfig>)>;
    std::function<void(const VmId &peer, const std::vector<std::string> &hashes, FetchDone done)> fetchFromPeer
        = [](const VmId &, const std::vector<std::string> &, const FetchDone &done) {
              done(std::nullopt);
          };

    /// Returns a random number from 0 up to 1, for jitter.
    std::function<double()> random = [] {
        return 0.5;
    };

    /// Takes a sentence for the log.
    std::function<void(const std::string &)> onProblem = [](const std::string &) {};
};

struct ConfigServiceSettings
{
    Duration slowPoll{std::chrono::seconds(60)}; ///< Between two polls of a VM that is no watcher.
    Duration watchWait{std::chrono::seconds(5)}; ///< Longest time of one watch; it holds a thread of the loop's pool.
    Duration watchPause{std::chrono::milliseconds(250)}; ///< Between two watches, so that none spins.
    Duration firstRetry{std::chrono::milliseconds(250)}; ///< Of a watcher or a VM without configuration; doubles.
    Duration longestRetry{std::chrono::seconds(4)};
    int chunksPerFetch = 4; ///< Asked of a peer at once; each has at most 512 KB.
};

/// Counts since the start.
struct ConfigCounters
{
    std::uint64_t platformReads = 0;
    std::uint64_t platformFailures = 0;
    std::uint64_t peerFetches = 0;
    std::uint64_t peerFailures = 0;
    std::uint64_t applied = 0;
    std::uint64_t refused = 0; ///< Heads that were damaged or named an inconsistent deployment.
};

/// Applies only higher revisions, whole and checked, whatever the platform's service or a peer says. It lives as long
/// as its loop runs, and the client outlives the loop, whose pool may still be in a call.
///
///     ConfigService service(loop, client, {.onDeployment = [&](auto deployment) { use(deployment); }});
///     service.start();
///     loop.run();
class ConfigService
{
public:
    ConfigService(EventLoop &loop,
                  KeyValueClient &client,
                  ConfigServiceHooks hooks,
                  ConfigServiceSettings settings = {});

    /// Begins to read. Before the loop runs, or on the control thread.
    void start();

    /// A peer has this revision, as membership tells. On the control thread.
    void onNewerRevisionHeard(Revision revision, const VmId &peer);

    /// Answers a peer's fetch. On the control thread.
    PeerConfig answerPeer(std::span<const std::string> hashes) const;

    /// The revision in force, or zero. On the control thread.
    Revision revision() const;

    /// The deployment in force, or nullptr. On the control thread.
    std::shared_ptr<const Deployment> deployment() const;

    const ConfigCounters &counters() const;

private:
    /// A head on its way into force, and where its chunks come from.
    struct Candidate
    {
        ConfigHead head;
        std::string headText;
        std::optional<VmId> peer; ///< Nothing: the platform's service.
        std::function<void(bool)> done; ///< Called once: false where the head has to be tried again.
    };
    using CandidatePointer = std::shared_ptr<Candidate>;

    void readPlatform();
    void onHeadRead(const std::optional<StoredValue> &stored, bool failed);
    void onPlatformFailure();
    void readPlatformAfter(Duration pause);
    void askPeers();
    void consider(const std::string &headText, const std::optional<VmId> &peer, std::function<void(bool)> done);
    void proceed(const CandidatePointer &candidate);
    void fetchFromPeer(const CandidatePointer &candidate, std::vector<std::string> missing);
    void fetchFromPlatform(const CandidatePointer &candidate, const std::vector<std::string> &missing);
    void assemble(const CandidatePointer &candidate);
    void refuse(const Candidate &candidate, const std::string &problem);
    void apply(const CandidatePointer &candidate, std::shared_ptr<const Deployment> assembled);
    void hold(std::string text);
    Duration jittered(Duration duration) const;

    EventLoop *loop;
    KeyValueClient *client;
    ConfigServiceHooks hooks;
    ConfigServiceSettings settings;
    ConfigHead head;
    std::string headText;
    ChunkTexts chunks;
    std::shared_ptr<const Deployment> inForce;
    std::string refusedHeadText; ///< The latest head that named an inconsistent deployment.
    Revision refusedRevision;
    ConfigCounters counts;
    std::uint64_t knownIndex = 0;
    int failures = 0; ///< Of the platform's service, in a row.
    bool fetchingHeard = false; ///< One fetch at a time follows what membership tells.
    bool askingPeers = false;
};

} // namespace hickoryshore
