// The connection over which a request came, as far as its handler may know of it.
#pragma once

#include "hickoryshore/http/hang_up_watch.h"

#include <cstdint>
#include <functional>
#include <optional>

struct mg_connection;

namespace hickoryshore {

/// Which connection a worker thread of CivetWeb serves; its descriptor is searched at most once, and only when asked.
class ConnectionDescriptor
{
public:
    /// Returns the descriptor, or nothing where none of this process has the connection's two ends.
    std::optional<int> find(const mg_connection *connection);

    /// Another connection begins, or this one ends.
    void reset();

private:
    bool searched = false;
    std::optional<int> descriptor;
};

/// Valid only while the request's handler runs, on the handler's thread.
class CallerConnection
{
public:
    /// Ends a watch when it goes.
    class Guard
    {
    public:
        Guard() = default;
        Guard(HangUpWatch &watch, std::uint64_t id) : watch(&watch), id(id)
        { }
        ~Guard()
        {
            if (this->watch != nullptr) {
                this->watch->remove(this->id);
            }
        }
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;

    private:
        HangUpWatch *watch = nullptr;
        std::uint64_t id = 0;
    };

    CallerConnection(const mg_connection *connection, ConnectionDescriptor &descriptor, HangUpWatch &watch)
        : connection(connection), descriptor(descriptor), watch(watch)
    { }

    /// Calls the function once, on another thread, if the caller closes the connection while the guard lives. A call
    /// that has begun may outlast the guard. The function must not block.
    [[nodiscard]] Guard whenClosed(std::function<void()> onClosed) const;

private:
    const mg_connection *connection;
    ConnectionDescriptor &descriptor;
    HangUpWatch &watch;
};

} // namespace hickoryshore
