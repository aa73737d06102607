#include "key_value_service.h"
#include "hickoryshore/clock/clock.h"

#include <charconv>
#include <thread>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace hickoryshore::fakes {

namespace {

using nlohmann::json;

constexpr std::size_t largestValue = std::size_t{1024} * 1024;
constexpr Duration shortestPoll = std::chrono::milliseconds(20);
constexpr Duration defaultWait = std::chrono::minutes(5);
constexpr Duration defaultSessionTimeToLive = std::chrono::seconds(15);
constexpr std::string_view keyPrefix = "/v1/kv/";
constexpr std::string_view renewPrefix = "/v1/session/renew/";
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusTooLarge = 413;
constexpr int statusOutage = 500;

HttpResponse answer(int status, std::string body)
{
    return {.status = status, .body = std::move(body), .headers = {}};
}

HttpResponse answer(bool applied)
{
    return answer(200, applied ? "true" : "false");
}

std::optional<std::uint64_t> numberParameter(const HttpRequest &request, std::string_view name)
{
    const std::optional<std::string> text = findQueryParameter(request.queryString, name);
    if (!text.has_value()) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (failure != std::errc{} || end != text->data() + text->size()) {
        throw std::invalid_argument("not a number");
    }
    return value;
}

/// Parses "10s" or "200ms".
Duration parseWait(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const std::string_view unit(end, text.data() + text.size());
    if (failure == std::errc{} && unit == "ms") {
        return std::chrono::milliseconds(value);
    }
    if (failure == std::errc{} && unit == "s") {
        return std::chrono::seconds(value);
    }
    throw std::invalid_argument("not a duration");
}

bool hasFlag(const HttpRequest &request, std::string_view name)
{
    return ('&' + request.queryString + '&').find('&' + std::string(name) + '&') != std::string::npos
        || findQueryParameter(request.queryString, name).has_value();
}

json entryAsJson(const std::string &key, const Entry &entry)
{
    json object{{"Key", key}, {"Value", absl::Base64Escape(entry.value)}, {"ModifyIndex", entry.modifyIndex}};
    if (!entry.session.empty()) {
        object["Session"] = entry.session;
    }
    return json::array({object});
}

} // namespace

HttpResponse KeyValueService::handle(const HttpRequest &request)
{
    if (request.path == "/fault") {
        return this->handleFault(request);
    }
    if (request.path == "/counters") {
        return this->countersAsJson();
    }
    Faults current;
    {
        const std::lock_guard lock(this->mutex);
        current = this->faults;
    }
    std::this_thread::sleep_for(current.delay);
    if (current.outage) {
        return answer(statusOutage, "No cluster leader");
    }
    try {
        if (request.path.starts_with(keyPrefix)) {
            return this->handleKey(request);
        }
        if (request.path.starts_with("/v1/session/")) {
            return this->handleSession(request);
        }
        return this->handleCatalog(request);
    } catch (const std::exception &error) {
        return answer(statusBadRequest, error.what());
    }
}

HttpResponse KeyValueService::handleKey(const HttpRequest &request)
{
    const std::string key = request.path.substr(keyPrefix.size());
    if (request.method == "GET") {
        return this->handleRead(request, key);
    }
    if (request.body.size() > largestValue) {
        return answer(statusTooLarge, "the value is longer than 1 MB");
    }
    HttpResponse response = this->handleWrite(request, key);
    if (const std::optional<Duration> hold = this->takeLostReply()) {
        std::this_thread::sleep_for(*hold);
        return answer(statusOutage, "the reply is lost");
    }
    return response;
}

HttpResponse KeyValueService::listKeys(const std::string &prefix)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.reads;
    const std::vector<std::string> keys = this->store.keys(prefix, monotonicNow());
    return keys.empty() ? answer(statusNotFound, "") : answer(200, json(keys).dump());
}

HttpResponse KeyValueService::handleRead(const HttpRequest &request, const std::string &key)
{
    if (hasFlag(request, "keys")) {
        return this->listKeys(key);
    }
    const std::uint64_t knownIndex = numberParameter(request, "index").value_or(0);
    const std::optional<std::string> wait = findQueryParameter(request.queryString, "wait");
    std::optional<Entry> entry;
    if (knownIndex > 0) {
        entry = this->waitForChange(key, knownIndex, wait.has_value() ? parseWait(*wait) : defaultWait);
    } else {
        const std::lock_guard lock(this->mutex);
        ++this->counts.reads;
        entry = this->store.read(key, monotonicNow());
    }
    if (!entry.has_value()) {
        return answer(statusNotFound, "");
    }
    HttpResponse response = answer(200, hasFlag(request, "raw") ? entry->value : entryAsJson(key, *entry).dump());
    response.headers.push_back({"X-Consul-Index", std::to_string(entry->modifyIndex)});
    return response;
}

std::optional<Entry> KeyValueService::waitForChange(const std::string &key,
                                                    std::uint64_t knownIndex,
                                                    Duration longestWait)
{
    const Instant end = monotonicNow() + longestWait;
    std::unique_lock lock(this->mutex);
    ++this->counts.watches;
    ++this->counts.waitingNow;
    std::optional<Entry> entry = this->store.read(key, monotonicNow());
    while ((entry.has_value() ? entry->modifyIndex : 0) <= knownIndex && monotonicNow() < end && !this->faults.outage) {
        // Lease expiry has no event of its own, so the wait is cut into short polls.
        this->changed.wait_for(lock, std::min(shortestPoll, end - monotonicNow()));
        entry = this->store.read(key, monotonicNow());
    }
    --this->counts.waitingNow;
    if (this->faults.outage) {
        throw std::runtime_error("the service went down");
    }
    return entry;
}

