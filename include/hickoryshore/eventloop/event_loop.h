// The loop that a thread runs: one drives control state (membership, configuration, ledger), another one traffic.
//
// What is built on it never locks, since everything that it owns is touched by the loop's thread alone.
//
//     EventLoop loop;
//     loop.every(1s, [] { ... });
//     loop.runBlocking([&] { value = client.get("key"); }, [&] { use(value); });
//     loop.run(); // until stop()
#pragma once

#include "hickoryshore/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace hickoryshore {

/// What a stream descriptor has become ready for.
struct Readiness
{
    bool readable = false;
    bool writable = false;
    bool ended = false; ///< The other end closed, or the connection failed.
};

/// A poll loop with timers, watched descriptors and a pool for blocking jobs.
class EventLoop
{
public:
    /// `blockingThreads` is how many blocking jobs run at once; further ones wait.
    explicit EventLoop(int blockingThreads = 4);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs the function on the loop's thread soon. From any thread.
    void post(std::function<void()> function);

    /// Runs the function on the loop's thread after the delay. From the loop's thread, or before run().
    void after(Duration delay, std::function<void()> function);

    /// Runs the function on the loop's thread again and again. From the loop's thread, or before run().
    void every(Duration period, std::function<void()> function);

    /// Calls the function on the loop's thread whenever the descriptor is readable. Before run() only.
    void watch(int descriptor, std::function<void()> onReadable);

    /// Calls the function on the loop's thread each time that the descriptor becomes ready anew. What it is ready for
    /// must be used up each time, since nothing more is said until it changes. Returns an id for unwatchStream(), never
    /// zero. From the loop's thread, or before run(). Throws std::system_error.
    std::uint64_t watchStream(int descriptor, std::function<void(Readiness)> onReady);

    /// Ends a watch, before the descriptor is closed. From the loop's thread, or when run() has ended.
    void unwatchStream(std::uint64_t id, int descriptor);

    /// Calls the function on the loop's thread whenever the ZeroMQ socket has something to receive. Before run() only.
    void watchSocket(void *zmqSocket, std::function<void()> onReadable);

    /// Calls the function at the end of each round of the loop, for instance to send what the round has gathered.
    /// Before run() only.
    void afterEachRound(std::function<void()> function);

    /// Runs `job` on a pool thread, then `completion` on the loop's thread. From any thread. The job must catch
    /// its own exceptions and leave the outcome where the completion finds it.
    void runBlocking(std::function<void()> job, std::function<void()> completion);

    /// Serves until stop(). The calling thread becomes the loop's thread.
    void run();

    /// Ends run(). From any thread.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace hickoryshore
