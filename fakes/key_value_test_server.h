// The stand-in for the platform within a test's own process.
#pragma once

#include "hickoryshore/http/http_server.h"

#include "key_value_service.h"

#include <memory>
#include <mutex>

namespace hickoryshore::fakes {

/// A server that keeps its port while the service behind it is replaced by an empty one for each test, since stopping
/// a server takes seconds.
///
///     KeyValueTestServer server(18600);
///     server.reset();
///     server.service()->setFaults({.outage = true});
class KeyValueTestServer
{
public:
    explicit KeyValueTestServer(int port);

    /// Replaces the service by an empty one without faults.
    void reset();

    /// Ends all connections and listens again, with the same service.
    void restart();

    std::shared_ptr<KeyValueService> service();

private:
    void listen();

    int port;
    std::mutex mutex;
    std::shared_ptr<KeyValueService> current = std::make_shared<KeyValueService>();
    std::unique_ptr<HttpServer> server;
};

} // namespace hickoryshore::fakes
