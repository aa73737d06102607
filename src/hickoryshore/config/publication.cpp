#include "hickoryshore/config/publication.h"

#include "hickoryshore/config/canonical_form.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace hickoryshore {

namespace {

using nlohmann::json;

constexpr std::size_t maxChunkBytes = std::size_t{512} * 1024;
constexpr std::size_t shardsPerChunk = 256;
constexpr std::size_t maxRecentPublishIds = 128;

/// Separates a stored chunk's text from its suffix. Chunk texts are JSON without line breaks, so they never contain it.
constexpr char endOfText = '\n';

std::string summary(const std::vector<DeclarationFault> &faults)
{
    const std::string first = faults.empty() ? std::string("unknown") : formatFault(faults.front());
    return "inconsistent deployment (" + std::to_string(faults.size()) + " faults), first: " + first;
}

void appendChunks(const std::string &name, std::string_view text, std::vector<ConfigChunk> &chunks)
{
    for (std::size_t start = 0; start < text.size(); start += maxChunkBytes) {
        std::string piece(text.substr(start, maxChunkBytes));
        std::string hash = chunkHash(piece);
        chunks.push_back({name, std::move(hash), std::move(piece)});
    }
}

template<typename Object>
void appendKind(const char *kind, const std::vector<Object> &objects, std::vector<ConfigChunk> &chunks)
{
    nlohmann::ordered_json array = nlohmann::ordered_json::array();
    for (const Object &object : objects) {
        array.push_back(canonicalForm(object));
    }
    if (!array.empty()) {
        appendChunks(kind, array.dump(), chunks);
    }
}

/// Splits the text of an index between shards, so that a change to one shard changes only its own chunk.
void appendIndex(const Index &index, std::vector<ConfigChunk> &chunks)
{
    constexpr std::string_view end = "]}";
    const std::string name = "Index/" + index.name.value;
    Index withoutShards = index;
    withoutShards.shards.clear();
    std::string text = canonicalForm(withoutShards).dump();
    text.resize(text.size() - end.size());
    for (std::size_t number = 0; number < index.shards.size(); ++number) {
        if (number > 0 && number % shardsPerChunk == 0) {
            appendChunks(name, text, chunks);
            text.clear();
        }
        text += (number > 0 ? "," : "") + canonicalForm(index.shards[number]).dump();
    }
    text += end;
    appendChunks(name, text, chunks);
}

std::vector<ChunkReference> referencesTo(std::span<const ConfigChunk> chunks)
{
    std::vector<ChunkReference> references;
    for (const ConfigChunk &chunk : chunks) {
        references.push_back({chunk.name, chunk.hash});
    }
    return references;
}

bool headContainsChunk(const ConfigHead &head, std::string_view hash)
{
    return std::ranges::find(head.chunks, hash, &ChunkReference::hash) != head.chunks.end();
}

/// The text of a kind or an index in canonical form, joined from its chunks.
struct NamedText
{
    std::string name;
    std::string text;
};

std::vector<NamedText> joinChunks(const ConfigHead &head, const ChunkTexts &chunks)
{
    std::vector<NamedText> texts;
    for (const ChunkReference &reference : head.chunks) {
        const auto chunk = chunks.find(reference.hash);
        if (chunk == chunks.end() || chunkHash(chunk->second) != reference.hash) {
            throw InconsistentDeployment(
                {{.file = reference.name, .problem = "the chunk " + reference.hash + " is missing or damaged"}});
        }
        if (texts.empty() || texts.back().name != reference.name) {
            texts.push_back({reference.name, {}});
        }
        texts.back().text += chunk->second;
    }
    return texts;
}

} // namespace

std::string configChunkKey(std::string_view hash)
{
    return std::string(configChunkPrefix) + std::string(hash);
}

std::string configHistoryKey(Revision revision)
{
    return std::string(configHistoryPrefix) + std::to_string(revision.value);
}

InconsistentDeployment::InconsistentDeployment(std::vector<DeclarationFault> faults)
    : std::runtime_error(summary(faults)), faults(std::move(faults))
{ }

std::string chunkHash(std::string_view text)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hash;
    for (const unsigned char byte : canonical.digest) {
        hash += digits[byte >> 4U];
        hash += digits[byte & 0xfU];
    }
    return hash;
}

std::string formatStoredChunk(std::string_view text, std::string_view suffix)
{
    return std::string(text) + endOfText + std::string(suffix);
}

std::string_view parseStoredChunk(std::string_view stored)
{
    return stored.substr(0, stored.find(endOfText));
}

std::vector<ConfigChunk> splitIntoChunks(const Deployment &deployment)
{
    std::vector<ConfigChunk> chunks;
    appendKind("Caller", deployment.callers, chunks);
    appendKind("DataCentre", deployment.dataCentres, chunks);
    appendKind("Policy", deployment.policies, chunks);
    for (const Index &index : deployment.indexes) {
        appendIndex(index, chunks);
    }
    return chunks;
}

