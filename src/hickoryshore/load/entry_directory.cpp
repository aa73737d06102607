#include "hickoryshore/load/entry_directory.h"

#include "hickoryshore/http/http_client.h"

#include <optional>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

constexpr Duration askTimeout = 500ms;
constexpr Duration askAgainAfter = 1s;
constexpr int statusOk = 200;

std::optional<ReceivedEntryPoints> askEntry(const std::string &address)
{
    try {
        const HostPort hostPort = parseHostPort(address);
        HttpConnection connection(hostPort.host, hostPort.port);
        const HttpResponse response = connection.exchange({.path = "/v1/entry-points"}, askTimeout);
        if (response.status == statusOk) {
            return parseEntryPoints(response.body);
        }
    } catch (const HttpError &) {
        return std::nullopt;
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

ReceivedEntryPoints parseEntryPoints(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        ReceivedEntryPoints entryPoints;
        entryPoints.addresses = json.at("entryPoints").get<std::vector<std::string>>();
        entryPoints.timeToLive = std::chrono::milliseconds(json.at("timeToLiveMs").get<std::int64_t>());
        for (const std::string &address : entryPoints.addresses) {
            parseHostPort(address);
        }
        return entryPoints;
    } catch (const nlohmann::json::exception &error) {
        throw std::invalid_argument(error.what());
    }
}

EntryDirectory::EntryDirectory(std::string firstEntry, std::uint64_t seed)
    : firstEntry(std::move(firstEntry)), random(seed)
{ }

std::string EntryDirectory::pick(Instant now)
{
    const std::lock_guard lock(this->mutex);
    if (now >= this->validUntil) {
        this->refresh(now);
    }
    if (this->addresses.empty()) {
        return this->firstEntry;
    }
    std::uniform_int_distribution<std::size_t> any(0, this->addresses.size() - 1);
    return this->addresses[any(this->random)];
}

void EntryDirectory::forget(std::string_view address)
{
    const std::lock_guard lock(this->mutex);
    std::erase(this->addresses, address);
}

void EntryDirectory::refresh(Instant now)
{
    std::vector<std::string> askable = this->addresses;
    askable.push_back(this->firstEntry);
    for (const std::string &address : askable) {
        const std::optional<ReceivedEntryPoints> answer = askEntry(address);
        if (answer.has_value() && !answer->addresses.empty()) {
            this->addresses = answer->addresses;
            this->validUntil = now + answer->timeToLive;
            return;
        }
    }
    this->validUntil = now + askAgainAfter;
}

} // namespace hickoryshore
