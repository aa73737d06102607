// A stand-in for a replica: it runs requests in its slots, refuses what its queue has no room for, and answers.
#pragma once

#include "fleet.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace review {

/// How a replica answers a request that it has run.
struct RunOutcome
{
    Milliseconds work{60};
    bool lost = false; ///< The connection is reset and the answer lost.
    std::string body = "0123456789abcdef";
};

/// What a replica is asked and tells.
struct ReplicaHooks
{
    /// A request begins to run.
    std::function<RunOutcome(const Message &)> onRun;

    /// A request was refused with this status and did not run. May be empty.
    std::function<void(const Message &, int status)> onRefused;

    /// Whether an extra copy of a refusal is sent late, where the answer to the next request on the connection is
    /// expected. Asked if the replica has room for that request. May be empty.
    std::function<bool(const Message &refused, const Message &next)> sendsExtraCopy;
};

/// One replica at an address. It serves one request at a time on a connection.
class Replica
{
public:
    Replica(Entry entry, int queue, ReplicaHooks hooks);

    /// From now on all answers say that the replica leaves.
    void leave();

    const Entry entry;

private:
    bool handle(Connection &connection, const Message &request);
    bool enter();
    void free();
    bool refuse(Connection &connection, const Message &request, int status);
    bool run(Connection &connection, const Message &request);

    int queue;
    ReplicaHooks hooks;
    std::atomic<bool> leaving = false;
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
    std::map<Connection *, std::pair<Message, std::string>> lastRefusals; ///< By connection: request and answer.
    Server server; ///< Last, since it uses the others.
};

} // namespace review
