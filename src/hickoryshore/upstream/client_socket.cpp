#include "client_socket.h"

#include "hickoryshore/http/http_client.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

#include <arpa/inet.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

/// Probes without an answer after which a connection counts as lost.
constexpr int unansweredProbes = 2;

/// Makes the connection come from this IPv4 address, with a port that is chosen as it opens. Returns false if the
/// machine doesn't have the address.
bool bindTo(int descriptor, const std::string &source)
{
    sockaddr_in from{};
    from.sin_family = AF_INET;
    if (inet_pton(AF_INET, source.c_str(), &from.sin_addr) != 1) {
        return false;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    return bind(descriptor, reinterpret_cast<const sockaddr *>(&from), sizeof(from)) == 0;
}

} // namespace

bool isOwnAddress(const std::string &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return false;
    }
    const bool bound = bindTo(descriptor, address);
    ::close(descriptor);
    return bound;
}

int startConnecting(std::string_view address, const std::string &source)
{
    HostPort target;
    try {
        target = parseHostPort(address);
    } catch (const std::invalid_argument &) {
        return -1;
    }
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo *found = nullptr;
    if (getaddrinfo(target.host.c_str(), std::to_string(target.port).c_str(), &hints, &found) != 0) {
        return -1;
    }
    const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> owned(found, freeaddrinfo);
    const int descriptor = socket(found->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    // A request is written at once, so that there is nothing to gather.
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (!source.empty()) {
        bindTo(descriptor, source);
    }
    if (connect(descriptor, found->ai_addr, found->ai_addrlen) != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

void probeWhileIdle(int descriptor, Duration interval)
{
    const int on = 1;
    const int seconds = static_cast<int>(std::max<std::int64_t>(1, interval / std::chrono::seconds(1)));
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &unansweredProbes, sizeof(unansweredProbes));
}

bool hasOpened(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

} // namespace hickoryshore
