#include "scheduler_model.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hickoryshore;

namespace {

using Kind = ModelEvent::Kind;

rc::Gen<std::vector<ModelEvent>> arbitraryEvents()
{
    const auto kind = rc::gen::weightedElement<Kind>({{10, Kind::Submit},
                                                      {10, Kind::Reply},
                                                      {1, Kind::Cancel},
                                                      {6, Kind::Advance},
                                                      {1, Kind::MarkDraining},
                                                      {1, Kind::Update}});
    // The choices use their full range at every test size, so that short sequences also cover every result code.
    const auto choice = rc::gen::inRange<std::uint32_t>(0, 1'000'000);
    const auto event = rc::gen::construct<ModelEvent>(kind, choice, choice);
    return rc::gen::resize(400, rc::gen::container<std::vector<ModelEvent>>(event));
}

std::string runAll(const std::vector<ModelEvent> &events, std::uint64_t seed, std::vector<std::string> &violations)
{
    SchedulerModel model(seed);
    for (const ModelEvent &event : events) {
        model.run(event);
    }
    model.finish();
    violations = model.violations();
    return model.transcript();
}

} // namespace

BOOST_AUTO_TEST_CASE(invariants_hold_for_random_events)
{
    const bool holds = rc::check("invariants", [] {
        const auto events = *arbitraryEvents();
        std::vector<std::string> violations;
        runAll(events, 1, violations);
        RC_ASSERT(violations == std::vector<std::string>{});
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(the_same_events_and_seed_give_the_same_actions)
{
    const bool holds = rc::check("determinism", [] {
        const auto events = *arbitraryEvents();
        std::vector<std::string> violations;
        RC_ASSERT(runAll(events, 7, violations) == runAll(events, 7, violations));
    });
    BOOST_TEST(holds);
}
