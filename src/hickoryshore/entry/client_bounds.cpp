#include "hickoryshore/entry/client_bounds.h"

#include "hickoryshore/entry/request_service.h"

#include <algorithm>

namespace hickoryshore {

namespace {

/// Of each connection. All connections together may be filled while the process gets no processor time.
constexpr int receiveBufferBytes = 32 * 1024;
/// A request at the limits takes up to this many times their bytes: a chunked body grows by doubling, and the fields of
/// a header take more memory than bytes.
constexpr std::size_t requestMemoryFactor = 3;
/// Beside the forwarded request, a call of another VM names the services.
constexpr std::size_t aggregateBodyBytes = 2 * maxGroupedRequestBytes;
/// Of requests that need no body.
constexpr std::size_t bodilessBodyBytes = 1024;

HttpListenerSettings boundsOf(const EntrySettings &settings, double memoryShare)
{
    return {.maxKeptBytes = static_cast<std::size_t>(memoryShare * static_cast<double>(settings.memoryBytes)),
            .retryAfter = retryAfterAtOtherVm,
            .receiveBufferBytes = receiveBufferBytes};
}

} // namespace

HttpListenerSettings callerBounds(const EntrySettings &settings, const CallerLimits &limits)
{
    HttpListenerSettings bounds = boundsOf(settings, callerMemoryShare);
    bounds.limits = {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes};
    bounds.requestTimeout = limits.headerTimeout;
    bounds.idleTimeout = limits.idleTimeout;
    bounds.maxKeptBytes = std::max(bounds.maxKeptBytes, requestMemoryFactor * (limits.headerBytes + limits.bodyBytes));
    return bounds;
}

HttpListenerSettings peerBounds(const EntrySettings &settings)
{
    HttpListenerSettings bounds = boundsOf(settings, peerMemoryShare);
    bounds.limits.bodyBytes = aggregateBodyBytes;
    return bounds;
}

HttpListenerSettings bodilessBounds(const EntrySettings &settings, double memoryShare)
{
    HttpListenerSettings bounds = boundsOf(settings, memoryShare);
    bounds.limits.bodyBytes = bodilessBodyBytes;
    return bounds;
}

} // namespace hickoryshore
