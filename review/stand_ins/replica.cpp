#include "replica.h"

#include <utility>

namespace review {

namespace {

constexpr int statusMisdirected = 421;
constexpr int statusFull = 503;

} // namespace

Replica::Replica(Entry ownEntry, int queue, ReplicaHooks hooks)
    : entry(std::move(ownEntry)),
      queue(queue),
      hooks(std::move(hooks)),
      server(this->entry.address, [this](Connection &connection, const Message &request) {
          return this->handle(connection, request);
      })
{ }

bool Replica::handle(Connection &connection, const Message &request)
{
    std::string extra;
    {
        const std::lock_guard lock(this->mutex);
        const auto last = this->lastRefusals.find(&connection);
        if (last != this->lastRefusals.end()) {
            const auto &[refused, answer] = last->second;
            const bool hasRoom = this->running < this->entry.slots || this->waiting < this->queue;
            extra = hasRoom && this->hooks.sendsExtraCopy(refused, request) ? answer : std::string();
            this->lastRefusals.erase(last);
        }
    }
    if (!extra.empty() && !connection.write(extra)) {
        return false;
    }
    const std::string expected = request.header("Expect-Replica");
    if (!expected.empty() && expected != this->entry.id) {
        return this->refuse(connection, request, statusMisdirected);
    }
    if (!this->enter()) {
        return this->refuse(connection, request, statusFull);
    }
    return this->run(connection, request);
}

/// Waits for a slot; returns false where the queue is full.
bool Replica::enter()
{
    std::unique_lock lock(this->mutex);
    if (this->running == this->entry.slots) {
        if (this->waiting == this->queue) {
            return false;
        }
        ++this->waiting;
        this->freed.wait(lock, [this] {
            return this->running < this->entry.slots;
        });
        --this->waiting;
    }
    ++this->running;
    return true;
}

void Replica::leave()
{
    this->leaving = true;
}

void Replica::free()
{
    const std::lock_guard lock(this->mutex);
    --this->running;
    this->freed.notify_one();
}

bool Replica::refuse(Connection &connection, const Message &request, int status)
{
    std::vector<std::pair<std::string, std::string>> headers
        = {{"Request-Id", request.header("Request-Id")}, {"Replica-Id", this->entry.id}};
    if (status == statusFull) {
        headers.emplace_back("Not-Executed", "1");
    }
    const std::string answer = formatResponse(status, headers, "");
    if (this->hooks.onRefused) {
        this->hooks.onRefused(request, status);
    }
    if (this->hooks.sendsExtraCopy && status == statusFull) {
        const std::lock_guard lock(this->mutex);
        this->lastRefusals[&connection] = {request, answer};
    }
    return connection.write(answer);
}

bool Replica::run(Connection &connection, const Message &request)
{
    const RunOutcome outcome = this->hooks.onRun(request);
    std::this_thread::sleep_for(outcome.work);
    this->free();
    if (outcome.lost) {
        connection.reset();
        return false;
    }
    const std::string stamp = this->entry.id + "." + request.header("Request-Id");
    std::vector<std::pair<std::string, std::string>> headers
        = {{"Request-Id", request.header("Request-Id")}, {"Response-Stamp", stamp}};
    if (this->leaving) {
        headers.emplace_back("Server-Leaving", "1");
    }
    return connection.write(formatResponse(200, headers, outcome.body));
}

} // namespace review
