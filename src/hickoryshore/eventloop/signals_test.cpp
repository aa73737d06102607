#include "hickoryshore/eventloop/signals.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>

#include <unistd.h>

using namespace hickoryshore;

BOOST_AUTO_TEST_CASE(a_signal_is_told_once)
{
    const std::array signals = {SIGUSR1, SIGHUP};
    const int descriptor = openSignals(signals);
    BOOST_TEST(!nextSignal(descriptor).has_value());
    BOOST_REQUIRE(kill(getpid(), SIGHUP) == 0);
    BOOST_TEST(nextSignal(descriptor).value() == SIGHUP);
    BOOST_TEST(!nextSignal(descriptor).has_value());
    close(descriptor);
}
