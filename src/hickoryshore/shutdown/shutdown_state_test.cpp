#include "hickoryshore/shutdown/shutdown_state.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <stdexcept>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

template<typename Action>
std::size_t countOf(const std::vector<ShutdownAction> &actions)
{
    std::size_t count = 0;
    for (const ShutdownAction &action : actions) {
        count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
}

/// Random valid settings.
ShutdownSettings anySettings()
{
    const auto anySeconds = [] {
        return Duration(std::chrono::seconds(*rc::gen::inRange(0, 60)));
    };
    ShutdownSettings settings{.leaveGossipTime = anySeconds(),
                              .entryPointLifetime = anySeconds(),
                              .handOverTimeout = anySeconds(),
                              .refusePeriod = anySeconds()};
    settings.maxShutdownTime
        = settings.leaveGossipTime + settings.entryPointLifetime + settings.refusePeriod + anySeconds();
    return settings;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_idle_vm_leaves_once_the_answers_that_name_it_have_expired)
{
    ShutdownState shutdown({});
    std::vector<ShutdownAction> actions;
    const Instant start(100s);
    BOOST_TEST(!shutdown.nextTimer(start).has_value());
    shutdown.beginLeave(start, actions);
    BOOST_TEST(countOf<AnnounceLeavingAction>(actions) == 1U);
    BOOST_TEST(countOf<HandOverShardsAction>(actions) == 1U);
    shutdown.shardsHandedOver();
    BOOST_TEST((shutdown.phase() == ShutdownPhase::Lingering));
    shutdown.onTimer(start + 34s, 0, actions);
    BOOST_TEST(shutdown.acceptsQueries());
    shutdown.onTimer(start + 35s, 0, actions);
    BOOST_TEST((shutdown.phase() == ShutdownPhase::Refusing));
    shutdown.onTimer(start + 37s, 0, actions);
    BOOST_TEST((shutdown.phase() == ShutdownPhase::Exiting));
    BOOST_TEST(std::get<ExitAction>(actions.back()).cut == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_never_ends_is_aborted_at_the_limit)
{
    ShutdownState shutdown({});
    std::vector<ShutdownAction> actions;
    shutdown.beginLeave(Instant(0s), actions);
    for (Instant now(0s); now < Instant(60s); now += 1s) {
        shutdown.onTimer(now, 1, actions);
        BOOST_TEST((shutdown.phase() != ShutdownPhase::Exiting));
    }
    shutdown.onTimer(Instant(60s), 1, actions);
    BOOST_TEST(std::get<ExitAction>(actions.back()).cut == 1U);
}

BOOST_AUTO_TEST_CASE(a_limit_before_the_answers_expire_is_rejected)
{
    BOOST_CHECK_THROW(ShutdownState({.maxShutdownTime = 10s}), std::invalid_argument);
}

BOOST_AUTO_TEST_CASE(phases_only_advance_and_no_request_is_aborted_before_the_limit)
{
    const bool holds = rc::check("shutdown", [] {
        const ShutdownSettings settings = anySettings();
        ShutdownState shutdown(settings);
        std::vector<ShutdownAction> actions;
        const Instant start(std::chrono::seconds(*rc::gen::inRange(0, 5)));
        const Instant expiry = start + settings.leaveGossipTime + settings.entryPointLifetime;
        shutdown.beginLeave(start, actions);
        ShutdownPhase before = shutdown.phase();
        Instant now = start;
        std::size_t inFlight = 0;
        while (shutdown.phase() != ShutdownPhase::Exiting) {
            now = *shutdown.nextTimer(now);
            RC_ASSERT(now <= start + settings.maxShutdownTime);
            inFlight = *rc::gen::inRange<std::size_t>(0, 3);
            if (*rc::gen::arbitrary<bool>()) {
                shutdown.shardsHandedOver();
                shutdown.beginLeave(now, actions);
            }
            shutdown.onTimer(now, inFlight, actions);
            RC_ASSERT(shutdown.phase() >= before);
            RC_ASSERT(shutdown.acceptsQueries() || now >= expiry);
            before = shutdown.phase();
        }
        RC_ASSERT(inFlight == 0U || now >= start + settings.maxShutdownTime);
        RC_ASSERT(now >= expiry + settings.refusePeriod);
        RC_ASSERT(countOf<AnnounceLeavingAction>(actions) == 1U);
        RC_ASSERT(countOf<RefuseQueriesAction>(actions) == 1U);
        RC_ASSERT(countOf<ExitAction>(actions) == 1U);
    });
    BOOST_TEST(holds);
}
