#include "hickoryshore/http/http_server.h"

#include <array>
#include <exception>
#include <optional>
#include <stdexcept>

#include <civetweb.h>

namespace hickoryshore {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusInternalError = 500;
constexpr int statusLengthRequired = 411;

std::string textOf(const char *value)
{
    return value == nullptr ? std::string() : std::string(value);
}

/// Reads the body; returns nothing where the caller sent less than announced.
std::optional<std::string> readBody(mg_connection *connection, long long length)
{
    std::string body(static_cast<std::size_t>(length), '\0');
    std::size_t filled = 0;
    while (filled < body.size()) {
        const int count = mg_read(connection, body.data() + filled, body.size() - filled);
        if (count <= 0) {
            return std::nullopt;
        }
        filled += static_cast<std::size_t>(count);
    }
    return body;
}

void sendResponse(mg_connection *connection, const HttpResponse &response, bool close)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' '
        + mg_get_response_code_text(connection, response.status) + "\r\nContent-Type: " + response.contentType
        + "\r\nContent-Length: " + std::to_string(response.body.size())
        + (close ? "\r\nConnection: close\r\n" : "\r\nConnection: keep-alive\r\n");
    for (const HttpHeader &header : response.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    text += "\r\n" + response.body;
    mg_write(connection, text.data(), text.size());
}

HttpRequest requestOf(const mg_request_info &info)
{
    HttpRequest request;
    request.method = textOf(info.request_method);
    request.path = textOf(info.local_uri);
    request.queryString = textOf(info.query_string);
    for (int number = 0; number < info.num_headers; ++number) {
        request.headers.push_back({textOf(info.http_headers[number].name), textOf(info.http_headers[number].value)});
    }
    return request;
}

/// CivetWeb gives each connection to one worker thread for all its life.
ConnectionDescriptor &descriptorOfThread()
{
    thread_local ConnectionDescriptor descriptor;
    return descriptor;
}

void initializeLibraryOnce()
{
    static const unsigned features = mg_init_library(0);
    static_cast<void>(features);
}

} // namespace

HttpServer::HttpServer(HttpServerSettings settings, Handler handler)
    : HttpServer(std::move(settings),
                 [handler = std::move(handler)](const HttpRequest &request, const CallerConnection & /*caller*/) {
                     return handler(request);
                 })
{ }

HttpServer::HttpServer(HttpServerSettings settings, ConnectionHandler handler)
    : settings(std::move(settings)), handler(std::move(handler))
{
    initializeLibraryOnce();
    const std::string listen = this->settings.address + ':' + std::to_string(this->settings.port);
    const std::string threads = std::to_string(this->settings.threads);
    const std::string keepAlive = std::to_string(ceilMilliseconds(this->settings.keepAlive));
    const std::string requestTimeout = std::to_string(ceilMilliseconds(this->settings.requestTimeout));
    const std::array options{"listening_ports",
                             listen.c_str(),
                             "num_threads",
                             threads.c_str(),
                             "enable_keep_alive",
                             "yes",
                             "request_timeout_ms",
                             requestTimeout.c_str(),
                             "keep_alive_timeout_ms",
                             keepAlive.c_str(),
                             "tcp_nodelay",
                             "1",
                             "listen_backlog",
                             "1024",
                             "connection_queue",
                             "1024",
                             static_cast<const char *>(nullptr)};
    mg_callbacks callbacks{};
    callbacks.init_connection = &HttpServer::onConnect;
    callbacks.connection_closed = &HttpServer::onClose;
    callbacks.http_error = &HttpServer::onError;
    this->context = mg_start(&callbacks, this, const_cast<const char **>(options.data()));
    if (this->context == nullptr) {
        throw std::runtime_error("cannot listen on " + listen);
    }
    mg_set_request_handler(this->context, "/", &HttpServer::serve, this);
}

HttpServer::~HttpServer()
{
    mg_stop(this->context);
}

int HttpServer::onConnect(const mg_connection *connection, void ** /*data*/)
{
    auto *server = static_cast<HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    ++server->connections;
    descriptorOfThread().reset();
    return 0;
}

void HttpServer::onClose(const mg_connection *connection)
{
    auto *server = static_cast<HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    --server->connections;
    descriptorOfThread().reset();
}

bool HttpServer::isCrowded() const
{
    return this->connections > this->settings.keepAliveShare * this->settings.threads;
}

HttpResponse HttpServer::answerFault(const HttpFault &fault) const
{
    if (this->settings.answerFault) {
        return this->settings.answerFault(fault);
    }
    return {.status = fault.status, .body = R"({"error":")" + fault.message + "\"}", .headers = {}};
}

int HttpServer::refuse(mg_connection *connection, const HttpFault &fault) const
{
    const HttpResponse response = this->answerFault(fault);
    sendResponse(connection, response, true);
    return response.status;
}

int HttpServer::onError(mg_connection *connection, int status, const char *message)
{
    auto *server = static_cast<HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    server->refuse(connection, {status, textOf(message)});
    return 0;
}

HttpResponse HttpServer::callHandler(const mg_connection *connection, const HttpRequest &request)
{
    try {
        return this->handler(request, CallerConnection(connection, descriptorOfThread(), this->hangUps));
    } catch (const std::exception &) {
        return this->answerFault({statusInternalError, "unexpected error"});
    }
}

int HttpServer::serve(mg_connection *connection, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    const mg_request_info &info = *mg_get_request_info(connection);
    HttpRequest request = requestOf(info);
    if (info.content_length > static_cast<long long>(server->settings.largestBody)) {
        return server->refuse(connection, {statusTooLarge, "the body is longer than allowed"});
    }
    if (info.content_length < 0 && findHeader(request.headers, "Transfer-Encoding").has_value()) {
        return server->refuse(connection, {statusLengthRequired, "Content-Length is required"});
    }
    if (info.content_length > 0) {
        std::optional<std::string> body = readBody(connection, info.content_length);
        if (!body.has_value()) {
            return server->refuse(connection, {statusBadRequest, "the body ended early"});
        }
        request.body = std::move(*body);
    }
    const HttpResponse response = server->callHandler(connection, request);
    sendResponse(connection, response, server->isCrowded());
    return response.status;
}

} // namespace hickoryshore
