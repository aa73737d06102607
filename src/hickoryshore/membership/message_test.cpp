#include "hickoryshore/membership/message.h"
#include "hickoryshore/membership/update_queue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hickoryshore;

namespace {

std::string anyName(int shortest = 0)
{
    return *rc::gen::resize(40, rc::gen::container<std::string>(rc::gen::inRange('a', 'z')))
        + std::string(static_cast<std::size_t>(shortest), 'x');
}

MemberUpdate anyUpdate()
{
    MemberUpdate update{.vm = {anyName(1)},
                        .processId = *rc::gen::inRange<std::uint64_t>(1, UINT64_MAX),
                        .started = {*rc::gen::inRange<std::int64_t>(0, INT64_MAX)},
                        .incarnation = *rc::gen::inRange<std::uint32_t>(0, INT32_MAX),
                        .state = static_cast<MemberState>(*rc::gen::inRange(0, 4))};
    if (*rc::gen::arbitrary<bool>()) {
        update.description = MemberDescription{.dataCentre = {anyName()},
                                               .region = {anyName()},
                                               .address = anyName(1),
                                               .membershipPort = *rc::gen::inRange(1, 65536),
                                               .peerPort = *rc::gen::inRange(0, 65536),
                                               .httpPort = *rc::gen::inRange(0, 65536),
                                               .capacity = *rc::gen::inRange(0, 1'000'001)};
    }
    return update;
}

MembershipMessage anyMessage()
{
    MembershipMessage message{.kind = static_cast<MessageKind>(*rc::gen::inRange(0, 8)),
                              .sequence = *rc::gen::arbitrary<std::uint64_t>(),
                              .sender = anyUpdate(),
                              .target = {anyName()},
                              .pageAfter = {anyName()},
                              .configRevision = {*rc::gen::arbitrary<std::uint64_t>()},
                              .describeYourself = *rc::gen::arbitrary<bool>(),
                              .report = anyName()};
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        message.updates.push_back(anyUpdate());
    }
    return message;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_message_survives_its_encoding_within_its_size_bound)
{
    const bool holds = rc::check("round trip", [] {
        const MembershipMessage message = anyMessage();
        const std::string datagram = encodeMessage(message);
        RC_ASSERT(datagram.size() <= messageSizeBound(message));
        const auto decoded = decodeMessage(datagram);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == message);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(damaged_datagrams_are_rejected_or_valid)
{
    const bool holds = rc::check("damage", [] {
        std::string datagram = encodeMessage(anyMessage());
        const auto position = *rc::gen::inRange<std::size_t>(0, datagram.size());
        if (*rc::gen::arbitrary<bool>()) {
            datagram.resize(position);
        } else {
            datagram[position] = *rc::gen::arbitrary<char>();
        }
        if (const auto decoded = decodeMessage(datagram)) {
            RC_ASSERT(!decoded->sender.vm.value.empty());
            RC_ASSERT(decoded->sender.processId != 0U);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(bad_names_and_long_datagrams_are_rejected)
{
    MembershipMessage message{.sender = {.vm = {std::string(maximumNameBytes + 1, 'x')}, .processId = 1}};
    BOOST_TEST(!decodeMessage(encodeMessage(message)).has_value());
    message.sender.vm = {"vm 1\n"};
    BOOST_TEST(!decodeMessage(encodeMessage(message)).has_value());
    message.sender.vm = {"vm-1"};
    BOOST_TEST(decodeMessage(encodeMessage(message)).has_value());
    message.updates.assign(100, message.sender);
    BOOST_TEST(!decodeMessage(encodeMessage(message)).has_value());
}

BOOST_AUTO_TEST_CASE(updates_are_sent_a_bounded_number_of_times_and_evenly)
{
    const bool holds = rc::check("queue", [] {
        const int pieces = *rc::gen::inRange(1, 60);
        const int limit = *rc::gen::inRange(1, 10);
        UpdateQueue queue;
        for (int number = 0; number < pieces; ++number) {
            queue.add({.vm = {"vm-" + std::to_string(number)}, .processId = 1});
        }
        int sent = 0;
        while (queue.size() > 0) {
            MembershipMessage message{.sender = {.vm = {"me"}, .processId = 2}};
            queue.take(message, limit, maximumDatagramBytes);
            RC_ASSERT(!message.updates.empty());
            RC_ASSERT(messageSizeBound(message) <= maximumDatagramBytes);
            sent += static_cast<int>(message.updates.size());
        }
        RC_ASSERT(sent == pieces * limit);
    });
    BOOST_TEST(holds);
}
