#include "key_value_test_server.h"

namespace hickoryshore::fakes {

namespace {

constexpr std::size_t largestBody = std::size_t{2} * 1024 * 1024;

} // namespace

KeyValueTestServer::KeyValueTestServer(int port) : port(port)
{
    this->listen();
}

void KeyValueTestServer::reset()
{
    const std::lock_guard lock(this->mutex);
    this->current = std::make_shared<KeyValueService>();
}

void KeyValueTestServer::restart()
{
    this->server.reset();
    this->listen();
}

std::shared_ptr<KeyValueService> KeyValueTestServer::service()
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

void KeyValueTestServer::listen()
{
    const HttpServerSettings settings{.port = this->port, .largestBody = largestBody};
    this->server = std::make_unique<HttpServer>(settings, [this](const HttpRequest &request) {
        return this->service()->handle(request);
    });
}

} // namespace hickoryshore::fakes
