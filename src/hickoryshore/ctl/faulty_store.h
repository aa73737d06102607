// A store in memory for tests of publishers and sweepers, with lost and late writes and stale reads.
#pragma once

#include "hickoryshore/ctl/publisher.h"

#include <map>
#include <utility>

namespace hickoryshore {

/// A conditional write, or a removal where there is no value.
struct ConditionalWrite
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t expectedIndex = 0;
};

/// A store with compare-and-swap, whose faults the random hook chooses. Like some services, it leaves the index as it
/// is where a write stores the value that is there already. Another order of calls with the same numbers gives another
/// run, so the caller's hook decides whether a failure can be repeated.
struct FaultyStore
{
    using State = std::optional<StoredValue>; ///< Nothing: removed.

    std::function<int(int)> random; ///< Returns a number from 0 up to, but not including, the argument.
    std::function<void()> beforeCall = [] {}; ///< Lets others run.
    std::function<void()> onChange = [] {}; ///< After each write that took effect.
    std::map<std::string, std::vector<State>, std::less<>> versions; ///< All states of each key, oldest first.
    std::vector<ConditionalWrite> delayed;
    std::uint64_t lastIndex = 0;
    int faultPercent = 100; ///< Share of the calls to which a fault may happen.

    /// Returns the state now, whatever reads may answer.
    State current(std::string_view key) const;

    /// Returns the keys with a value now.
    std::vector<std::string> currentKeys(std::string_view prefix) const;

    /// Returns whether the write took effect.
    bool apply(const ConditionalWrite &write);

    /// Lets the writes take effect whose replies were lost before.
    void applyDelayed();

    State get(std::string_view key);
    WriteResult write(const ConditionalWrite &write);
    std::vector<std::string> listKeys(std::string_view prefix);

    /// Returns the calls of publishers and sweepers.
    ConfigStore hooks();

    /// Returns all heads that were ever in force, oldest first.
    std::vector<ConfigHead> allHeads() const;

private:
    bool mayFail();
    State staleState(const std::vector<State> &states);
};

} // namespace hickoryshore
