#include "hickoryshore/eventloop/signals.h"

#include <cerrno>
#include <csignal>
#include <system_error>

#include <sys/signalfd.h>
#include <unistd.h>

namespace hickoryshore {

int openSignals(std::span<const int> signals)
{
    sigset_t blocked;
    sigemptyset(&blocked);
    for (const int signal : signals) {
        sigaddset(&blocked, signal);
    }
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
    const int descriptor = signalfd(-1, &blocked, SFD_CLOEXEC | SFD_NONBLOCK);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "signal descriptor");
    }
    return descriptor;
}

std::optional<int> nextSignal(int descriptor)
{
    signalfd_siginfo info{};
    if (read(descriptor, &info, sizeof(info)) != static_cast<ssize_t>(sizeof(info))) {
        return std::nullopt;
    }
    return static_cast<int>(info.ssi_signo);
}

} // namespace hickoryshore
