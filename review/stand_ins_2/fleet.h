// VMs of hickoryshore as processes of their own, started with the command of the deploy file.
#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

struct FleetSettings
{
    std::vector<std::string> command; ///< Of the deploy file.
    std::string folder; ///< For settings and logs.
    std::string storeAddress;
    std::string subnet; ///< "127.a", from which all addresses are.
    int vms = 3;
    int zones = 1;
    int memoryMegabytes = 182;
};

class Fleet
{
public:
    explicit Fleet(FleetSettings settings);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    int size() const;
    void start(int vm);
    void kill(int vm);

    /// Returns whether the process still runs; one that has ended is waited for.
    bool isRunning(int vm);

    std::string frontAddress(int vm) const;
    std::string directoryAddress(int vm) const;

    /// Returns the memory that the process uses, in megabytes.
    double memoryMegabytes(int vm) const;

private:
    std::string ip(int vm) const;
    std::string settingsText(int vm) const;

    FleetSettings settings;
    std::vector<pid_t> processes;
};

} // namespace review
