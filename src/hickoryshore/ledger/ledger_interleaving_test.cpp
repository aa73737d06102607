// Runs random interleavings of several VMs on one partition, with crashes, pauses, lost replies, late writes and
// repeated requests. Mutations of the environment show that the checks detect violations.
#include "hickoryshore/ledger/ledger_partition.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

enum class Mutation {
    None,
    StoreIgnoresIndex,
    RefusedIsDispatched,
    OutcomeIsChanged,
    CompletionIsLost,
    RepeatIsHidden
};

struct Violation
{
    std::string text;
};

void require(bool held, std::string_view invariant)
{
    if (!held) {
        throw Violation{std::string(invariant)};
    }
}

constexpr std::string_view dispatchedTwice = "a request was dispatched twice";
constexpr std::string_view notRunRan = "a request that ran was answered as not run";
constexpr std::string_view outcomeDiffers = "a recorded outcome differs from the request's outcome";
constexpr std::string_view refusedIntentRemains = "a refused intent remains recorded as one that may run";
constexpr std::string_view outcomeLost = "the outcome of an accepted request was lost";

struct LateWrite
{
    std::string content;
    std::uint64_t expectedIndex = 0;
};

/// Stands for the platform's service with one key.
struct Store
{
    std::string content;
    std::uint64_t index = 0;
    Mutation mutation = Mutation::None;

    bool compareAndSwap(const LateWrite &write)
    {
        if (write.expectedIndex != this->index && this->mutation != Mutation::StoreIgnoresIndex) {
            return false;
        }
        this->content = write.content;
        ++this->index;
        return true;
    }
};

struct Vm
{
    std::optional<LedgerPartitionState> partition;
    std::optional<LedgerAction> operation;
    std::int64_t clockSkew = 0;
    int process = 0;
    std::map<RequestId, int> running; ///< Number of the run for each dispatched request that is not complete.
};

/// What actually happened to a request id.
struct GroundTruth
{
    int runs = 0; ///< Dispatches that ran or may have run.
    WallTime issuedAt;
    std::optional<std::string> outcome;
    std::optional<std::pair<std::size_t, int>> completedBy; ///< The VM and the process that received the outcome.
};

struct Submitted
{
    RequestId id;
    std::size_t vm = 0;
    int process = 0;
    bool ranBefore = false;
    bool decided = false;
};

class InterleavedRun
{
public:
    InterleavedRun(std::uint64_t seed, Mutation mutation) : random(seed), mutation(mutation)
    {
        this->store.mutation = mutation;
        for (Vm &vm : this->vms) {
            vm.clockSkew = static_cast<std::int64_t>(this->randomBelow(800)) - 400;
            this->startProcess(vm);
        }
    }

    void run()
    {
        for (int step = 0; step < 160; ++step) {
            this->step();
        }
        this->faults = false;
        for (int round = 0; round < 400; ++round) {
            this->now += 50ms;
            for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
                this->serveWithoutFaults(vm);
            }
        }
        this->checkFinalState();
    }

