// The stand-in upstream's state: slots, snapshots, faults and the record of what ran.
#pragma once

#include "hickoryshore/http/http_message.h"
#include "hickoryshore/upstream/upstream_protocol.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hickoryshore::fakes {

/// How one stand-in replica behaves. PUT /fault replaces the fields that its JSON body names.
struct UpstreamBehaviour
{
    int slots = 2;
    int queueLimit = 64; ///< Requests that may wait for a slot; further ones are shed.
    int serviceMicros = 2000; ///< Median service time.
    double spread = 0.3; ///< Standard deviation of the logarithm of the service time.
    double slowShare = 0.0; ///< Share of replies that take `slowFactor` times as long.
    double slowFactor = 20.0;
    double stragglerFactor = 1.0; ///< Every reply takes this many times as long.
    double shedShare = 0.0; ///< Share of requests that are shed.
    bool draining = false;
    bool refuseWhenDraining = false; ///< Otherwise a draining replica still runs what it gets.
    bool garbage = false; ///< Replies that cannot be parsed.
    bool crossedEcho = false; ///< Each reply is that of the request before: its echo and its result.
    bool silent = false; ///< Requests run, but no reply is sent.
    std::string loadReport = "true"; ///< "true", "none", "frozen" or "inverted".
    std::uint32_t layout = 0;
    std::vector<std::uint64_t> snapshots{1};
};

/// One execution, as the record of this replica lists it.
struct Execution
{
    std::string requestId;
    std::string attemptId;
    std::string shard;
    std::uint64_t snapshot = 0;
    bool idempotent = true;
    std::int64_t atMs = 0; ///< Wall-clock time.
    bool cancelled = false;
};

/// Runs sub-requests for one replica. Thread-safe.
class UpstreamState
{
public:
    UpstreamState(std::string address, UpstreamBehaviour behaviour, std::uint64_t seed);

    /// Serves POST and DELETE /v1/sub-requests, GET /v1/health, GET /v1/executions, PUT /fault.
    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse run(const HttpRequest &httpRequest);
    HttpResponse setBehaviour(const HttpRequest &request);
    HttpResponse listExecutions();
    UpstreamReport report();
    bool waitForSlot(const UpstreamRequest &request, std::unique_lock<std::mutex> &lock);
    ResultCode refusalOf(const UpstreamRequest &request);
    void serve(const UpstreamRequest &request, std::unique_lock<std::mutex> &lock);
    std::chrono::microseconds drawServiceTime();
    SnapshotId answeringSnapshot(const UpstreamRequest &request) const;

    std::string address;
    std::mutex mutex;
    std::condition_variable changed;
    UpstreamBehaviour behaviour;
    std::mt19937_64 random;
    int running = 0;
    int waiting = 0;
    int frozenReport = 0;
    std::set<std::string> cancelled;
    std::string replyBefore; ///< The body that belongs to the request before.
    std::vector<Execution> executions;
};

} // namespace hickoryshore::fakes
