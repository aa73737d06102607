#include "hickoryshore/ctl/publisher.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace hickoryshore {

namespace {

constexpr int mostAttempts = 5;
constexpr std::chrono::milliseconds pauseBetweenAttempts(200);

/// Stores a value that never changes under its key. Returns false where that could not be made certain.
bool createIfAbsent(const ConfigStore &store, const std::string &key, std::string_view value)
{
    for (int attempt = 0; attempt < mostAttempts; ++attempt) {
        try {
            if (store.compareAndSwap(key, value, 0) != WriteResult::Unknown) {
                return true;
            }
        } catch (const PlatformError &) {
            // Surely not written; tried again like a lost reply.
        }
        store.pause();
    }
    return false;
}

/// Stores a chunk, also where it is stored already: its index moves, so that a sweep that chose it before does not
/// delete it. Returns false where that could not be made certain.
bool writeAnew(const ConfigStore &store, const std::string &key, std::string_view value)
{
    std::uint64_t expectedIndex = 0;
    for (int attempt = 0; attempt < mostAttempts; ++attempt) {
        try {
            const WriteResult result = store.compareAndSwap(key, value, expectedIndex);
            if (result == WriteResult::Applied) {
                return true;
            }
            if (result == WriteResult::Conflict) {
                const std::optional<StoredValue> stored = store.get(key);
                if (stored.has_value() && stored->value == value) {
                    return true; // By an attempt whose reply was lost: nobody else writes this mark.
                }
                expectedIndex = stored.value_or(StoredValue{}).modifyIndex;
                if (attempt == 0) {
                    continue; // Chunks of an older revision are the usual case, and not worth a pause.
                }
            }
        } catch (const PlatformError &) {
            // Surely not written by this attempt.
        }
        store.pause();
    }
    return false;
}

/// How a swap of the head ended.
struct SwapOutcome
{
    PublishResult result = PublishResult::Unavailable;
    std::optional<CurrentHead> swept; ///< A sweep moved the head: the publication may begin again on this one.
};

/// Reads the head until it tells what became of a swap that expected this index. `undecided` is the result where the
/// head does not tell.
SwapOutcome resolveByReading(const ConfigStore &store,
                             std::uint64_t expectedIndex,
                             const ConfigHead &planned,
                             PublishResult undecided)
{
    for (int attempt = 0; attempt < mostAttempts; ++attempt) {
        try {
            const std::optional<CurrentHead> seen = readCurrentHead(store);
            switch (resolvePublication(seen.value_or(CurrentHead{}).head, planned)) {
            case PublicationOutcome::Applied:
                return {PublishResult::Applied, std::nullopt};
            case PublicationOutcome::NotApplied:
                return {PublishResult::Conflict, std::nullopt};
            case PublicationOutcome::NoLongerRecorded:
                return {undecided, std::nullopt};
            case PublicationOutcome::Pending:
                break;
            }
            // A head past the expected index and below the planned revision: the swap can never take effect.
            if (seen.has_value() && seen->modifyIndex > expectedIndex) {
                return {PublishResult::Unavailable, seen};
            }
        } catch (const PlatformError &) {
            // Read again below.
        }
        // A stale read: the head has moved, or the compare-and-swap had not failed.
        store.pause();
    }
    return {undecided, std::nullopt};
}

/// Swaps the head. The same swap may be sent again after a lost reply, since it can take effect only once.
SwapOutcome swapHead(const ConfigStore &store, std::uint64_t expectedIndex, const ConfigHead &planned)
{
    const std::string text = formatConfigHead(planned);
    bool mayHaveTakenEffect = false;
    for (int attempt = 0; attempt < mostAttempts; ++attempt) {
        try {
            const WriteResult result = store.compareAndSwap(configHeadKey, text, expectedIndex);
            if (result == WriteResult::Applied) {
                return {PublishResult::Applied, std::nullopt};
            }
            if (result == WriteResult::Conflict) {
                const PublishResult undecided = mayHaveTakenEffect ? PublishResult::Unknown : PublishResult::Conflict;
                return resolveByReading(store, expectedIndex, planned, undecided);
            }
            mayHaveTakenEffect = true;
        } catch (const PlatformError &) {
            // Surely not written by this attempt.
        }
        store.pause();
    }
    if (!mayHaveTakenEffect) {
        return {};
    }
    return resolveByReading(store, expectedIndex, planned, PublishResult::Unknown);
}

/// Writes all that the head will name and does not name yet. Returns false where that could not be made certain.
bool writeChunks(const ConfigStore &store,
                 const std::optional<ConfigHead> &current,
                 const PublicationPlan &plan,
                 std::string_view mark)
{
    // A publisher that ended too early may have left out the history of its own revision.
    if (current.has_value()
        && !createIfAbsent(store, configHistoryKey(current->revision), formatConfigHead(*current))) {
        return false;
    }
    return std::ranges::all_of(plan.chunks, [&](const ConfigChunk &chunk) {
        return writeAnew(store, configChunkKey(chunk.hash), formatStoredChunk(chunk.text, mark));
    });
}

} // namespace

