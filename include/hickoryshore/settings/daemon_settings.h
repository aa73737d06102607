// The settings of one daemon: its addresses, its place and the platform's address. JSON with comments.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// All settings of hickoryshored. docs/SETTINGS.md lists every key with its unit and range.
struct DaemonSettings
{
    VmId vm;
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP number at which others reach the VM.
    std::string bindAddress; ///< IP number on which the VM listens; the same unless addresses are translated.
    int httpPort = 0;
    int peerPort = 0;
    int membershipPort = 0;
    std::string platformAddress;
    int platformPort = 0;
    Duration platformTimeout{std::chrono::milliseconds(500)};
    std::vector<std::string> seeds; ///< "ip:membershipPort" of other VMs, tried beside the platform's list.
    int callerThreads = 128; ///< Kept-alive callers served at once.
    int queryLimit = 4096; ///< Queries in flight before further ones are refused.
    Duration longestDeadline{std::chrono::seconds(60)};
    Duration entryPointsTimeToLive{std::chrono::seconds(5)};
    Duration shutdownLimit{std::chrono::seconds(20)};
    Duration configurationPoll{std::chrono::seconds(60)}; ///< Of VMs that do not watch the platform.
    int ledgerGroupLimit = 1000; ///< Intents and outcomes in one write of the ledger; 1 switches group commit off.
    std::string logLevel = "info";
};

/// One fault of a settings file.
struct SettingsFault
{
    std::string path; ///< JSON pointer of the key, or "line N, column M" for a syntax error.
    std::string problem;
    std::string allowed;
};

/// Thrown with every fault of a settings file at once.
class SettingsError : public std::runtime_error
{
public:
    SettingsError(std::string_view file, std::vector<SettingsFault> faults);

    std::vector<SettingsFault> faults;
};

/// Parses the text of a settings file; `file` is its name for the messages. Throws SettingsError.
DaemonSettings parseDaemonSettings(std::string_view file, std::string_view text);

/// Reads and parses a settings file. Throws SettingsError, also where the file cannot be read.
DaemonSettings readDaemonSettings(const std::string &file);

} // namespace hickoryshore
