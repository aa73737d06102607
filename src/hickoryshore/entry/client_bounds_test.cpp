#include "hickoryshore/entry/client_bounds.h"

#include <boost/test/unit_test.hpp>

using namespace hickoryshore;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

/// The smallest VMs in use.
EntrySettings smallVm()
{
    return {.memoryBytes = 112 * megabyte, .maxSockets = 2670};
}

} // namespace

BOOST_AUTO_TEST_SUITE(client_bounds)

BOOST_AUTO_TEST_CASE(the_addresses_together_leave_memory_and_sockets_for_the_rest)
{
    const EntrySettings vm = smallVm();
    std::size_t bytes = 0;
    std::size_t sockets = 0;
    for (const HttpListenerSettings &bounds : {callerBounds(vm, {}),
                                               peerBounds(vm),
                                               bodilessBounds(vm, entryPointShare),
                                               bodilessBounds(vm, readinessShare),
                                               bodilessBounds(vm, metricsShare)}) {
        bytes += bounds.maxKeptBytes;
        sockets += bounds.maxConnections;
    }
    BOOST_TEST(bytes <= vm.memoryBytes / 2);
    BOOST_TEST(sockets <= vm.maxSockets * 2 / 3);
}

// Guards against a bound that one request within the limits meets.
BOOST_AUTO_TEST_CASE(the_largest_request_fits_into_the_bounds_of_a_small_vm)
{
    EntrySettings vm = smallVm();
    vm.memoryBytes = megabyte;
    const CallerLimits limits{.headerBytes = megabyte / 16, .bodyBytes = megabyte};
    BOOST_TEST(callerBounds(vm, limits).maxKeptBytes >= 3 * limits.bodyBytes);
    BOOST_TEST(callerBounds(vm, limits).limits.bodyBytes == limits.bodyBytes);
}

BOOST_AUTO_TEST_CASE(a_vm_with_few_sockets_accepts_some_connections_at_each_address)
{
    EntrySettings vm = smallVm();
    vm.maxSockets = 1;
    BOOST_TEST(bodilessBounds(vm, readinessShare).maxConnections > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
