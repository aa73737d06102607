#include "hickoryshore/load/load_run.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/load/entry_directory.h"
#include "hickoryshore/load/history_writer.h"

#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

constexpr Duration graceForAnswer = 500ms; ///< Waited for an answer beyond the deadline.
constexpr Duration lateFrom = 1ms;
constexpr int connectTries = 3;

/// What all threads of a run share.
struct SharedRun
{
    const LoadSettings &settings;
    std::vector<PlannedQuery> queries;
    EntryDirectory directory;
    HistoryWriter history;
    Instant start;
    std::atomic<std::size_t> next{0};
};

/// One sending thread: one query at a time, over connections of its own.
class Sender
{
public:
    Sender(SharedRun &run, int process) : run(run), process(process)
    { }

    void sendAll()
    {
        for (std::size_t number = this->run.next++; number < this->run.queries.size(); number = this->run.next++) {
            const PlannedQuery &query = this->run.queries[number];
            std::this_thread::sleep_for(this->run.start + query.intended - monotonicNow());
            this->send(query);
        }
    }

    LoadReport report;

private:
    void send(const PlannedQuery &query)
    {
        const Instant intended = this->run.start + query.intended;
        const Instant sent = monotonicNow();
        this->report.sentLate += sent - intended > lateFrom ? 1 : 0;
        this->run.history.invocation(this->process, query, sent);
        try {
            const HttpResponse response = this->exchange(query);
            const Instant received = monotonicNow();
            this->run.history.response(this->process, query, response.body, received);
            this->count(query, response, received - intended);
        } catch (const HttpError &error) {
            const Instant failed = monotonicNow();
            this->run.history.noResponse(this->process, query, error.failure == HttpFailure::Connect, failed);
            this->report.addTransportFailure(error.failure, failed - intended);
        }
    }

    void count(const PlannedQuery &query, const HttpResponse &response, Duration latency)
    {
        try {
            const ReceivedAnswer answer = parseAnswer(response.body);
            this->report.addAnswer(answer, checkAnswer(answer, query), latency);
        } catch (const AnswerError &) {
            this->report.addMalformed(latency);
        }
    }

    HttpResponse exchange(const PlannedQuery &query)
    {
        const std::string address = this->connect();
        HttpConnection &connection = this->connections.at(address);
        try {
            HttpResponse response
                = connection.exchange(this->requestOf(query), this->run.settings.deadline + graceForAnswer);
            if (!connection.reusable()) {
                this->connections.erase(address);
            }
            return response;
        } catch (const HttpError &) {
            this->connections.erase(address);
            throw;
        }
    }

    /// Returns the address of an entry VM to which there is a connection now. Throws HttpError(Connect).
    std::string connect()
    {
        for (int attempt = 1;; ++attempt) {
            std::string address = this->run.directory.pick(monotonicNow());
            if (this->connections.contains(address)) {
                return address;
            }
            try {
                const HostPort hostPort = parseHostPort(address);
                this->connections.emplace(address, HttpConnection(hostPort.host, hostPort.port));
                return address;
            } catch (const HttpError &) {
                this->run.directory.forget(address);
                if (attempt == connectTries) {
                    throw;
                }
            }
        }
    }

    HttpRequest requestOf(const PlannedQuery &query) const
    {
        const LoadSettings &settings = this->run.settings;
        const nlohmann::json body = {{"requestId", query.id.value},
                                     {"caller", settings.caller.value},
                                     {"query", query.text},
                                     {"deadlineMs", ceilMilliseconds(settings.deadline)},
                                     {"idempotent", query.idempotent},
                                     {"issuedAtMs", wallNow().milliseconds}};
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/indexes/" + settings.index.value + "/query";
        request.body = body.dump();
        return request;
    }

    SharedRun &run;
    int process = 0;
    std::map<std::string, HttpConnection> connections; ///< By address.
};

} // namespace

LoadReport runLoad(const LoadSettings &settings)
{
    const std::string idPrefix = "load-" + std::to_string(wallNow().milliseconds) + '-';
    SharedRun run{settings,
                  planQueries(settings, idPrefix),
                  {settings.entry, settings.seed},
                  HistoryWriter(settings.historyFile),
                  monotonicNow()};
    std::deque<Sender> senders;
    for (int process = 0; process < settings.concurrency; ++process) {
        senders.emplace_back(run, process);
    }
    std::vector<std::jthread> threads;
    for (Sender &sender : senders) {
        threads.emplace_back([&sender] {
            sender.sendAll();
        });
    }
    threads.clear();
    LoadReport total;
    for (const Sender &sender : senders) {
        total.add(sender.report);
    }
    return total;
}

} // namespace hickoryshore
