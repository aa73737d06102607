// Clients: they ask where to connect, keep their connections and send requests at a steady rate.
#pragma once

#include "fleet.h"
#include "record.h"

#include <atomic>

namespace review {

struct CallerSettings
{
    int threads = 6;
    std::chrono::milliseconds pause{40}; ///< Between two requests of one client, on average.
    std::chrono::milliseconds deadline{1000};
    std::vector<std::string> paths; ///< Drawn for each request.
    std::string host;
    std::string idPrefix = "c"; ///< Of the requests' ids.
};

class Callers
{
public:
    Callers(const Fleet &fleet, CallerSettings settings, Record &record);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Sends no more requests and waits for the last answers.
    void stop();

private:
    void refresh();
    std::vector<std::string> resolve() const;
    std::string chooseVm(unsigned turn);
    void run(int number);

    const Fleet &fleet;
    CallerSettings settings;
    Record &record;
    std::mutex mutex;
    std::vector<std::string> addresses; ///< Of the latest list.
    std::atomic<bool> stopping = false;
    std::vector<std::thread> threads;
};

} // namespace review
