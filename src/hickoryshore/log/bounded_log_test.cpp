#include "hickoryshore/log/log.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>

#include <fcntl.h>
#include <unistd.h>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

/// Standard output is a pipe that nobody reads, for as long as this lives.
class FullPipe
{
public:
    FullPipe()
    {
        BOOST_REQUIRE(pipe2(this->ends.data(), O_CLOEXEC) == 0);
        dup2(this->ends[1], STDOUT_FILENO);
        // A writer that may wait: only the log itself keeps from blocking.
        const std::string block(4096, 'x');
        fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
        while (write(STDOUT_FILENO, block.data(), block.size()) > 0) { }
        fcntl(STDOUT_FILENO, F_SETFL, 0);
    }

    ~FullPipe()
    {
        dup2(this->usual, STDOUT_FILENO);
        for (const int descriptor : {this->ends[0], this->ends[1], this->usual}) {
            close(descriptor);
        }
    }

    FullPipe(const FullPipe &) = delete;
    FullPipe &operator=(const FullPipe &) = delete;

    /// Makes room by reading what is in the pipe.
    void drain() const
    {
        std::array<char, 65536> buffer{};
        BOOST_REQUIRE(read(this->ends[0], buffer.data(), buffer.size()) > 0);
    }

private:
    int usual = dup(STDOUT_FILENO);
    std::array<int, 2> ends{};
};

} // namespace

BOOST_AUTO_TEST_CASE(a_reader_that_stands_still_costs_lines_and_no_time)
{
    startLogging("vm-1", "north", "info", LogOutput::BoundedOutput);
    const FullPipe output;
    const std::uint64_t before = droppedLogLines();
    const auto start = std::chrono::steady_clock::now();
    for (int line = 0; line < 100; ++line) {
        writeLog({.slice = "entry", .event = "answered", .requestId = "r-1"});
    }
    // Waiting for the reader would take for ever; the bound only says that nothing waited.
    BOOST_TEST((std::chrono::steady_clock::now() - start < 10s));
    BOOST_TEST(droppedLogLines() - before == 100U);
    output.drain();
    writeLog({.slice = "entry", .event = "answered", .requestId = "r-2"});
    BOOST_TEST(droppedLogLines() - before == 100U);
}
