// A stand-in for the platform's store: keys with values, listed in pages and watched by prefix.
#pragma once

#include "http.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace review {

/// The bounds that the pages give.
struct StoreSettings
{
    std::size_t pageItems = 500;
    std::size_t pageBytes = std::size_t{1024} * 1024;
    std::chrono::seconds history{20};
};

class Store
{
public:
    Store(const std::string &address, StoreSettings settings);

    /// Writes several keys in one transaction; a key without a value is removed. Returns the time of the
    /// acknowledgement.
    Instant write(const std::map<std::string, std::optional<std::string>> &changes);

private:
    struct Value
    {
        std::string coded; ///< Base64.
        std::uint64_t revision = 0;
    };

    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::string event; ///< As JSON.
        Instant at;
    };

    Response answer(const Request &request);
    Response list(const std::string &prefix, const std::string &after);
    Response watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait);
    void forgetOldChanges();

    StoreSettings settings;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Value> values;
    std::deque<Change> changes;
    std::uint64_t revision = 1;
    std::uint64_t forgottenUpTo = 0;
    HttpServer server;
};

} // namespace review
