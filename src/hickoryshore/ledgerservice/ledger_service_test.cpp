#include "hickoryshore/clock/clock.h"
#include "hickoryshore/ledgerservice/ledger_service.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <mutex>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

/// A key-value service in memory that can lose replies and be down.
struct MemoryStore
{
    std::mutex mutex;
    std::map<std::string, StoredValue, std::less<>> values;
    int lostReplies = 0;
    bool down = false;

    std::optional<StoredValue> read(std::string_view key)
    {
        const std::lock_guard lock(this->mutex);
        if (this->down) {
            throw PlatformError("down");
        }
        const auto value = this->values.find(key);
        return value == this->values.end() ? std::nullopt : std::optional(value->second);
    }

    WriteResult compareAndSwap(std::string_view key, std::string_view value, std::uint64_t expectedIndex)
    {
        const std::lock_guard lock(this->mutex);
        StoredValue &stored = this->values[std::string(key)];
        if (stored.modifyIndex != expectedIndex) {
            return WriteResult::Conflict;
        }
        stored = {std::string(value), expectedIndex + 1};
        return this->lostReplies-- > 0 ? WriteResult::Unknown : WriteResult::Applied;
    }

    LedgerServiceSettings settings()
    {
        return {.ledger = {.maximumWait = 1min},
                .read =
                    [this](std::string_view key) {
                        return this->read(key);
                    },
                .compareAndSwap =
                    [this](std::string_view key, std::string_view value, std::uint64_t expectedIndex) {
                        return this->compareAndSwap(key, value, expectedIndex);
                    }};
    }
};

LedgerRequest makeRequest(std::string_view id, bool repeated = false)
{
    return {.id = {std::string(id)}, .caller = {"caller"}, .bodyHash = 1, .issuedAt = wallNow(), .repeated = repeated};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_accepted_once_over_two_vms_even_after_a_lost_reply)
{
    MemoryStore store;
    store.lostReplies = 1;
    EventLoop loop;
    LedgerService first(loop, store.settings());
    LedgerService second(loop, store.settings());
    const LedgerRequest request = makeRequest("a");
    std::string order;
    const auto onLookUp = [&](const LedgerDecision &decision) {
        order += decision.recordedOutcome;
        loop.stop();
    };
    const auto onRepeat = [&](const LedgerDecision &decision) {
        order += decision.code == ResultCode::OutcomeUnknown ? "unknown " : "? ";
        first.complete({"a"}, ResultCode::Ok, "outcome");
        loop.every(5ms, [&] {
            if (first.idle()) {
                second.lookUp({"a"}, std::nullopt, onLookUp);
            }
        });
    };
    first.submit(request, [&](const LedgerDecision &decision) {
        order += decision.accepted ? "accepted " : "? ";
        LedgerRequest repeat = request;
        repeat.repeated = true;
        second.submit(repeat, onRepeat);
    });
    loop.run();
    BOOST_TEST(order.starts_with("accepted unknown outcome"));
    BOOST_TEST(first.counters().unknownWrites == 1);
}

BOOST_AUTO_TEST_CASE(an_outage_refuses_and_the_ledger_works_again_afterwards)
{
    MemoryStore store;
    store.down = true;
    EventLoop loop;
    LedgerServiceSettings settings = store.settings();
    settings.ledger.firstRetryAfter = 10ms;
    settings.partitions = 1;
    LedgerService ledger(loop, settings);
    bool accepted = false;
    ledger.submit(makeRequest("a"), [&](const LedgerDecision &decision) {
        BOOST_TEST((decision.code == ResultCode::PlatformUnavailable));
        BOOST_TEST((decision.execution == Execution::NotRun));
        store.down = false;
        loop.after(decision.retryAfter, [&] {
            ledger.submit(makeRequest("a", true), [&](const LedgerDecision &again) {
                accepted = again.accepted;
                loop.stop();
            });
        });
    });
    loop.run();
    BOOST_TEST(accepted);
    BOOST_TEST(ledgerKey("hickoryshore/ledger/", 7) == "hickoryshore/ledger/07");
}
