// Structured logs: one JSON object a line on standard error or standard output, through log4cplus.
#pragma once

#include "hickoryshore/result/result_code.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

enum class LogLevel { Debug, Info, Warn, Error };

/// An input that decided something, or a value that a line tells.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// One line of the log. Empty fields are left out.
struct LogEvent
{
    LogLevel level = LogLevel::Info;
    std::string_view slice; ///< The module that tells, for instance "membership".
    std::string_view event; ///< A short name that never changes, for instance "memberDead".
    std::string_view requestId;
    std::optional<ResultCode> resultCode;
    std::string detail;
    std::vector<LogField> fields;
};

/// Where the lines go. BoundedOutput is standard output without ever waiting for its reader: lines that it does not
/// take, and those beyond the bound, are dropped and counted.
enum class LogOutput { StandardError, BoundedOutput };

/// Lines of BoundedOutput in a second, on average and at once. A line costs some 20 us of processor time, so that this
/// is at most half a percent of a core.
inline constexpr double logLinesPerSecond = 200;

/// Sets the VM and data centre that every line names, and the least level that is written ("debug", "info", "warn"
/// or "error"). Call it once, before other threads start.
void startLogging(std::string_view vm,
                  std::string_view dataCentre,
                  std::string_view leastLevel,
                  LogOutput output = LogOutput::StandardError);

/// Writes one line. Thread-safe. Lines for each request belong to LogLevel::Debug.
void writeLog(const LogEvent &event);

/// Lines of BoundedOutput that were dropped since the start.
std::uint64_t droppedLogLines();

/// Whether lines of this level are written at all.
bool isLogged(LogLevel level);

} // namespace hickoryshore
