#include "test_process.h"

#include <chrono>
#include <csignal>

#include <boost/process.hpp>

namespace hickoryshore {

namespace bp = boost::process;

TestProcess::TestProcess(const std::string &program,
                         const std::vector<std::string> &arguments,
                         const std::string &logFile,
                         const std::map<std::string, std::string> &environment)
{
    bp::environment all = boost::this_process::environment();
    for (const auto &[name, value] : environment) {
        all[name] = value;
    }
    this->child = std::make_unique<bp::child>(
        program, bp::args(arguments), all, bp::std_in<bp::null, (bp::std_out & bp::std_err)> logFile);
}

TestProcess::~TestProcess()
{
    if (this->child != nullptr) {
        this->kill();
    }
}

TestProcess::TestProcess(TestProcess &&) noexcept = default;
TestProcess &TestProcess::operator=(TestProcess &&) noexcept = default;

int TestProcess::id() const
{
    return this->child->id();
}

void TestProcess::signal(int number) const
{
    ::kill(this->child->id(), number);
}

void TestProcess::kill()
{
    if (this->child->running()) {
        this->signal(SIGKILL);
        this->child->wait();
    }
}

std::optional<int> TestProcess::waitForExit(Duration timeout)
{
    if (!this->child->wait_for(timeout)) {
        return std::nullopt;
    }
    return this->child->exit_code();
}

bool TestProcess::running()
{
    return this->child->running();
}

} // namespace hickoryshore
