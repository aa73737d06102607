// Tells when the other end of a connection closes it, while a thread waits for something else.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace hickoryshore {

/// One thread that watches the connections of all waiting threads; it sleeps until one of them is closed. Thread-safe.
///
///     HangUpWatch watch;
///     const std::uint64_t id = watch.add(descriptor, [] { ... });
///     watch.remove(id); // before the descriptor is closed
class HangUpWatch
{
public:
    /// Throws std::runtime_error where the system gives no descriptors.
    HangUpWatch();
    ~HangUpWatch();
    HangUpWatch(const HangUpWatch &) = delete;
    HangUpWatch &operator=(const HangUpWatch &) = delete;

    /// Calls the function once, on the watch's thread, when the other end has closed its side of this connection, also
    /// where it did so before. The function must not block. It may still run while and shortly after remove() does.
    std::uint64_t add(int descriptor, std::function<void()> onHangUp);

    /// Ends the watch; the descriptor is not looked at any more.
    void remove(std::uint64_t id);

private:
    struct Watched
    {
        int descriptor = -1;
        std::function<void()> onHangUp;
    };

    void run();
    std::function<void()> take(std::uint64_t id);

    int events;
    int stopSignal;
    std::mutex mutex;
    std::unordered_map<std::uint64_t, Watched> watched; ///< Guarded by mutex, as is lastId.
    std::uint64_t lastId = 0;
    std::thread thread;
};

} // namespace hickoryshore
