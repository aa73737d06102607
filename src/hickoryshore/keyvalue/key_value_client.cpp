#include "hickoryshore/keyvalue/key_value_client.h"

#include "hickoryshore/http/http_client.h"

#include "connection_pool.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int firstClientError = 400;
constexpr int firstServerError = 500;

std::string keyPath(std::string_view key)
{
    return "/v1/kv/" + std::string(key);
}

[[noreturn]] void throwStatus(const HttpResponse &response)
{
    throw PlatformError("the platform's service answered with status " + std::to_string(response.status) + ": "
                        + response.body);
}

/// Parses the JSON of a read. Throws PlatformError.
std::optional<StoredValue> parseStoredValue(const HttpResponse &response)
{
    if (response.status == statusNotFound) {
        return std::nullopt;
    }
    if (response.status != statusOk) {
        throwStatus(response);
    }
    try {
        const json entry = json::parse(response.body).at(0);
        StoredValue stored{.value = {}, .modifyIndex = entry.at("ModifyIndex").get<std::uint64_t>()};
        const json &value = entry.at("Value");
        if (!value.is_null() && !absl::Base64Unescape(value.get<std::string>(), &stored.value)) {
            throw PlatformError("the platform's service sent a value that is not Base64");
        }
        return stored;
    } catch (const json::exception &error) {
        throw PlatformError(std::string("the platform's service sent a malformed answer: ") + error.what());
    }
}

ListedVm parseListedVm(const json &entry)
{
    ListedVm vm;
    vm.vm = entry.at("Node").get<std::string>();
    vm.address
        = entry.at("ServiceAddress").get<std::string>() + ':' + std::to_string(entry.at("ServicePort").get<int>());
    const json meta = entry.value("ServiceMeta", json::object());
    vm.leaving = meta.value("state", "live") == "leaving";
    return vm;
}

} // namespace

struct KeyValueClient::Connections
{
    ConnectionPool pool;

    /// Reads have no effect, so one that failed on a kept connection is tried once more on a new one.
    HttpResponse read(const HttpRequest &request, Duration timeout);

    /// Writes are never sent again, since the first one may have taken effect.
    WriteResult write(const HttpRequest &request, Duration timeout);
};

HttpResponse KeyValueClient::Connections::read(const HttpRequest &request, Duration timeout)
{
    try {
        return this->pool.exchange(request, timeout);
    } catch (const HttpError &error) {
        if (error.failure != HttpFailure::Closed) {
            throw PlatformError(std::string("the platform's service gave no answer: ") + error.what());
        }
    }
    try {
        return this->pool.exchange(request, timeout, true);
    } catch (const HttpError &error) {
        throw PlatformError(std::string("the platform's service gave no answer: ") + error.what());
    }
}

WriteResult KeyValueClient::Connections::write(const HttpRequest &request, Duration timeout)
{
    HttpResponse response;
    try {
        response = this->pool.exchange(request, timeout);
    } catch (const HttpError &error) {
        if (error.failure == HttpFailure::Connect) {
            throw PlatformError(std::string("the platform's service cannot be reached: ") + error.what());
        }
        return WriteResult::Unknown;
    }
    if (response.status >= firstClientError && response.status < firstServerError) {
        throwStatus(response);
    }
    if (response.status == statusOk && response.body.starts_with("true")) {
        return WriteResult::Applied;
    }
    if (response.status == statusOk && response.body.starts_with("false")) {
        return WriteResult::Conflict;
    }
    return WriteResult::Unknown;
}

KeyValueClient::KeyValueClient(PlatformSettings settings)
    : settings(std::move(settings)),
      connections(new Connections{ConnectionPool(this->settings.address, this->settings.port)})
{ }

KeyValueClient::~KeyValueClient() = default;

std::optional<StoredValue> KeyValueClient::get(std::string_view key)
{
    const HttpRequest request{.path = keyPath(key)};
    return parseStoredValue(this->connections->read(request, this->settings.timeout));
}

WriteResult KeyValueClient::compareAndSwap(std::string_view key, std::string_view value, std::uint64_t expectedIndex)
{
    const HttpRequest request{.method = "PUT",
                              .path = keyPath(key),
                              .queryString = "cas=" + std::to_string(expectedIndex),
                              .body = std::string(value)};
    return this->connections->write(request, this->settings.timeout);
}

WriteResult KeyValueClient::removeIfUnchanged(std::string_view key, std::uint64_t expectedIndex)
{
    const HttpRequest request{
        .method = "DELETE", .path = keyPath(key), .queryString = "cas=" + std::to_string(expectedIndex)};
    return this->connections->write(request, this->settings.timeout);
}

std::vector<std::string> KeyValueClient::listKeys(std::string_view prefix)
{
    const HttpRequest request{.path = keyPath(prefix), .queryString = "keys"};
    const HttpResponse response = this->connections->read(request, this->settings.timeout);
    if (response.status == statusNotFound) {
        return {};
    }
    if (response.status != statusOk) {
        throwStatus(response);
    }
    try {
        return json::parse(response.body).get<std::vector<std::string>>();
    } catch (const json::exception &error) {
        throw PlatformError(std::string("the platform's service sent a malformed list of keys: ") + error.what());
    }
}

std::optional<StoredValue> KeyValueClient::waitForChange(std::string_view key,
                                                         std::uint64_t knownIndex,
                                                         Duration longestWait)
{
    // Index zero would not wait at all, so a key that does not exist is waited for with index one.
    const std::uint64_t index = std::max<std::uint64_t>(1, knownIndex);
    const HttpRequest request{.path = keyPath(key),
                              .queryString = "index=" + std::to_string(index)
                                  + "&wait=" + std::to_string(ceilMilliseconds(longestWait)) + "ms"};
    return parseStoredValue(this->connections->read(request, longestWait + this->settings.timeout));
}

std::vector<ListedVm> KeyValueClient::listVms(std::string_view service)
{
    const HttpRequest request{.path = "/v1/catalog/service/" + std::string(service)};
    const HttpResponse response = this->connections->read(request, this->settings.timeout);
    if (response.status != statusOk) {
        throwStatus(response);
    }
    std::vector<ListedVm> vms;
    try {
        for (const json &entry : json::parse(response.body)) {
            vms.push_back(parseListedVm(entry));
        }
    } catch (const json::exception &error) {
        throw PlatformError(std::string("the platform's service sent a malformed list: ") + error.what());
    }
    return vms;
}

} // namespace hickoryshore
