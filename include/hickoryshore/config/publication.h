// How a deployment is published: chunks under their content hash, and one head that names the chunks in force.
//
// The head alone is changed by compare-and-swap, so a publication takes effect whole or not at all.
#pragma once

#include "hickoryshore/config/declarations.h"

#include <map>
#include <optional>
#include <stdexcept>

namespace hickoryshore {

/// Identifies one attempt to publish; random, chosen by the publisher.
using PublishId = NameId<struct PublishTag>;

/// The keys in the platform's service.
inline constexpr std::string_view configHeadKey = "hickoryshore/config/head";
inline constexpr std::string_view configChunkPrefix = "hickoryshore/config/chunks/";
inline constexpr std::string_view configHistoryPrefix = "hickoryshore/config/history/";
std::string configChunkKey(std::string_view hash);
std::string configHistoryKey(Revision revision);

/// A piece of the deployment's canonical form, at most 512 KB long.
struct ConfigChunk
{
    std::string name; ///< What it holds, for instance "Index/tablero-vivo"; the pieces of a long text share it.
    std::string hash; ///< Of the text: XXH3, 128 bits, in hexadecimal.
    std::string text;
};

/// Names a chunk without its text.
struct ChunkReference
{
    std::string name;
    std::string hash;

    bool operator==(const ChunkReference &) const = default;
};

/// What is in force: the revision and its chunks, in order.
struct ConfigHead
{
    Revision revision;
    PublishId publishId;
    std::string author;
    WallTime time;
    std::vector<ChunkReference> chunks;
    std::vector<PublishId> recent; ///< The latest publications, oldest first; the last one is publishId.
    std::uint64_t sweeps = 0; ///< Raised before old chunks are deleted; nothing else of a head changes with it.

    bool operator==(const ConfigHead &) const = default;
};

/// Thrown where a set of declarations or chunks is inconsistent.
class InconsistentDeployment : public std::runtime_error
{
public:
    explicit InconsistentDeployment(std::vector<DeclarationFault> faults);

    std::vector<DeclarationFault> faults;
};

/// Texts of chunks by their hash.
using ChunkTexts = std::map<std::string, std::string, std::less<>>;

/// Returns the hash under which a chunk with this text is stored.
std::string chunkHash(std::string_view text);

/// Returns what is stored for a chunk. Another mark makes it another value, so that writing it again moves the key's
/// index whatever the service does about equal values.
std::string formatStoredChunk(std::string_view text, std::string_view mark);

/// Returns the text of a stored chunk, without its mark.
std::string_view parseStoredChunk(std::string_view stored);

/// Returns the deployment as chunks: one for the objects of each small kind, and one for each 256 shards of an index.
std::vector<ConfigChunk> splitIntoChunks(const Deployment &deployment);

/// Puts a deployment together again and checks the whole set. Throws InconsistentDeployment, also where a chunk is
/// missing or does not match its hash.
Deployment assembleDeployment(const ConfigHead &head, const ChunkTexts &chunks);

std::string formatConfigHead(const ConfigHead &head);

/// Throws std::invalid_argument.
ConfigHead parseConfigHead(std::string_view text);

/// Who publishes, and when.
struct PublicationRequest
{
    PublishId publishId;
    std::string author;
    WallTime time;
};

/// What has to be written to publish: first the chunks, then the head.
struct PublicationPlan
{
    ConfigHead head;
    std::vector<ConfigChunk> chunks; ///< Those that the current head does not name.
    bool unchanged = false; ///< The deployment is the one in force; there is nothing to write.
};

/// Throws InconsistentDeployment: nothing that a VM would refuse is ever published.
PublicationPlan planPublication(const std::optional<ConfigHead> &current,
                                const Deployment &deployment,
                                const PublicationRequest &request);

/// What became of a publication whose reply was lost.
enum class PublicationOutcome {
    Applied, ///< It took effect.
    NotApplied, ///< It did not and never will, since another one took its revision.
    Pending, ///< The head has not reached its revision: it may still take effect.
    NoLongerRecorded, ///< So many publications followed that the head no longer tells.
};

/// Judges by a head that was read after the write. A head that is stale never leads to a wrong answer.
PublicationOutcome resolvePublication(const ConfigHead &seen, const ConfigHead &planned);

/// What a VM does about a head that it heard of.
struct HeadDecision
{
    enum class Action {
        Ignore, ///< The revision is not higher than the one in force.
        Fetch, ///< Some chunks are missing.
        Apply, ///< All chunks are at hand.
    };
    Action action = Action::Ignore;
    std::vector<std::string> missing; ///< The hashes to fetch.
};

HeadDecision decideHeadAction(Revision current, const ConfigHead &head, const ChunkTexts &held);

/// Forgets the chunks that the head does not name.
void pruneChunks(ChunkTexts &held, const ConfigHead &head);

} // namespace hickoryshore
