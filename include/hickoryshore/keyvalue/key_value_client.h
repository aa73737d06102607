// The platform's key-value service and VM list, spoken to over HTTP in the style of Consul's published interface.
#pragma once

#include "hickoryshore/base/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// Where the service is, and how long one call may take.
struct PlatformSettings
{
    std::string address = "127.0.0.1";
    int port = 0;
    Duration timeout{std::chrono::milliseconds(500)};
};

/// A value and the index of its last change, which a compare-and-swap names.
struct StoredValue
{
    std::string value;
    std::uint64_t modifyIndex = 0;
};

/// What became of a write. Unknown: the reply was lost, the write may have taken effect.
enum class WriteResult { Applied, Conflict, Unknown };

/// A VM as the platform's list names it; the list lags.
struct ListedVm
{
    std::string vm;
    std::string address; ///< "ip:membershipPort"
    bool leaving = false;
};

/// The services whose VMs the platform lists.
inline constexpr std::string_view entryVmService = "hickoryshore";
inline constexpr std::string_view upstreamVmService = "upstream";

/// Thrown when the service gave no answer and the call certainly had no effect or was a read.
class PlatformError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A blocking client; each call may come from another thread, and uses a connection of its own.
class KeyValueClient
{
public:
    explicit KeyValueClient(PlatformSettings settings);
    ~KeyValueClient();
    KeyValueClient(const KeyValueClient &) = delete;
    KeyValueClient &operator=(const KeyValueClient &) = delete;

    /// Reads a key; nothing where it does not exist. Throws PlatformError.
    std::optional<StoredValue> get(std::string_view key);

    /// Writes a key if its index still is `expectedIndex` (zero: if it does not exist). Throws PlatformError only
    /// where the write certainly had no effect: the service was not reached, or it refused the request.
    WriteResult compareAndSwap(std::string_view key, std::string_view value, std::uint64_t expectedIndex);

    /// Removes a key if its index still is `expectedIndex`. Throws as compareAndSwap() does.
    WriteResult removeIfUnchanged(std::string_view key, std::uint64_t expectedIndex);

    /// Lists the keys that start with the prefix, in no order. Counts as one read. Throws PlatformError.
    std::vector<std::string> listKeys(std::string_view prefix);

    /// Waits until the key's index differs from `knownIndex`, at most `longestWait`; returns its value then.
    /// Counts as one call to the service. It may return early, so callers pause between two calls that bring
    /// nothing new. Throws PlatformError.
    std::optional<StoredValue> waitForChange(std::string_view key, std::uint64_t knownIndex, Duration longestWait);

    /// Reads the list of live and leaving VMs that run this service. Throws PlatformError.
    std::vector<ListedVm> listVms(std::string_view service);

private:
    struct Connections;
    PlatformSettings settings;
    std::unique_ptr<Connections> connections;
};

} // namespace hickoryshore