ConfigStore configStoreOf(KeyValueClient &client)
{
    return {.get =
                [&client](std::string_view key) {
                    return client.get(key);
                },
            .compareAndSwap =
                [&client](std::string_view key, std::string_view value, std::uint64_t expectedIndex) {
                    return client.compareAndSwap(key, value, expectedIndex);
                },
            .remove =
                [&client](std::string_view key, std::uint64_t expectedIndex) {
                    return client.removeIfUnchanged(key, expectedIndex);
                },
            .listKeys =
                [&client](std::string_view prefix) {
                    return client.listKeys(prefix);
                },
            .pause =
                [] {
                    std::this_thread::sleep_for(pauseBetweenAttempts);
                }};
}

std::optional<CurrentHead> readCurrentHead(const ConfigStore &store)
{
    const std::optional<StoredValue> stored = store.get(configHeadKey);
    if (!stored.has_value()) {
        return std::nullopt;
    }
    return CurrentHead{parseConfigHead(stored->value), stored->modifyIndex};
}

Deployment readDeployment(const ConfigStore &store, const ConfigHead &head)
{
    ChunkTexts texts;
    for (const ChunkReference &chunk : head.chunks) {
        const std::optional<StoredValue> stored = store.get(configChunkKey(chunk.hash));
        if (stored.has_value()) {
            texts[chunk.hash] = parseStoredChunk(stored->value);
        }
    }
    return assembleDeployment(head, texts);
}

PublishOutcome publishDeployment(const ConfigStore &store,
                                 const std::optional<CurrentHead> &base,
                                 const Deployment &deployment,
                                 const PublicationRequest &request)
{
    std::optional<CurrentHead> current = base;
    PublishOutcome outcome;
    for (int attempt = 0; attempt < mostAttempts; ++attempt) {
        const std::optional<ConfigHead> head = current.has_value() ? std::optional(current->head) : std::nullopt;
        const PublicationPlan plan = planPublication(head, deployment, request);
        if (plan.unchanged) {
            return {PublishResult::Unchanged, head->revision};
        }
        outcome = {PublishResult::Unavailable, plan.head.revision};
        if (!writeChunks(store, head, plan, request.publishId.value + '/' + std::to_string(attempt))) {
            return outcome;
        }
        const SwapOutcome swap = swapHead(store, current.value_or(CurrentHead{}).modifyIndex, plan.head);
        outcome.result = swap.result;
        if (swap.result == PublishResult::Applied) {
            createIfAbsent(store, configHistoryKey(plan.head.revision), formatConfigHead(plan.head));
        }
        if (!swap.swept.has_value()) {
            return outcome;
        }
        current = swap.swept;
    }
    return outcome;
}

} // namespace hickoryshore
