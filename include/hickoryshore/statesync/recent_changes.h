// Remembers which keys changed lately, so that a peer that is a little behind needs no whole listing.
//
//     RecentChanges changes;
//     changes.restart(asOf);
//     changes.record("a", 12);
//     if (changes.reachesBackTo(10)) { changes.after(10); }  // a at 12
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickoryshore {

/// The latest change of each of the keys that changed last. Not thread-safe.
///
/// Holds no values: whoever holds the state reads them there. The memory therefore depends on neither the size of the
/// values nor how often one key changes.
class RecentChanges
{
public:
    /// Number of keys that are remembered. A peer that misses more of them lists everything.
    static constexpr std::size_t maxKeys = 512;

    struct Change
    {
        std::string key;
        std::uint64_t revision = 0;
    };

    /// Forgets all changes. Later ones are those after this revision.
    void restart(std::uint64_t revision);

    /// Records a change, which replaces earlier ones of the same key.
    void record(std::string_view key, std::uint64_t revision);

    /// Returns whether all changes after this revision are remembered.
    bool reachesBackTo(std::uint64_t revision) const;

    /// Returns the changes after this revision, in the order of their revisions.
    std::vector<Change> after(std::uint64_t revision) const;

private:
    std::map<std::string, std::uint64_t, std::less<>> revisions; ///< By key.
    std::set<std::pair<std::uint64_t, std::string>> ordered; ///< The same by revision.
    std::uint64_t start = 0;
};

} // namespace hickoryshore
