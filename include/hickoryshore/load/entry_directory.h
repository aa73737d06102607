// The entry VMs' addresses, as the system itself tells them.
#pragma once

#include "hickoryshore/base/time.h"

#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// An answer of GET /v1/entry-points.
struct ReceivedEntryPoints
{
    std::vector<std::string> addresses; ///< "ip:port" each.
    Duration timeToLive{0};
};

/// Parses the JSON of an answer of GET /v1/entry-points. Throws std::invalid_argument.
ReceivedEntryPoints parseEntryPoints(std::string_view text);

/// Keeps the addresses for their time to live and picks one for each query. From any thread.
///
///     EntryDirectory directory("127.0.0.1:18700", 1);
///     std::string address = directory.pick(now);
class EntryDirectory
{
public:
    /// `firstEntry` is asked while no other address is known.
    EntryDirectory(std::string firstEntry, std::uint64_t seed);

    /// Returns an address at random; asks the system first where the time to live is over. An answer that cannot be
    /// had is tried for again a second later; meanwhile the old addresses serve.
    std::string pick(Instant now);

    /// Forgets an address that cannot be reached, until the next answer names it.
    void forget(std::string_view address);

private:
    void refresh(Instant now);

    std::mutex mutex;
    std::string firstEntry;
    std::mt19937_64 random;
    std::vector<std::string> addresses;
    Instant validUntil;
};

} // namespace hickoryshore
