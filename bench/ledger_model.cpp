#include "ledger_model.h"

#include "hickoryshore/ledger/ledger_partition.h"
#include "hickoryshore/ledger/partition_turn_queue.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

namespace hickoryshore::bench {

namespace {

constexpr WallTime wallStart{1'700'000'000'000};
constexpr std::size_t outcomeBytes = 200;

struct Event
{
    Instant time;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator>(const Event &other) const
    {
        return std::pair(this->time, this->order) > std::pair(other.time, other.order);
    }
};

/// One kind of call of the service: it serves them one after the other at its rate.
struct CallQueue
{
    Duration cost{0};
    Instant freeAt;

    Instant serve(Instant arrival)
    {
        this->freeAt = std::max(arrival, this->freeAt) + this->cost;
        return this->freeAt;
    }
};

struct StoredPartition
{
    std::string content;
    std::uint64_t index = 0;
};

struct VmPartition
{
    LedgerPartitionState state;
    std::optional<Instant> wakeUpAt;
};

class LedgerModel
{
public:
    explicit LedgerModel(const LedgerLoad &load) : load(load), random(load.seed)
    {
        this->reads.cost = Duration(static_cast<std::int64_t>(1e6 / load.readsPerSecond));
        this->writes.cost = Duration(static_cast<std::int64_t>(1e6 / load.writesPerSecond));
        this->stored.resize(load.partitions);
        this->turns.assign(load.vms, PartitionTurnQueue(load.turnsAtOnce));
        LedgerSettings settings{.writer = "vm", .outcomeDelay = load.outcomeDelay, .maximumGroup = load.maximumGroup};
        settings.nextToken = [this] {
            return this->random();
        };
        for (std::size_t number = 0; number < load.vms * load.partitions; ++number) {
            this->partitions.push_back({LedgerPartitionState(settings), {}});
        }
    }

    LedgerFigures run()
    {
        this->scheduleArrival();
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.run();
        }
        return this->figures();
    }

private:
    void at(Instant time, std::function<void()> run)
    {
        this->events.push({time, ++this->eventCount, std::move(run)});
    }

    WallTime wall() const
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
        return {wallStart.milliseconds + elapsed.count()};
    }

    void scheduleArrival()
    {
        std::exponential_distribution<double> gap(this->load.requestsPerSecond);
        const Instant next = this->now + Duration(static_cast<std::int64_t>(gap(this->random) * 1e6));
        if (next > Instant{} + this->load.length) {
            return;
        }
        this->at(next, [this] {
            this->submit();
            this->scheduleArrival();
        });
    }

    void submit()
    {
        const SubmissionId submission{++this->submitted};
        const LedgerRequest request{
            submission, {"request-" + std::to_string(submission.value)}, {"caller"}, 1, this->wall()};
        const std::size_t partition = ledgerPartitionOf(request.id, this->load.partitions);
        const bool owner = this->load.routing == LedgerRouting::PartitionOwner;
        const std::size_t vm = (owner ? partition : this->random()) % this->load.vms;
        const std::size_t number = vm * this->load.partitions + partition;
        if (this->turnsOf(number).estimatedWait() > LedgerSettings{}.maximumWait / 2) {
            ++this->refused;
            return;
        }
        this->waiting.emplace(submission, Waiting{request.id, this->now});
        this->drive(number, [&](LedgerPartitionState &state, Actions &actions) {
            state.submit(this->now, this->wall(), request, actions);
        });
    }

    using Actions = std::vector<LedgerAction>;

    struct Waiting
    {
        RequestId id;
        Instant since;
    };

    void drive(std::size_t number,
               const std::function<void(LedgerPartitionState &, Actions &)> &event,
               bool endsCall = false)
    {
        Actions actions;
        event(this->partitions[number].state, actions);
        const bool writes = std::ranges::any_of(actions, [](const LedgerAction &action) {
            return std::holds_alternative<WritePartition>(action);
        });
        if (endsCall && !writes) {
            const std::optional<std::size_t> next = this->turnsOf(number).release(this->now, number);
            if (next.has_value()) {
                this->startRead(*next);
            }
        }
        for (const LedgerAction &action : actions) {
            if (const auto *decide = std::get_if<DecideSubmission>(&action)) {
                this->decide(number, *decide);
            } else if (const auto *write = std::get_if<WritePartition>(&action)) {
                this->startWrite(number, *write);
            } else if (this->turnsOf(number).request(this->now, number)) {
                this->startRead(number);
            }
        }
        this->setTimer(number);
    }

