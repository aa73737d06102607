// A process that a test started; it is ended by its id at the latest when the object goes.
#pragma once

#include "hickoryshore/base/time.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::process {
class child;
} // namespace boost::process

namespace hickoryshore {

class TestProcess
{
public:
    /// Starts the program. Its output goes to `logFile`. `environment` is added to that of this process.
    TestProcess(const std::string &program,
                const std::vector<std::string> &arguments,
                const std::string &logFile,
                const std::map<std::string, std::string> &environment = {});
    ~TestProcess();
    TestProcess(TestProcess &&) noexcept;
    TestProcess &operator=(TestProcess &&) noexcept;

    int id() const;

    /// Sends a signal, for instance SIGSTOP.
    void signal(int number) const;

    /// Ends the process at once (SIGKILL) and waits for its end.
    void kill();

    /// Waits for the process to end by itself and returns its exit status; nothing after the timeout.
    std::optional<int> waitForExit(Duration timeout);

    bool running();

private:
    std::unique_ptr<boost::process::child> child;
};

} // namespace hickoryshore
