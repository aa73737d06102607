// Deletes chunks and history entries of old configurations from the platform's service.
#pragma once

#include "hickoryshore/config/sweep.h"
#include "hickoryshore/ctl/publisher.h"

namespace hickoryshore {

/// How a sweep ended.
enum class SweepResult {
    Done, ///< All that was chosen is deleted, but for keys that were written meanwhile.
    NothingToDo,
    Busy, ///< Other publications or sweeps kept coming first; nothing was deleted.
    Unavailable, ///< The service gave no answer; some keys may be deleted.
};

struct SweepOutcome
{
    SweepResult result = SweepResult::NothingToDo;
    std::size_t chunksRemoved = 0;
    std::size_t historyRemoved = 0;
};

/// Deletes what planSweep() chooses. It never deletes a chunk that the head names, or will name, whatever publishers
/// and other sweeps do meanwhile and however long this one is paused:
///
/// 1. It reads the index of each chunk that it chose, then raises `sweeps` in the head by compare-and-swap.
/// 2. A publication that began before that fails to swap the head, so it begins again.
/// 3. One that begins later writes all its chunks anew, so that their index moves and the deletion fails.
///
/// Throws std::invalid_argument where the head is damaged.
///
///     const SweepOutcome outcome = sweepConfiguration(configStoreOf(client), {.keepRevisions = 128});
SweepOutcome sweepConfiguration(const ConfigStore &store, const SweepSettings &settings = {});

} // namespace hickoryshore
