// The stand-in for the platform as an HTTP handler, in the style of Consul's published interface, with faults that are
// switched by HTTP.
//
//     KeyValueService service;
//     HttpServer server({.port = 8500}, [&](const HttpRequest &request) { return service.handle(request); });
#pragma once

#include "hickoryshore/http/http_message.h"

#include "key_value_store.h"

#include <condition_variable>
#include <mutex>

namespace hickoryshore::fakes {

/// The faults, as PUT /fault gives them; a field that is left out goes back to its default.
struct Faults
{
    bool outage = false; ///< Every call is answered with status 500 and has no effect.
    Duration delay{0}; ///< Added to every call.
    int loseRepliesAfterEffect = 0; ///< The next writes take effect but are never answered in time.
    Duration lostReplyHold{std::chrono::seconds(1)}; ///< How long a lost reply keeps its connection.
    Duration listLag{0}; ///< Age of the VM list.
    bool staleReads = false; ///< Reads answer the state of the moment when this was switched on.
};

/// Calls since the start, by kind.
struct Counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0; ///< Waiting watches that were begun.
    std::uint64_t waitingNow = 0; ///< Watches that wait at this moment.
    std::uint64_t lists = 0;
};

/// Serves requests from many threads.
class KeyValueService
{
public:
    HttpResponse handle(const HttpRequest &request);

    /// Sets the faults, as PUT /fault does.
    void setFaults(const Faults &faults);

    Counters counters();

private:
    HttpResponse handleKey(const HttpRequest &request);
    HttpResponse listKeys(const std::string &prefix);
    HttpResponse handleRead(const HttpRequest &request, const std::string &key);
    HttpResponse handleWrite(const HttpRequest &request, const std::string &key);
    HttpResponse handleSession(const HttpRequest &request);
    HttpResponse handleCatalog(const HttpRequest &request);
    HttpResponse listVms(const std::string &service);
    HttpResponse handleFault(const HttpRequest &request);
    HttpResponse countersAsJson();
    std::optional<Entry> waitForChange(const std::string &key, std::uint64_t knownIndex, Duration longestWait);
    /// Returns how long the reply is held back, where this reply is to be lost.
    std::optional<Duration> takeLostReply();

    std::mutex mutex;
    std::condition_variable changed;
    KeyValueStore store;
    Faults faults;
    Counters counts;
};

} // namespace hickoryshore::fakes
