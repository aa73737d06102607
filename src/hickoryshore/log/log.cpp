#include "hickoryshore/log/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <climits>
#include <ctime>
#include <memory>
#include <mutex>

#include <log4cplus/config.hxx>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

/// The fields that are the same on every line.
struct LogIdentity
{
    std::string vm;
    std::string dataCentre;
};

LogIdentity &identity()
{
    static LogIdentity value;
    return value;
}

/// Writes the message as it is: it is a JSON object already.
class LineLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &output, const log4cplus::spi::InternalLoggingEvent &event) override
    {
        output << event.getMessage() << '\n';
    }
};

std::atomic<std::uint64_t> &dropped()
{
    static std::atomic<std::uint64_t> count = 0;
    return count;
}

/// Writes to standard output as long as it takes lines at once, and only so many in a second.
class BoundedAppender : public log4cplus::Appender
{
public:
    void close() override
    {
        this->closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const auto now = std::chrono::steady_clock::now();
        const double seconds = std::chrono::duration<double>(now - this->refilled).count();
        this->tokens = std::min(logLinesPerSecond, this->tokens + seconds * logLinesPerSecond);
        this->refilled = now;
        const std::string line = event.getMessage() + '\n';
        // A pipe that is ready takes PIPE_BUF bytes without blocking; a longer line could wait for its reader.
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        const bool ready = this->tokens >= 1.0 && line.size() <= PIPE_BUF && poll(&output, 1, 0) == 1
            && (output.revents & POLLOUT) != 0;
        if (!ready || write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++dropped();
            return;
        }
        this->tokens -= 1.0;
    }

private:
    double tokens = logLinesPerSecond;
    std::chrono::steady_clock::time_point refilled = std::chrono::steady_clock::now();
};

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("hickoryshore"));
}

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warn:
        return "warn";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

LogLevel parseLevel(std::string_view name)
{
    for (const LogLevel level : {LogLevel::Debug, LogLevel::Info, LogLevel::Warn}) {
        if (levelName(level) == name) {
            return level;
        }
    }
    return LogLevel::Error;
}

std::string currentTime()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto micros
        = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() % 1'000'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(micros);
    fraction.insert(0, 6 - fraction.size(), '0');
    return std::string(text.data(), length) + '.' + fraction + 'Z';
}

} // namespace

void startLogging(std::string_view vm, std::string_view dataCentre, std::string_view leastLevel, LogOutput output)
{
    static const log4cplus::Initializer initializer;
    identity() = {std::string(vm), std::string(dataCentre)};
    if (output == LogOutput::BoundedOutput) {
        // The pool serves asynchronous appenders, of which there is none.
        log4cplus::setThreadPoolSize(0);
        logger().addAppender(log4cplus::SharedAppenderPtr(new BoundedAppender));
    } else {
        log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
        appender->setLayout(std::make_unique<LineLayout>());
        logger().addAppender(appender);
    }
    logger().setAdditivity(false);
    logger().setLogLevel(toLog4cplus(parseLevel(leastLevel)));
}

void writeLog(const LogEvent &event)
{
    if (!isLogged(event.level)) {
        return;
    }
    nlohmann::ordered_json line;
    line["time"] = currentTime();
    line["level"] = levelName(event.level);
    line["vm"] = identity().vm;
    line["dataCentre"] = identity().dataCentre;
    line["slice"] = event.slice;
    line["event"] = event.event;
    if (!event.requestId.empty()) {
        line["requestId"] = event.requestId;
    }
    if (event.resultCode.has_value()) {
        line["resultCode"] = static_cast<int>(*event.resultCode);
        line["result"] = resultCodeInfo(*event.resultCode).name;
    }
    if (!event.detail.empty()) {
        line["detail"] = event.detail;
    }
    for (const LogField &field : event.fields) {
        line[std::string(field.name)] = field.value;
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    logger().forcedLog(toLog4cplus(event.level), text);
}

std::uint64_t droppedLogLines()
{
    return dropped();
}

bool isLogged(LogLevel level)
{
    return logger().isEnabledFor(toLog4cplus(level));
}

} // namespace hickoryshore
