#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/clock/clock.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <unordered_map>
#include <vector>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

namespace hickoryshore {

namespace {

constexpr Duration longestPoll = std::chrono::seconds(1);

constexpr int eventsPerRound = 256;

/// Under these ids the poll descriptor tells of the wake descriptor, the watches, and above them the streams.
constexpr std::uint64_t wakeId = 0;
constexpr std::uint64_t firstStream = 1U << 16U;

/// Either a descriptor or a ZeroMQ socket, which is woken through a descriptor of its own.
struct Watch
{
    void *socket = nullptr;
    int descriptor = -1;
    std::function<void()> onReadable;
    bool ready = false;
};

using StreamHandler = std::function<void(Readiness)>;

/// Whether the ZeroMQ socket has something to receive. Asking also empties the descriptor that it wakes through, which
/// tells of changes only.
bool hasIncoming(void *socket)
{
    int events = 0;
    std::size_t size = sizeof(events);
    return zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) == 0 && (events & ZMQ_POLLIN) != 0;
}

int descriptorOf(const Watch &watched)
{
    if (watched.socket == nullptr) {
        return watched.descriptor;
    }
    int descriptor = -1;
    std::size_t size = sizeof(descriptor);
    zmq_getsockopt(watched.socket, ZMQ_FD, &descriptor, &size);
    return descriptor;
}

struct BlockingJob
{
    std::function<void()> job;
    std::function<void()> completion;
};

} // namespace

struct EventLoop::State
{
    int wakeDescriptor = -1;
    int pollDescriptor = -1;
    std::atomic<bool> stopping = false;

    std::mutex postedMutex;
    std::vector<std::function<void()>> posted;
    bool waiting = false; ///< The loop may sleep until it is woken.

    std::multimap<Instant, std::function<void()>> timers;
    std::vector<Watch> watches; ///< Polled under their place in here, plus one.
    std::unordered_map<std::uint64_t, std::shared_ptr<StreamHandler>> streams; ///< Polled under their id.
    std::uint64_t lastStream = firstStream;
    std::vector<std::function<void()>> roundEnds;

    std::mutex jobMutex;
    std::condition_variable jobReady;
    std::deque<BlockingJob> jobs;
    bool jobsClosed = false;
    std::vector<std::thread> pool;

    void wake() const;
    void poll(std::uint64_t id, int descriptor, std::uint32_t events) const;
    void addWatch(Watch watched);
    bool checkSockets();
    int startWaiting();
    void waitForEvents();
    void takeEvent(std::uint64_t id, std::uint32_t events);
    void runWatches();
    void post(std::function<void()> function);
    void runPosted();
    void runDueTimers();
    Duration untilNextTimer() const;
    void servePool();
};

void EventLoop::State::wake() const
{
    const std::uint64_t one = 1;
    // A full counter also wakes the reader, so a failed write loses nothing.
    static_cast<void>(!write(this->wakeDescriptor, &one, sizeof(one)));
}

void EventLoop::State::poll(std::uint64_t id, int descriptor, std::uint32_t events) const
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = id;
    if (epoll_ctl(this->pollDescriptor, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot watch a descriptor");
    }
}

void EventLoop::State::addWatch(Watch watched)
{
    this->poll(this->watches.size() + 1, descriptorOf(watched), EPOLLIN);
    this->watches.push_back(std::move(watched));
}

bool EventLoop::State::checkSockets()
{
    bool anyReady = false;
    for (Watch &watched : this->watches) {
        watched.ready = watched.socket != nullptr && hasIncoming(watched.socket);
        anyReady = anyReady || watched.ready;
    }
    return anyReady;
}

int EventLoop::State::startWaiting()
{
    const auto longest = std::chrono::ceil<std::chrono::milliseconds>(this->untilNextTimer());
    const bool anyReady = this->checkSockets();
    const std::lock_guard lock(this->postedMutex);
    if (anyReady || !this->posted.empty()) {
        return 0;
    }
    this->waiting = true;
    return static_cast<int>(longest.count());
}

void EventLoop::State::waitForEvents()
{
    std::array<epoll_event, eventsPerRound> events{};
    const int timeoutMs = this->startWaiting();
    const int count = epoll_wait(this->pollDescriptor, events.data(), eventsPerRound, timeoutMs);
    {
        const std::lock_guard lock(this->postedMutex);
        this->waiting = false;
    }
    for (int number = 0; number < count; ++number) {
        const epoll_event &event = events[static_cast<std::size_t>(number)];
        this->takeEvent(event.data.u64, event.events);
    }
}

