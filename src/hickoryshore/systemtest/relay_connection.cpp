#include "relay_connection.h"

#include <cerrno>

#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

constexpr std::size_t largestPending = std::size_t{64} * 1024;

std::size_t otherEnd(std::size_t end)
{
    return 1 - end;
}

bool wantsRead(const RelayConnection &connection, std::size_t end, bool cut)
{
    return !cut && !connection.ended[end] && connection.pending[end].size() < largestPending;
}

bool wantsWrite(const RelayConnection &connection, std::size_t end, bool cut)
{
    return !cut && !connection.pending[otherEnd(end)].empty();
}

void readFrom(RelayConnection &connection, std::size_t end)
{
    std::array<char, largestPending> buffer;
    const ssize_t count = recv(connection.descriptors[end], buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
        connection.pending[end].append(buffer.data(), static_cast<std::size_t>(count));
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
        connection.ended[end] = true;
    }
}

void writeTo(RelayConnection &connection, std::size_t end)
{
    std::string &pending = connection.pending[otherEnd(end)];
    const ssize_t count
        = send(connection.descriptors[end], pending.data(), pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
        pending.erase(0, static_cast<std::size_t>(count));
    } else if (errno != EAGAIN && errno != EINTR) {
        connection.ended[end] = true;
        pending.clear();
    }
}

} // namespace

pollfd pollOf(const RelayConnection &connection, std::size_t end, const std::array<bool, 2> &cut)
{
    const bool read = wantsRead(connection, end, cut[end]);
    const bool write = wantsWrite(connection, end, cut[otherEnd(end)]);
    const auto events = static_cast<short>((read ? POLLIN : 0) | (write ? POLLOUT : 0));
    // Without events a poll would still tell of an end that has closed, again and again.
    return {events == 0 ? -1 : connection.descriptors[end], events, 0};
}

void passOn(RelayConnection &connection, const std::array<pollfd, 2> &polled, const std::array<bool, 2> &cut)
{
    for (std::size_t end = 0; end < 2; ++end) {
        if (polled[end].revents != 0 && wantsRead(connection, end, cut[end])) {
            readFrom(connection, end);
        }
    }
    for (std::size_t end = 0; end < 2; ++end) {
        if (wantsWrite(connection, end, cut[otherEnd(end)])) {
            writeTo(connection, end);
        }
    }
}

bool hasEnded(const RelayConnection &connection, const std::array<bool, 2> &cut)
{
    for (std::size_t end = 0; end < 2; ++end) {
        if (connection.ended[end] && connection.pending[end].empty() && !cut[end]) {
            return true;
        }
    }
    return false;
}

void closeEnds(RelayConnection &connection)
{
    for (int &descriptor : connection.descriptors) {
        if (descriptor >= 0) {
            close(descriptor);
            descriptor = -1;
        }
    }
}

} // namespace hickoryshore