private:
    std::uint64_t randomBelow(std::uint64_t bound)
    {
        return this->random() % bound;
    }

    WallTime wall(const Vm &vm) const
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
        return {1'000'000 + elapsed.count() + vm.clockSkew};
    }

    void startProcess(Vm &vm)
    {
        vm.process = ++this->processes;
        vm.operation.reset();
        vm.running.clear();
        vm.partition.emplace(LedgerSettings{.writer = std::to_string(vm.process), .retention = 1s, .nextToken = [this] {
                                                return this->random();
                                            }});
    }

    void step()
    {
        ++this->steps;
        const std::size_t vm = this->randomBelow(this->vms.size());
        const std::uint64_t kind = this->randomBelow(100);
        if (kind < 25) {
            this->submit(vm);
        } else if (kind < 65) {
            this->serveOperation(vm);
        } else if (kind < 75) {
            this->complete(vm);
        } else if (kind < 80) {
            this->lateWrite();
        } else if (kind < 82) {
            this->startProcess(this->vms[vm]);
        } else {
            this->now += std::chrono::milliseconds(this->randomBelow(150));
            this->deliver(vm, [&](LedgerPartitionState &partition, std::vector<LedgerAction> &actions) {
                partition.onTimer(this->now, actions);
            });
        }
    }

    void serveWithoutFaults(std::size_t vm)
    {
        this->serveOperation(vm);
        this->complete(vm);
        this->deliver(vm, [&](LedgerPartitionState &partition, std::vector<LedgerAction> &actions) {
            partition.onTimer(this->now, actions);
        });
    }

    template<typename Event>
    void deliver(std::size_t vm, Event event)
    {
        std::vector<LedgerAction> actions;
        event(*this->vms[vm].partition, actions);
        for (const LedgerAction &action : actions) {
            if (const auto *decide = std::get_if<DecideSubmission>(&action)) {
                this->onDecision(vm, *decide);
            } else {
                BOOST_REQUIRE(!this->vms[vm].operation.has_value());
                this->vms[vm].operation = action;
            }
        }
    }

    void submit(std::size_t vm)
    {
        const RequestId id{"request-" + std::to_string(this->randomBelow(2 + this->steps / 16))};
        const bool repeated = this->groundTruths.contains(id) && this->mutation != Mutation::RepeatIsHidden;
        GroundTruth &request
            = this->groundTruths.try_emplace(id, GroundTruth{.issuedAt = this->wall(this->vms[vm])}).first->second;
        const SubmissionId submission{this->submissions.size()};
        this->submissions.push_back({id, vm, this->vms[vm].process, request.runs > 0});
        const bool lookUp = this->randomBelow(5) == 0;
        this->deliver(vm, [&](LedgerPartitionState &partition, std::vector<LedgerAction> &actions) {
            if (lookUp) {
                partition.lookUp(this->now, {submission, id, request.issuedAt}, actions);
                return;
            }
            const std::uint64_t body = this->randomBelow(10) == 0 ? 2 : 1;
            const LedgerRequest ledgerRequest{submission, id, {"caller"}, body, request.issuedAt, repeated};
            partition.submit(this->now, this->wall(this->vms[vm]), ledgerRequest, actions);
        });
    }

    void serveOperation(std::size_t vm)
    {
        const std::optional<LedgerAction> operation = std::exchange(this->vms[vm].operation, std::nullopt);
        if (!operation.has_value()) {
            return;
        }
        const std::uint64_t fault = this->faults ? this->randomBelow(12) : 99;
        this->deliver(vm, [&](LedgerPartitionState &partition, std::vector<LedgerAction> &actions) {
            const auto *write = std::get_if<WritePartition>(&*operation);
            if (write != nullptr) {
                const LateWrite sent{write->content, write->expectedIndex};
                partition.onWriteResult(this->now, this->serveWrite(sent, fault), actions);
            } else if (fault == 0) {
                partition.onReadFailed(this->now, actions);
            } else {
                partition.onRead(this->now, this->wall(this->vms[vm]), this->readStore(), this->store.index, actions);
            }
        });
    }

    std::string readStore() const
    {
        if (this->mutation != Mutation::OutcomeIsChanged || this->store.index == 0) {
            return this->store.content;
        }
        LedgerRecord record = parseLedgerRecord(this->store.content);
        for (auto &[id, entry] : record.entries) {
            entry.outcome += "x";
        }
        return serializeLedgerRecord(record);
    }

    LedgerWriteResult serveWrite(const LateWrite &write, std::uint64_t fault)
    {
        if (fault == 0) {
            return LedgerWriteResult::NotSent;
        }
        if (fault == 1) {
            return LedgerWriteResult::Unknown;
        }
        if (fault == 2) {
            this->lateWrites.push_back(write);
            return LedgerWriteResult::Unknown;
        }
        const bool applied = this->store.compareAndSwap(write);
        if (fault == 3) {
            return LedgerWriteResult::Unknown;
        }
        return applied ? LedgerWriteResult::Applied : LedgerWriteResult::Conflict;
    }

    void lateWrite()
    {
        if (!this->lateWrites.empty()) {
            this->store.compareAndSwap(this->lateWrites.back());
            this->lateWrites.pop_back();
        }
    }

    void onDecision(std::size_t vm, const DecideSubmission &decide)
    {
        Submitted &submitted = this->submissions.at(decide.submission.value);
        const LedgerDecision &decision = decide.decision;
        require(!submitted.decided, "a submission was decided twice");
        submitted.decided = true;
        const bool refused = decision.code == ResultCode::PlatformUnavailable;
        if (decision.accepted || (refused && this->mutation == Mutation::RefusedIsDispatched)) {
            this->dispatch(vm, submitted.id);
        }
        GroundTruth &request = this->groundTruths[submitted.id];
        if (!decision.accepted && decision.execution == Execution::NotRun
            && decision.code != ResultCode::RequestIdReused) {
            const bool dispatchedAnyway = refused && this->mutation == Mutation::RefusedIsDispatched;
            require(!(submitted.ranBefore && request.runs > 0) && !dispatchedAnyway, notRunRan);
        }
        if (decision.code == ResultCode::RecordedOutcome) {
            require(request.outcome == decision.recordedOutcome, outcomeDiffers);
        }
    }

    void dispatch(std::size_t vm, const RequestId &id)
    {
        GroundTruth &request = this->groundTruths[id];
        if (this->mutation != Mutation::RefusedIsDispatched) {
            require(request.runs == 0, dispatchedTwice);
        }
        ++request.runs;
        this->vms[vm].running[id] = ++this->runNumber;
    }

    void complete(std::size_t number)
    {
        Vm &vm = this->vms[number];
        if (vm.running.empty()) {
            return;
        }
        const RequestId id = vm.running.begin()->first;
        const int run = vm.running.begin()->second;
        vm.running.erase(vm.running.begin());
        GroundTruth &request = this->groundTruths[id];
        const std::string outcome = "outcome of run " + std::to_string(run);
        ResultCode code = ResultCode::Ok;
        const std::uint64_t kind = this->randomBelow(4);
        if (kind == 0) {
            code = ResultCode::ConnectionLost;
        } else if (kind == 1) {
            code = ResultCode::QueueFull;
            --request.runs;
        } else {
            request.outcome = outcome;
            request.completedBy = {number, vm.process};
        }
        if (this->mutation == Mutation::CompletionIsLost) {
            return;
        }
        this->deliver(number, [&](LedgerPartitionState &partition, std::vector<LedgerAction> &actions) {
            partition.complete(this->now, id, code, outcome, actions);
        });
    }

    void checkFinalState()
    {
        for (const Submitted &submitted : this->submissions) {
            const bool sameProcess = this->vms[submitted.vm].process == submitted.process;
            require(submitted.decided || !sameProcess, "a submission was never decided");
        }
        const LedgerRecord record = this->store.index == 0 ? LedgerRecord{} : parseLedgerRecord(this->store.content);
        for (const auto &[id, entry] : record.entries) {
            require(entry.state != LedgerState::Intent || !this->processAlive(entry.writer)
                        || this->groundTruths[id].runs > 0,
                    refusedIntentRemains);
        }
        for (const auto &[id, request] : this->groundTruths) {
            if (!request.completedBy.has_value()
                || this->vms[request.completedBy->first].process != request.completedBy->second) {
                continue;
            }
            const LedgerEntry *entry = record.find(id);
            const bool pruned = entry == nullptr && request.issuedAt < record.prunedBefore;
            const bool done
                = entry != nullptr && entry->state == LedgerState::Done && entry->outcome == request.outcome;
            require(pruned || done, outcomeLost);
        }
    }

    bool processAlive(std::string_view writer) const
    {
        return std::ranges::any_of(this->vms, [writer](const Vm &vm) {
            return std::to_string(vm.process) == writer;
        });
    }

    std::mt19937_64 random;
    Mutation mutation;
    bool faults = true;
    Instant now;
    Store store;
    std::vector<Vm> vms = std::vector<Vm>(4);
    std::vector<LateWrite> lateWrites;
    std::map<RequestId, GroundTruth> groundTruths;
    std::vector<Submitted> submissions;
    int runNumber = 0;
    int processes = 0;
    int steps = 0;
};

std::optional<std::string> findViolation(std::uint64_t seed, Mutation mutation)
{
    try {
        InterleavedRun(seed, mutation).run();
    } catch (const Violation &violation) {
        return violation.text;
    }
    return std::nullopt;
}

bool isDetected(Mutation mutation, std::string_view invariant)
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        if (findViolation(seed, mutation) == invariant) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_interleaving_breaks_an_invariant)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        const std::optional<std::string> violation = findViolation(seed, Mutation::None);
        RC_ASSERT(violation.value_or("") == "");
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(each_mutation_breaks_its_invariant)
{
    BOOST_TEST(isDetected(Mutation::StoreIgnoresIndex, dispatchedTwice));
    BOOST_TEST(isDetected(Mutation::RefusedIsDispatched, notRunRan));
    BOOST_TEST(isDetected(Mutation::RepeatIsHidden, notRunRan));
    BOOST_TEST(isDetected(Mutation::OutcomeIsChanged, outcomeDiffers));
    BOOST_TEST(isDetected(Mutation::CompletionIsLost, outcomeLost));
}