void EventLoop::State::takeEvent(std::uint64_t id, std::uint32_t events)
{
    if (id == wakeId) {
        std::uint64_t count = 0;
        static_cast<void>(!read(this->wakeDescriptor, &count, sizeof(count)));
        return;
    }
    if (id <= firstStream) {
        this->watches[id - 1].ready = true;
        return;
    }
    const auto found = this->streams.find(id);
    if (found == this->streams.end()) {
        // An earlier event of the round ended this watch.
        return;
    }
    // Held here, since the handler may end its own watch.
    const std::shared_ptr<StreamHandler> handler = found->second;
    (*handler)({.readable = (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0,
                .writable = (events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0,
                .ended = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0});
}

void EventLoop::State::runWatches()
{
    for (const Watch &watched : this->watches) {
        if (watched.ready) {
            watched.onReadable();
        }
    }
}

void EventLoop::State::post(std::function<void()> function)
{
    const std::lock_guard lock(this->postedMutex);
    this->posted.push_back(std::move(function));
    // A loop that is awake looks into the list before it waits; one that waits is woken once.
    if (this->waiting) {
        this->waiting = false;
        this->wake();
    }
}

void EventLoop::State::runPosted()
{
    std::vector<std::function<void()>> functions;
    {
        const std::lock_guard lock(this->postedMutex);
        functions.swap(this->posted);
    }
    for (const auto &function : functions) {
        function();
    }
}

void EventLoop::State::runDueTimers()
{
    const Instant now = monotonicNow();
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const auto node = this->timers.extract(this->timers.begin());
        node.mapped()();
    }
}

Duration EventLoop::State::untilNextTimer() const
{
    if (this->timers.empty()) {
        return longestPoll;
    }
    return std::clamp(this->timers.begin()->first - monotonicNow(), Duration(0), longestPoll);
}

void EventLoop::State::servePool()
{
    while (true) {
        BlockingJob next;
        {
            std::unique_lock lock(this->jobMutex);
            this->jobReady.wait(lock, [this] {
                return this->jobsClosed || !this->jobs.empty();
            });
            if (this->jobsClosed) {
                return;
            }
            next = std::move(this->jobs.front());
            this->jobs.pop_front();
        }
        next.job();
        this->post(std::move(next.completion));
    }
}

EventLoop::EventLoop(int blockingThreads) : state(std::make_unique<State>())
{
    this->state->wakeDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    this->state->pollDescriptor = epoll_create1(EPOLL_CLOEXEC);
    if (this->state->wakeDescriptor < 0 || this->state->pollDescriptor < 0) {
        throw std::runtime_error("cannot create an event descriptor");
    }
    this->state->poll(wakeId, this->state->wakeDescriptor, EPOLLIN);
    for (int number = 0; number < blockingThreads; ++number) {
        this->state->pool.emplace_back([state = this->state.get()] {
            state->servePool();
        });
    }
}

EventLoop::~EventLoop()
{
    {
        const std::lock_guard lock(this->state->jobMutex);
        this->state->jobsClosed = true;
    }
    this->state->jobReady.notify_all();
    for (std::thread &thread : this->state->pool) {
        thread.join();
    }
    close(this->state->pollDescriptor);
    close(this->state->wakeDescriptor);
}

void EventLoop::post(std::function<void()> function)
{
    this->state->post(std::move(function));
}

void EventLoop::after(Duration delay, std::function<void()> function)
{
    this->state->timers.emplace(monotonicNow() + delay, std::move(function));
}

void EventLoop::every(Duration period, std::function<void()> function)
{
    this->after(period, [this, period, function = std::move(function)] {
        function();
        this->every(period, function);
    });
}

void EventLoop::watch(int descriptor, std::function<void()> onReadable)
{
    this->state->addWatch({nullptr, descriptor, std::move(onReadable)});
}

std::uint64_t EventLoop::watchStream(int descriptor, std::function<void(Readiness)> onReady)
{
    const std::uint64_t id = ++this->state->lastStream;
    this->state->poll(id, descriptor, EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET);
    this->state->streams.emplace(id, std::make_shared<StreamHandler>(std::move(onReady)));
    return id;
}

void EventLoop::unwatchStream(std::uint64_t id, int descriptor)
{
    this->state->streams.erase(id);
    epoll_ctl(this->state->pollDescriptor, EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::watchSocket(void *zmqSocket, std::function<void()> onReadable)
{
    this->state->addWatch({zmqSocket, -1, std::move(onReadable)});
}

void EventLoop::afterEachRound(std::function<void()> function)
{
    this->state->roundEnds.push_back(std::move(function));
}

void EventLoop::runBlocking(std::function<void()> job, std::function<void()> completion)
{
    {
        const std::lock_guard lock(this->state->jobMutex);
        this->state->jobs.push_back({std::move(job), std::move(completion)});
    }
    this->state->jobReady.notify_one();
}

void EventLoop::run()
{
    while (!this->state->stopping) {
        this->state->waitForEvents();
        this->state->runWatches();
        this->state->runPosted();
        this->state->runDueTimers();
        for (const auto &roundEnd : this->state->roundEnds) {
            roundEnd();
        }
    }
}

void EventLoop::stop()
{
    this->state->stopping = true;
    this->state->wake();
}

} // namespace hickoryshore