Deployment assembleDeployment(const ConfigHead &head, const ChunkTexts &chunks)
{
    const std::vector<NamedText> texts = joinChunks(head, chunks);
    std::vector<DeclarationFile> files;
    for (const NamedText &text : texts) {
        files.push_back({text.name, text.text});
    }
    ParsedDeclarations parsed = parseDeclarations(files);
    if (!parsed.faults.empty()) {
        throw InconsistentDeployment(std::move(parsed.faults));
    }
    parsed.deployment.revision = head.revision;
    return std::move(parsed.deployment);
}

std::string formatConfigHead(const ConfigHead &head)
{
    json chunks = json::array();
    for (const ChunkReference &chunk : head.chunks) {
        chunks.push_back({{"name", chunk.name}, {"hash", chunk.hash}});
    }
    json recentPublishIds = json::array();
    for (const PublishId &publishId : head.recentPublishIds) {
        recentPublishIds.push_back(publishId.value);
    }
    const json object{{"revision", head.revision.value},
                      {"publishId", head.publishId.value},
                      {"author", head.author},
                      {"timeMs", head.time.milliseconds},
                      {"chunks", std::move(chunks)},
                      {"recent", std::move(recentPublishIds)},
                      {"sweeps", head.sweeps}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

ConfigHead parseConfigHead(std::string_view text)
{
    try {
        const json object = json::parse(text);
        ConfigHead head;
        head.revision.value = object.at("revision").get<std::uint64_t>();
        head.publishId.value = object.at("publishId").get<std::string>();
        head.author = object.at("author").get<std::string>();
        head.time.milliseconds = object.at("timeMs").get<std::int64_t>();
        for (const json &chunk : object.at("chunks")) {
            head.chunks.push_back({chunk.at("name").get<std::string>(), chunk.at("hash").get<std::string>()});
        }
        for (const json &publishId : object.at("recent")) {
            head.recentPublishIds.push_back({publishId.get<std::string>()});
        }
        head.sweeps = object.value("sweeps", std::uint64_t{0});
        return head;
    } catch (const json::exception &error) {
        throw std::invalid_argument(std::string("malformed configuration head: ") + error.what());
    }
}

PublicationPlan planPublication(const std::optional<ConfigHead> &current,
                                const Deployment &deployment,
                                const PublicationRequest &request)
{
    std::vector<ConfigChunk> chunks = splitIntoChunks(deployment);
    const ConfigHead previousHead = current.value_or(ConfigHead{});
    PublicationPlan plan;
    plan.head = {.revision = {previousHead.revision.value + 1},
                 .publishId = request.publishId,
                 .author = request.author,
                 .time = request.time,
                 .chunks = referencesTo(chunks),
                 .recentPublishIds = previousHead.recentPublishIds,
                 .sweeps = previousHead.sweeps};
    plan.head.recentPublishIds.push_back(request.publishId);
    if (plan.head.recentPublishIds.size() > maxRecentPublishIds) {
        plan.head.recentPublishIds.erase(plan.head.recentPublishIds.begin());
    }
    plan.unchanged = current.has_value() && current->chunks == plan.head.chunks;
    ChunkTexts texts;
    for (const ConfigChunk &chunk : chunks) {
        texts[chunk.hash] = chunk.text;
    }
    assembleDeployment(plan.head, texts);
    std::erase_if(chunks, [&previousHead](const ConfigChunk &chunk) {
        return headContainsChunk(previousHead, chunk.hash);
    });
    plan.chunks = std::move(chunks);
    return plan;
}

PublicationOutcome resolvePublication(const ConfigHead &observedHead, const ConfigHead &plannedHead)
{
    if (std::ranges::find(observedHead.recentPublishIds, plannedHead.publishId)
        != observedHead.recentPublishIds.end()) {
        return PublicationOutcome::Applied;
    }
    if (observedHead.revision < plannedHead.revision) {
        return PublicationOutcome::Pending;
    }
    const std::uint64_t recordedRevisions = observedHead.recentPublishIds.size();
    return observedHead.revision.value - plannedHead.revision.value < recordedRevisions
        ? PublicationOutcome::NotApplied
        : PublicationOutcome::NoLongerRecorded;
}

HeadDecision decideHeadAction(Revision current, const ConfigHead &head, const ChunkTexts &localChunks)
{
    HeadDecision decision;
    if (head.revision <= current) {
        return decision;
    }
    std::set<std::string_view> missing;
    for (const ChunkReference &chunk : head.chunks) {
        if (!localChunks.contains(chunk.hash)) {
            missing.insert(chunk.hash);
        }
    }
    decision.missing.assign(missing.begin(), missing.end());
    decision.action = missing.empty() ? HeadDecision::Action::Apply : HeadDecision::Action::Fetch;
    return decision;
}

void pruneChunks(ChunkTexts &localChunks, const ConfigHead &head)
{
    std::erase_if(localChunks, [&head](const auto &chunk) {
        return !headContainsChunk(head, chunk.first);
    });
}

} // namespace hickoryshore
