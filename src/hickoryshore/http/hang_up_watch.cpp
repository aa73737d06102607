#include "hickoryshore/http/hang_up_watch.h"

#include <array>
#include <stdexcept>
#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

/// The id of the descriptor that ends the thread; watched connections count from one.
constexpr std::uint64_t stopId = 0;

constexpr int eventsPerRound = 64;

epoll_event eventOf(std::uint32_t kinds, std::uint64_t id)
{
    epoll_event event{};
    event.events = kinds;
    event.data.u64 = id;
    return event;
}

} // namespace

HangUpWatch::HangUpWatch() : events(epoll_create1(EPOLL_CLOEXEC)), stopSignal(eventfd(0, EFD_CLOEXEC))
{
    epoll_event stop = eventOf(EPOLLIN, stopId);
    if (this->events < 0 || this->stopSignal < 0
        || epoll_ctl(this->events, EPOLL_CTL_ADD, this->stopSignal, &stop) != 0) {
        close(this->events);
        close(this->stopSignal);
        throw std::runtime_error("cannot create the descriptors of the hang-up watch");
    }
    this->thread = std::thread([this] {
        this->run();
    });
}

HangUpWatch::~HangUpWatch()
{
    eventfd_write(this->stopSignal, 1);
    this->thread.join();
    close(this->events);
    close(this->stopSignal);
}

std::uint64_t HangUpWatch::add(int descriptor, std::function<void()> onHangUp)
{
    const std::lock_guard lock(this->mutex);
    const std::uint64_t id = ++this->lastId;
    this->watched.emplace(id, Watched{descriptor, std::move(onHangUp)});
    // Once only: the state lasts, and would otherwise be told again and again until the watch ends.
    epoll_event event = eventOf(EPOLLRDHUP | EPOLLONESHOT, id);
    epoll_ctl(this->events, EPOLL_CTL_ADD, descriptor, &event);
    return id;
}

void HangUpWatch::remove(std::uint64_t id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->watched.find(id);
    if (found != this->watched.end()) {
        epoll_ctl(this->events, EPOLL_CTL_DEL, found->second.descriptor, nullptr);
        this->watched.erase(found);
    }
}

std::function<void()> HangUpWatch::take(std::uint64_t id)
{
    // An event may have been fetched just before its watch was removed.
    const std::lock_guard lock(this->mutex);
    const auto found = this->watched.find(id);
    return found == this->watched.end() ? nullptr : std::exchange(found->second.onHangUp, nullptr);
}

void HangUpWatch::run()
{
    std::array<epoll_event, eventsPerRound> ready{};
    while (true) {
        const int count = epoll_wait(this->events, ready.data(), eventsPerRound, -1);
        for (int number = 0; number < count; ++number) {
            const std::uint64_t id = ready.at(static_cast<std::size_t>(number)).data.u64;
            if (id == stopId) {
                return;
            }
            if (const std::function<void()> onHangUp = this->take(id)) {
                onHangUp();
            }
        }
    }
}

} // namespace hickoryshore
