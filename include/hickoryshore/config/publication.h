// Publishes a deployment as chunks, stored under their content hash, and one head that lists the chunks in force.
// Only the head is replaced, by compare-and-swap, so a publication is atomic.
#pragma once

#include "hickoryshore/config/declarations.h"

#include <map>
#include <optional>
#include <stdexcept>

namespace hickoryshore {

/// Identifies one attempt to publish; a random value chosen by the publisher.
using PublishId = NameId<struct PublishTag>;

/// Keys in the platform's key-value service.
inline constexpr std::string_view configHeadKey = "hickoryshore/config/head";
inline constexpr std::string_view configChunkPrefix = "hickoryshore/config/chunks/";
inline constexpr std::string_view configHistoryPrefix = "hickoryshore/config/history/";
std::string configChunkKey(std::string_view hash);
std::string configHistoryKey(Revision revision);

/// A piece of the deployment's canonical form, at most 512 KB.
struct ConfigChunk
{
    std::string name; ///< The content, for instance "Index/tablero-vivo"; all pieces of a long text have the same name.
    std::string hash; ///< XXH3 hash of the text, 128 bits, in hexadecimal.
    std::string text;
};

/// Refers to a chunk without its text.
struct ChunkReference
{
    std::string name;
    std::string hash;

    bool operator==(const ChunkReference &) const = default;
};

/// Describes the configuration in force: the revision and its chunks, in order.
struct ConfigHead
{
    Revision revision;
    PublishId publishId;
    std::string author;
    WallTime time;
    std::vector<ChunkReference> chunks;
    std::vector<PublishId> recentPublishIds; ///< Latest publications, oldest first; the last is publishId.
    std::uint64_t sweeps = 0; ///< Incremented before old chunks are deleted, without any other change of the head.

    bool operator==(const ConfigHead &) const = default;
};

/// Thrown if a set of declarations or chunks is inconsistent.
class InconsistentDeployment : public std::runtime_error
{
public:
    explicit InconsistentDeployment(std::vector<DeclarationFault> faults);

    std::vector<DeclarationFault> faults;
};

/// Chunk texts by hash.
using ChunkTexts = std::map<std::string, std::string, std::less<>>;

/// Returns the hash under which a chunk with this text is stored.
std::string chunkHash(std::string_view text);

/// Returns the value to store for a chunk. A new suffix makes the value differ from the stored one, so that writing the
/// same text again advances the key's index even if the service ignores writes of equal values.
std::string formatStoredChunk(std::string_view text, std::string_view suffix);

/// Returns the text of a stored chunk, without the suffix.
std::string_view parseStoredChunk(std::string_view stored);

/// Splits the deployment into chunks: one each for all callers, data centres and policies, and one per 256 shards of an
/// index. A text above the size limit of a chunk takes several.
std::vector<ConfigChunk> splitIntoChunks(const Deployment &deployment);

/// Reassembles a deployment from its chunks and validates it. Throws InconsistentDeployment if it is invalid, or if a
/// chunk is missing or does not match its hash.
Deployment assembleDeployment(const ConfigHead &head, const ChunkTexts &chunks);

std::string formatConfigHead(const ConfigHead &head);

/// Throws std::invalid_argument if the text is malformed.
ConfigHead parseConfigHead(std::string_view text);

/// Identifies a publication: its id, author and time.
struct PublicationRequest
{
    PublishId publishId;
    std::string author;
    WallTime time;
};

/// The writes that a publication needs: first the chunks, then the head.
struct PublicationPlan
{
    ConfigHead head;
    std::vector<ConfigChunk> chunks; ///< Chunks that the current head does not reference.
    bool unchanged = false; ///< True if the deployment is already in force: nothing to write.
};

/// Throws InconsistentDeployment for a deployment that VMs would reject, so that it is never published.
PublicationPlan planPublication(const std::optional<ConfigHead> &current,
                                const Deployment &deployment,
                                const PublicationRequest &request);

/// The outcome of a publication whose reply was lost.
enum class PublicationOutcome {
    Applied, ///< It took effect.
    NotApplied, ///< It never takes effect, because another publication has its revision.
    Pending, ///< The head has a lower revision: the publication may still take effect.
    NoLongerRecorded, ///< Too many publications followed: the head no longer records it.
};

/// Determines the outcome from a head read after the write. A stale head never gives a wrong outcome.
PublicationOutcome resolvePublication(const ConfigHead &observedHead, const ConfigHead &plannedHead);

/// What a VM does with a head that it received.
struct HeadDecision
{
    enum class Action {
        Ignore, ///< The revision is not higher than the one in force.
        Fetch, ///< Some chunks are missing.
        Apply, ///< All chunks are available locally.
    };
    Action action = Action::Ignore;
    std::vector<std::string> missing; ///< Hashes of the chunks to fetch.
};

HeadDecision decideHeadAction(Revision current, const ConfigHead &head, const ChunkTexts &localChunks);

/// Removes the chunks that the head does not reference.
void pruneChunks(ChunkTexts &localChunks, const ConfigHead &head);

} // namespace hickoryshore
