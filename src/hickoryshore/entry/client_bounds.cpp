#include "hickoryshore/entry/client_bounds.h"

#include "hickoryshore/entry/request_service.h"

#include <algorithm>

#include <sys/resource.h>

namespace hickoryshore {

namespace {

/// Of each connection. All connections together may be filled while the process gets no processor time.
constexpr int receiveBufferBytes = 32 * 1024;
/// Descriptors that are no sockets, where the system's limit for the process is below that of the settings.
constexpr std::size_t otherDescriptors = 24;
/// A VM with few sockets still accepts this many connections at each address.
constexpr std::size_t minConnections = 8;
/// A request at the limits takes up to this many times their bytes: a chunked body grows by doubling, and the fields of
/// a header take more memory than bytes.
constexpr std::size_t requestMemoryFactor = 3;
/// Beside the forwarded request, a call of another VM names the services.
constexpr std::size_t aggregateBodyBytes = 2 * maxGroupedRequestBytes;
/// Of requests that need no body.
constexpr std::size_t bodilessBodyBytes = 1024;

/// Returns the number of sockets that the settings and the system allow.
std::size_t usableSockets(const EntrySettings &settings)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return settings.maxSockets;
    }
    const std::size_t allowed = std::max<std::size_t>(limit.rlim_cur, otherDescriptors) - otherDescriptors;
    return std::min(settings.maxSockets, allowed);
}

HttpListenerSettings boundsOf(const EntrySettings &settings, const ClientShare &share)
{
    const auto sockets = static_cast<std::size_t>(share.sockets * static_cast<double>(usableSockets(settings)));
    return {.maxConnections = std::max(minConnections, sockets),
            .maxKeptBytes = static_cast<std::size_t>(share.memory * static_cast<double>(settings.memoryBytes)),
            .retryAfter = retryAfterAtOtherVm,
            .receiveBufferBytes = receiveBufferBytes};
}

} // namespace

HttpListenerSettings callerBounds(const EntrySettings &settings, const CallerLimits &limits)
{
    HttpListenerSettings bounds = boundsOf(settings, callerShare);
    bounds.limits = {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes};
    bounds.requestTimeout = limits.headerTimeout;
    bounds.idleTimeout = limits.idleTimeout;
    bounds.maxKeptBytes = std::max(bounds.maxKeptBytes, requestMemoryFactor * (limits.headerBytes + limits.bodyBytes));
    return bounds;
}

HttpListenerSettings peerBounds(const EntrySettings &settings)
{
    HttpListenerSettings bounds = boundsOf(settings, peerShare);
    bounds.limits.bodyBytes = aggregateBodyBytes;
    return bounds;
}

HttpListenerSettings bodilessBounds(const EntrySettings &settings, const ClientShare &share)
{
    HttpListenerSettings bounds = boundsOf(settings, share);
    bounds.limits.bodyBytes = bodilessBodyBytes;
    return bounds;
}

} // namespace hickoryshore