HttpResponse KeyValueService::handleWrite(const HttpRequest &request, const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.writes;
    bool applied = false;
    if (request.method == "PUT") {
        applied = this->store.write({.key = key,
                                     .value = request.body,
                                     .expectedIndex = numberParameter(request, "cas"),
                                     .acquire = findQueryParameter(request.queryString, "acquire").value_or(""),
                                     .release = findQueryParameter(request.queryString, "release").value_or("")},
                                    monotonicNow());
    } else if (request.method == "DELETE") {
        applied = this->store.remove(key, numberParameter(request, "cas"), monotonicNow());
    } else {
        throw std::invalid_argument("unknown method");
    }
    this->changed.notify_all();
    return answer(applied);
}

HttpResponse KeyValueService::handleSession(const HttpRequest &request)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.writes;
    if (request.path == "/v1/session/create") {
        const json body = request.body.empty() ? json::object() : json::parse(request.body);
        const Duration timeToLive
            = body.contains("TTL") ? parseWait(body["TTL"].get<std::string>()) : defaultSessionTimeToLive;
        const std::string session = this->store.createSession(timeToLive, monotonicNow());
        return answer(200, json{{"ID", session}}.dump());
    }
    if (request.path.starts_with(renewPrefix)) {
        const bool lives = this->store.renewSession(request.path.substr(renewPrefix.size()), monotonicNow());
        return lives ? answer(200, "[]") : answer(statusNotFound, "");
    }
    return answer(statusNotFound, "");
}

HttpResponse KeyValueService::handleCatalog(const HttpRequest &request)
{
    constexpr std::string_view listPath = "/v1/catalog/service/";
    if (request.path.starts_with(listPath)) {
        return this->listVms(request.path.substr(listPath.size()));
    }
    const json body = json::parse(request.body);
    const std::lock_guard lock(this->mutex);
    ++this->counts.writes;
    if (request.path == "/v1/catalog/register") {
        const json service = body.value("Service", json::object());
        const json meta = service.value("Meta", json::object());
        this->store.registerVm({.node = body.at("Node").get<std::string>(),
                                .address = service.value("Address", body.value("Address", "")),
                                .port = service.value("Port", 0),
                                .service = service.value("Service", "hickoryshore"),
                                .state = meta.value("state", "live")},
                               monotonicNow());
        return answer(true);
    }
    if (request.path == "/v1/catalog/deregister") {
        this->store.deregisterVm(body.at("Node").get<std::string>(), monotonicNow());
        return answer(true);
    }
    return answer(statusNotFound, "");
}

HttpResponse KeyValueService::listVms(const std::string &service)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.lists;
    json list = json::array();
    for (const RegisteredVm &vm : this->store.vms(monotonicNow())) {
        if (vm.service != service) {
            continue;
        }
        list.push_back({{"Node", vm.node},
                        {"ServiceAddress", vm.address},
                        {"ServicePort", vm.port},
                        {"ServiceMeta", {{"state", vm.state}}}});
    }
    return answer(200, list.dump());
}

HttpResponse KeyValueService::handleFault(const HttpRequest &request)
{
    try {
        const json body = json::parse(request.body);
        Faults wanted;
        wanted.outage = body.value("outage", false);
        wanted.delay = std::chrono::milliseconds(body.value("delayMs", 0));
        wanted.loseRepliesAfterEffect = body.value("loseRepliesAfterEffect", 0);
        wanted.lostReplyHold = std::chrono::milliseconds(body.value("lostReplyHoldMs", 1000));
        wanted.listLag = std::chrono::milliseconds(body.value("listLagMs", 0));
        wanted.staleReads = body.value("staleReads", false);
        this->setFaults(wanted);
        return answer(true);
    } catch (const json::exception &error) {
        return answer(statusBadRequest, error.what());
    }
}

HttpResponse KeyValueService::countersAsJson()
{
    const Counters now = this->counters();
    const json body{{"reads", now.reads},
                    {"writes", now.writes},
                    {"watches", now.watches},
                    {"waitingNow", now.waitingNow},
                    {"lists", now.lists}};
    return answer(200, body.dump());
}

std::optional<Duration> KeyValueService::takeLostReply()
{
    const std::lock_guard lock(this->mutex);
    if (this->faults.loseRepliesAfterEffect == 0) {
        return std::nullopt;
    }
    --this->faults.loseRepliesAfterEffect;
    return this->faults.lostReplyHold;
}

void KeyValueService::setFaults(const Faults &wanted)
{
    const std::lock_guard lock(this->mutex);
    this->faults = wanted;
    this->store.setListLag(wanted.listLag);
    this->store.setStaleReads(wanted.staleReads);
    this->changed.notify_all();
}

Counters KeyValueService::counters()
{
    const std::lock_guard lock(this->mutex);
    return this->counts;
}

} // namespace hickoryshore::fakes