    void setTimer(std::size_t number)
    {
        VmPartition &partition = this->partitions[number];
        const std::optional<Instant> next = partition.state.nextTimer();
        if (!next.has_value() || (partition.wakeUpAt.has_value() && *partition.wakeUpAt <= *next)) {
            return;
        }
        partition.wakeUpAt = next;
        this->at(std::max(*next, this->now), [this, number] {
            this->partitions[number].wakeUpAt.reset();
            this->drive(number, [this](LedgerPartitionState &state, Actions &actions) {
                state.onTimer(this->now, actions);
            });
        });
    }

    /// Makes a call to the service: `effect` runs there when it is served, `reply` at the VM afterwards.
    void call(CallQueue &queue, std::function<void()> effect, std::function<void()> reply)
    {
        const Instant served = queue.serve(this->now + this->load.roundTrip / 2);
        this->at(served, std::move(effect));
        this->at(served + this->load.roundTrip / 2, std::move(reply));
    }

    PartitionTurnQueue &turnsOf(std::size_t number)
    {
        return this->turns[number / this->load.partitions];
    }

    void startRead(std::size_t number)
    {
        auto read = std::make_shared<StoredPartition>();
        const auto effect = [this, number, read] {
            *read = this->stored[number % this->load.partitions];
        };
        this->call(this->reads, effect, [this, number, read] {
            const auto event = [&](LedgerPartitionState &state, Actions &actions) {
                state.onRead(this->now, this->wall(), read->content, read->index, actions);
            };
            this->drive(number, event, true);
        });
    }

    void startWrite(std::size_t number, const WritePartition &write)
    {
        auto result = std::make_shared<LedgerWriteResult>(LedgerWriteResult::Conflict);
        const auto effect = [this, number, write, result] {
            StoredPartition &partition = this->stored[number % this->load.partitions];
            if (partition.index == write.expectedIndex) {
                partition = {write.content, partition.index + 1};
                this->largestValue = std::max(this->largestValue, write.content.size());
                *result = LedgerWriteResult::Applied;
            }
        };
        this->call(this->writes, effect, [this, number, result] {
            const auto event = [&](LedgerPartitionState &state, Actions &actions) {
                state.onWriteResult(this->now, *result, actions);
            };
            this->drive(number, event, true);
        });
    }

    void decide(std::size_t number, const DecideSubmission &decide)
    {
        const Waiting asked = this->waiting.extract(decide.submission).mapped();
        if (!decide.decision.accepted) {
            ++this->refused;
            return;
        }
        this->waits.push_back(this->now - asked.since);
        this->at(this->now + this->load.runTime, [this, number, id = asked.id] {
            this->drive(number, [&](LedgerPartitionState &state, Actions &actions) {
                state.complete(this->now, id, ResultCode::Ok, std::string(outcomeBytes, 'x'), actions);
            });
        });
    }

    LedgerFigures figures()
    {
        LedgerCounters sum;
        for (const VmPartition &partition : this->partitions) {
            sum += partition.state.counters();
        }
        std::ranges::sort(this->waits);
        const auto count = static_cast<double>(this->submitted);
        const auto waitAt = [this](std::size_t percent) {
            return this->waits.empty() ? Duration(0) : this->waits[(this->waits.size() - 1) * percent / 100];
        };
        return {.writesPerRequest = static_cast<double>(sum.writes) / count,
                .readsPerRequest = static_cast<double>(sum.reads) / count,
                .conflictsPerRequest = static_cast<double>(sum.conflicts) / count,
                .refusedShare = static_cast<double>(this->refused) / count,
                .median = waitAt(50),
                .percentile99 = waitAt(99),
                .largestValueBytes = this->largestValue};
    }

    LedgerLoad load;
    std::mt19937_64 random;
    Instant now;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t eventCount = 0;
    std::vector<PartitionTurnQueue> turns;
    CallQueue reads;
    CallQueue writes;
    std::vector<StoredPartition> stored;
    std::vector<VmPartition> partitions;
    std::unordered_map<SubmissionId, Waiting> waiting;
    std::vector<Duration> waits;
    std::uint64_t submitted = 0;
    std::uint64_t refused = 0;
    std::size_t largestValue = 0;
};

} // namespace

LedgerFigures runLedgerModel(const LedgerLoad &load)
{
    return LedgerModel(load).run();
}

} // namespace hickoryshore::bench
