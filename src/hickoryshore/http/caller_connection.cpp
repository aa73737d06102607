#include "hickoryshore/http/caller_connection.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <civetweb.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace hickoryshore {

namespace {

/// Descriptors beyond this one are not searched.
constexpr rlim_t mostDescriptors = 65536;

int descriptorLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<int>(std::min(limit.rlim_cur, mostDescriptors));
}

/// One end of a connection over IPv4.
using EndReader = int (*)(int, sockaddr *, socklen_t *);

std::optional<sockaddr_in> readEnd(EndReader read, int descriptor)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    if (read(descriptor, reinterpret_cast<sockaddr *>(&storage), &size) != 0 || storage.ss_family != AF_INET) {
        return std::nullopt;
    }
    return reinterpret_cast<const sockaddr_in &>(storage);
}

bool isCaller(const sockaddr_in &end, const mg_request_info &info)
{
    std::array<char, INET_ADDRSTRLEN> address{};
    return ntohs(end.sin_port) == info.remote_port
        && inet_ntop(AF_INET, &end.sin_addr, address.data(), address.size()) != nullptr
        && std::string_view(address.data()) == info.remote_addr;
}

/// Both ends are compared: a connection that this process opened may lead to the caller's very address and port.
bool belongsTo(int descriptor, const mg_request_info &info)
{
    const std::optional<sockaddr_in> peer = readEnd(&getpeername, descriptor);
    if (!peer.has_value() || !isCaller(*peer, info)) {
        return false;
    }
    const std::optional<sockaddr_in> own = readEnd(&getsockname, descriptor);
    return own.has_value() && ntohs(own->sin_port) == info.server_port;
}

} // namespace

std::optional<int> ConnectionDescriptor::find(const mg_connection *connection)
{
    if (this->searched) {
        return this->descriptor;
    }
    this->searched = true;
    const mg_request_info &info = *mg_get_request_info(connection);
    const int limit = descriptorLimit();
    for (int candidate = 0; candidate < limit; ++candidate) {
        if (belongsTo(candidate, info)) {
            this->descriptor = candidate;
            break;
        }
    }
    return this->descriptor;
}

void ConnectionDescriptor::reset()
{
    *this = ConnectionDescriptor{};
}

CallerConnection::Guard CallerConnection::whenClosed(std::function<void()> onClosed) const
{
    const std::optional<int> found = this->descriptor.find(this->connection);
    if (!found.has_value()) {
        return {};
    }
    return {this->watch, this->watch.add(*found, std::move(onClosed))};
}

} // namespace hickoryshore
