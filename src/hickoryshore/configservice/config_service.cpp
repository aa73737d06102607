#include "hickoryshore/configservice/config_service.h"

#include <algorithm>

namespace hickoryshore {

namespace {

constexpr int mostDoublings = 10;

/// What a job on a pool thread found at the platform's service.
struct PlatformRead
{
    std::optional<StoredValue> head;
    std::vector<std::string> chunks;
    std::string failure; ///< Empty where all went well.
};

/// What a job on a pool thread made of a head and its chunks.
struct Assembly
{
    std::shared_ptr<const Deployment> deployment;
    std::string failure;
};

} // namespace

ConfigService::ConfigService(EventLoop &loop,
                             KeyValueClient &client,
                             ConfigServiceHooks hooks,
                             ConfigServiceSettings settings)
    : loop(&loop), client(&client), hooks(std::move(hooks)), settings(settings)
{ }

void ConfigService::start()
{
    this->loop->post([this] {
        this->readPlatform();
    });
}

Revision ConfigService::revision() const
{
    return this->head.revision;
}

std::shared_ptr<const Deployment> ConfigService::deployment() const
{
    return this->inForce;
}

const ConfigCounters &ConfigService::counters() const
{
    return this->counts;
}

PeerConfig ConfigService::answerPeer(std::span<const std::string> hashes) const
{
    PeerConfig answer{.headText = this->headText, .chunks = {}};
    for (const std::string &hash : hashes) {
        const auto chunk = this->chunks.find(hash);
        if (chunk != this->chunks.end()) {
            answer.chunks.push_back(chunk->second);
        }
    }
    return answer;
}

void ConfigService::readPlatform()
{
    ++this->counts.platformReads;
    const bool watch = this->knownIndex > 0 && this->hooks.isWatcher();
    auto read = std::make_shared<PlatformRead>();
    this->loop->runBlocking(
        [client = this->client, read, watch, index = this->knownIndex, wait = this->settings.watchWait] {
            try {
                read->head = watch ? client->waitForChange(configHeadKey, index, wait) : client->get(configHeadKey);
            } catch (const std::exception &error) {
                read->failure = error.what();
            }
        },
        [this, read] {
            if (!read->failure.empty()) {
                this->hooks.onProblem(read->failure);
            }
            this->onHeadRead(read->head, !read->failure.empty());
        });
}

void ConfigService::onHeadRead(const std::optional<StoredValue> &stored, bool failed)
{
    if (failed) {
        this->onPlatformFailure();
        return;
    }
    if (!stored.has_value()) {
        this->failures = 0;
        this->askPeers();
        this->readPlatformAfter(this->settings.longestRetry);
        return;
    }
    this->consider(stored->value, std::nullopt, [this, index = stored->modifyIndex](bool settled) {
        if (!settled) {
            this->onPlatformFailure();
            return;
        }
        this->failures = 0;
        this->knownIndex = std::max(this->knownIndex, index);
        this->readPlatformAfter(this->hooks.isWatcher() ? this->settings.watchPause : this->settings.slowPoll);
    });
}

void ConfigService::onPlatformFailure()
{
    ++this->counts.platformFailures;
    this->askPeers();
    const int doublings = std::min(this->failures++, mostDoublings);
    const Duration retry = std::min(this->settings.firstRetry * (1 << doublings), this->settings.longestRetry);
    // The others learn of a change from their peers, so the whole fleet need not press on a service that is down.
    const bool mayWait = this->inForce != nullptr && !this->hooks.isWatcher();
    this->readPlatformAfter(mayWait ? this->settings.slowPoll : retry);
}

void ConfigService::readPlatformAfter(Duration pause)
{
    this->loop->after(this->jittered(pause), [this] {
        this->readPlatform();
    });
}

void ConfigService::askPeers()
{
    const std::vector<VmId> peers = this->hooks.peers();
    if (this->inForce != nullptr || this->askingPeers || peers.empty()) {
        return;
    }
    struct Answers
    {
        std::size_t missing = 0;
        std::string bestHead;
        Revision bestRevision;
        VmId bestPeer;
    };
    this->askingPeers = true;
    auto answers = std::make_shared<Answers>();
    answers->missing = peers.size();
    for (const VmId &peer : peers) {
        ++this->counts.peerFetches;
        this->hooks.fetchFromPeer(peer, {}, [this, answers, peer](const std::optional<PeerConfig> &answer) {
            try {
                if (answer.has_value() && !answer->headText.empty()) {
                    const Revision revision = parseConfigHead(answer->headText).revision;
                    if (revision > answers->bestRevision) {
                        answers->bestRevision = revision;
                        answers->bestHead = answer->headText;
                        answers->bestPeer = peer;
                    }
                }
            } catch (const std::invalid_argument &error) {
                this->hooks.onProblem(error.what());
            }
            if (--answers->missing > 0) {
                return;
            }
            this->askingPeers = false;
            if (!answers->bestHead.empty()) {
                this->consider(answers->bestHead, answers->bestPeer, [](bool) {});
            }
        });
    }
}

void ConfigService::onNewerRevisionHeard(Revision revision, const VmId &peer)
{
    const bool wanted = revision > this->head.revision && revision != this->refusedRevision;
    if (!wanted || this->fetchingHeard) {
        return;
    }
    this->fetchingHeard = true;
    ++this->counts.peerFetches;
    const auto finish = [this](bool settled) {
        this->fetchingHeard = false;
        this->counts.peerFailures += settled ? 0 : 1;
    };
    this->hooks.fetchFromPeer(peer, {}, [this, peer, finish](const std::optional<PeerConfig> &answer) {
        if (!answer.has_value() || answer->headText.empty()) {
            finish(false);
            return;
        }
        this->consider(answer->headText, peer, finish);
    });
}

void ConfigService::consider(const std::string &text, const std::optional<VmId> &peer, std::function<void(bool)> done)
{
    if (text == this->refusedHeadText) {
        done(true);
        return;
    }
    try {
        this->proceed(std::make_shared<Candidate>(Candidate{parseConfigHead(text), text, peer, std::move(done)}));
    } catch (const std::invalid_argument &error) {
        ++this->counts.refused;
        this->hooks.onProblem(error.what());
        // parseConfigHead threw before `done` was moved.
        done(false); // NOLINT(bugprone-use-after-move)
    }
}

void ConfigService::proceed(const CandidatePointer &candidate)
{
    const HeadDecision decision = decideHeadAction(this->head.revision, candidate->head, this->chunks);
    switch (decision.action) {
    case HeadDecision::Action::Ignore:
        candidate->done(true);
        return;
    case HeadDecision::Action::Apply:
        this->assemble(candidate);
        return;
    case HeadDecision::Action::Fetch:
        if (candidate->peer.has_value()) {
            this->fetchFromPeer(candidate, decision.missing);
        } else {
            this->fetchFromPlatform(candidate, decision.missing);
        }
        return;
    }
}

void ConfigService::fetchFromPeer(const CandidatePointer &candidate, std::vector<std::string> missing)
{
    missing.resize(std::min<std::size_t>(missing.size(), static_cast<std::size_t>(this->settings.chunksPerFetch)));
    ++this->counts.peerFetches;
    this->hooks.fetchFromPeer(
        *candidate->peer, missing, [this, candidate, missing](const std::optional<PeerConfig> &answer) {
            for (const std::string &text : answer.value_or(PeerConfig{}).chunks) {
                this->hold(text);
            }
            const bool complete = std::ranges::all_of(missing, [this](const std::string &hash) {
                return this->chunks.contains(hash);
            });
            if (!complete) {
                // The peer may have gone on to another revision; the service holds every chunk.
                ++this->counts.peerFailures;
                candidate->peer.reset();
            }
            this->proceed(candidate);
        });
}

void ConfigService::fetchFromPlatform(const CandidatePointer &candidate, const std::vector<std::string> &missing)
{
    this->counts.platformReads += missing.size();
    auto read = std::make_shared<PlatformRead>();
    this->loop->runBlocking(
        [client = this->client, read, missing] {
            try {
                for (const std::string &hash : missing) {
                    const std::optional<StoredValue> stored = client->get(configChunkKey(hash));
                    const std::string_view text
                        = stored.has_value() ? parseStoredChunk(stored->value) : std::string_view();
                    if (chunkHash(text) != hash) {
                        throw PlatformError("the chunk " + hash + " is missing or damaged");
                    }
                    read->chunks.emplace_back(text);
                }
            } catch (const std::exception &error) {
                read->failure = error.what();
            }
        },
        [this, read, candidate] {
            for (std::string &text : read->chunks) {
                this->hold(std::move(text));
            }
            if (!read->failure.empty()) {
                this->hooks.onProblem(read->failure);
                candidate->done(false);
                return;
            }
            this->proceed(candidate);
        });
}

void ConfigService::assemble(const CandidatePointer &candidate)
{
    auto assembly = std::make_shared<Assembly>();
    this->loop->runBlocking(
        [assembly, candidate, held = this->chunks] {
            try {
                assembly->deployment = std::make_shared<Deployment>(assembleDeployment(candidate->head, held));
            } catch (const std::exception &error) {
                assembly->failure = error.what();
            }
        },
        [this, assembly, candidate] {
            if (assembly->deployment == nullptr) {
                this->refuse(*candidate, assembly->failure);
                return;
            }
            this->apply(candidate, std::move(assembly->deployment));
        });
}

void ConfigService::refuse(const Candidate &candidate, const std::string &problem)
{
    // The same head would be refused again, so it is not put together each time that somebody names it.
    this->refusedHeadText = candidate.headText;
    this->refusedRevision = candidate.head.revision;
    ++this->counts.refused;
    this->hooks.onProblem(problem);
    candidate.done(true);
}

void ConfigService::apply(const CandidatePointer &candidate, std::shared_ptr<const Deployment> assembled)
{
    // Another head may have come into force while this one was put together.
    if (candidate->head.revision > this->head.revision) {
        this->head = candidate->head;
        this->headText = candidate->headText;
        this->inForce = std::move(assembled);
        pruneChunks(this->chunks, this->head);
        ++this->counts.applied;
        this->hooks.onDeployment(this->inForce);
    }
    candidate->done(true);
}

void ConfigService::hold(std::string text)
{
    std::string hash = chunkHash(text);
    this->chunks.insert_or_assign(std::move(hash), std::move(text));
}

Duration ConfigService::jittered(Duration duration) const
{
    const double factor = 0.5 + this->hooks.random();
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace hickoryshore
