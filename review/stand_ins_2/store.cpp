#include "store.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

using Json = nlohmann::json;

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string coded;
    coded.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t each = 0; each < 3; ++each) {
            const std::size_t at = index + each;
            group = group << 8U | (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
        }
        for (std::size_t each = 0; each < 4; ++each) {
            const bool padding = index + each > bytes.size();
            coded += padding ? '=' : digits[group >> (18U - 6U * each) & 63U];
        }
    }
    return coded;
}

std::string itemText(const std::string &key, const std::string &coded, std::uint64_t revision)
{
    const std::string number = std::to_string(revision);
    return R"({"key":)" + Json(key).dump() + R"(,"value":")" + coded + R"(","revision":)" + number + R"(,"created":)"
        + number + R"(,"lease":0})";
}

Response jsonResponse(std::string body)
{
    return {.headers = {{"content-type", "application/json"}, {"store-era", "1"}}, .body = std::move(body)};
}

std::uint64_t parseNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

Store::Store(const std::string &address, StoreSettings settings)
    : settings(settings), server(address, [this](const Request &request) {
          return this->answer(request);
      })
{ }

Instant Store::write(const std::map<std::string, std::optional<std::string>> &written)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    const Instant now = Clock::now();
    for (const auto &[key, value] : written) {
        std::string event;
        if (value.has_value()) {
            Value &stored = this->values[key];
            stored = {base64(*value), this->revision};
            event = itemText(key, stored.coded, this->revision);
        } else if (this->values.erase(key) > 0) {
            event = Json{{"key", key}, {"revision", this->revision}, {"tombstone", true}}.dump();
        } else {
            continue;
        }
        this->changes.push_back({this->revision, key, std::move(event), now});
    }
    this->forgetOldChanges();
    this->changed.notify_all();
    return now;
}

void Store::forgetOldChanges()
{
    const Instant oldest = Clock::now() - this->settings.history;
    while (!this->changes.empty() && this->changes.front().at < oldest) {
        this->forgottenUpTo = this->changes.front().revision;
        this->changes.pop_front();
    }
}

Response Store::answer(const Request &request)
{
    const std::string prefix = queryParameter(request.target, "prefix");
    const std::string after = queryParameter(request.target, "after");
    if (request.target.starts_with("/kv-range?")) {
        return this->list(prefix, after);
    }
    if (request.target.starts_with("/kv-watch?")) {
        const std::chrono::milliseconds wait(parseNumber(queryParameter(request.target, "wait_ms")));
        return this->watch(prefix, parseNumber(after), wait);
    }
    return {.status = 404};
}

Response Store::list(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock(this->mutex);
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto item = this->values.lower_bound(std::max(prefix, after));
         item != this->values.end() && item->first.starts_with(prefix);
         ++item) {
        if (item->first == after) {
            continue;
        }
        if (count == this->settings.pageItems || (count > 0 && items.size() >= this->settings.pageBytes)) {
            more = true;
            break;
        }
        items += (count > 0 ? "," : "") + itemText(item->first, item->second.coded, item->second.revision);
        ++count;
    }
    return jsonResponse(R"({"items":[)" + items + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"as_of":)"
                        + std::to_string(this->revision) + "}");
}

Response Store::watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait)
{
    std::unique_lock lock(this->mutex);
    const Instant until = Clock::now() + wait;
    while (true) {
        this->forgetOldChanges();
        if (after < this->forgottenUpTo || after > this->revision) {
            return {.status = 410, .headers = {{"store-era", "1"}}, .body = {}};
        }
        std::string events;
        for (const Change &change : this->changes) {
            if (change.revision > after && change.key.starts_with(prefix)) {
                events += (events.empty() ? "" : ",") + change.event;
            }
        }
        if (!events.empty() || Clock::now() >= until) {
            return jsonResponse(R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(this->revision) + "}");
        }
        this->changed.wait_until(lock, until);
    }
}

} // namespace review
