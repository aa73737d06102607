// The daemon: one VM's entry, shard owner and control duties, put together from the settings.
//
//     Daemon daemon(readDaemonSettings("vm-1.json"));
//     return daemon.run(); // until SIGTERM or SIGINT
#pragma once

#include "hickoryshore/settings/daemon_settings.h"

#include <memory>

namespace hickoryshore {

class Daemon
{
public:
    /// Binds all addresses. Throws std::runtime_error where one cannot be bound.
    explicit Daemon(DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Serves until a signal asks it to leave and everything in flight is answered. Returns the exit status.
    int run();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace hickoryshore
