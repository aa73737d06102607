#include "hickoryshore/membershipservice/membership_service.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18500;

MembershipServiceSettings makeSettings(int number)
{
    MembershipServiceSettings settings;
    settings.self.vm = {"vm-" + std::to_string(number)};
    settings.self.dataCentre = {"lima"};
    settings.self.address = "127.0.0.1";
    settings.self.membershipPort = firstPort + number;
    settings.self.httpPort = 8000 + number;
    settings.seeds = {"127.0.0.1:" + std::to_string(firstPort)};
    return settings;
}

/// Three VMs on one event loop; each test stops the loop once it has seen what it waits for.
struct ThreeVms
{
    EventLoop loop{1};
    std::deque<MembershipService> services;
    std::function<void()> onAnyView = [] {};

    ThreeVms()
    {
        for (int number = 0; number < 3; ++number) {
            this->services.emplace_back(
                this->loop, makeSettings(number), MembershipHooks{.onView = [this](const auto &) {
                    this->onAnyView();
                }});
        }
    }

    bool allSee(const VmId &vm, MemberState state) const
    {
        return std::ranges::all_of(this->services, [&](const MembershipService &service) {
            const Member *member = findMember(*service.view(), vm);
            return member != nullptr && member->state == state;
        });
    }

    bool allSeeAll() const
    {
        return this->allSee({"vm-0"}, MemberState::Alive) && this->allSee({"vm-1"}, MemberState::Alive)
            && this->allSee({"vm-2"}, MemberState::Alive);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(vms_find_each_other_through_one_seed_and_hear_a_leave_at_once)
{
    ThreeVms vms;
    bool left = false;
    vms.onAnyView = [&] {
        if (!left && vms.allSeeAll()) {
            left = true;
            vms.services[2].leave();
        } else if (left && vms.allSee({"vm-2"}, MemberState::Leaving)) {
            vms.loop.stop();
        }
    };
    vms.loop.run();
    BOOST_TEST(findMember(*vms.services[0].view(), {"vm-1"})->httpPort == 8001);
    BOOST_TEST(vms.services[0].traffic().malformed == 0U);
    BOOST_TEST(vms.services[0].counts().suspicions == 0U);
}

BOOST_AUTO_TEST_CASE(a_higher_revision_is_heard_by_the_others)
{
    EventLoop loop{1};
    int heard = 0;
    const MembershipHooks hooks{.onRevisionHeard = [&](Revision revision, const VmId &from) {
        BOOST_TEST(revision.value == 7U);
        BOOST_TEST(from.value == "vm-1");
        ++heard;
        loop.stop();
    }};
    MembershipService first(loop, makeSettings(0), hooks);
    MembershipService second(loop, makeSettings(1), {});
    second.setConfigRevision(Revision{7});
    loop.run();
    BOOST_TEST(heard > 0);
}

BOOST_AUTO_TEST_CASE(a_report_reaches_the_members_that_it_is_sent_to)
{
    EventLoop loop{1};
    std::string heard;
    const MembershipHooks hooks{.onReport = [&](std::string_view report) {
        heard = report;
        loop.stop();
    }};
    MembershipService first(loop, makeSettings(0), hooks);
    MembershipService second(loop, makeSettings(1), {});
    const std::vector<Member> receivers = {makeSettings(0).self};
    second.sendReport(std::string(2 * maximumDatagramBytes, 'x'), receivers);
    second.sendReport("late", receivers);
    loop.run();
    BOOST_TEST(heard == "late");
    BOOST_TEST(second.traffic().sendErrors == 1U);
}

BOOST_AUTO_TEST_CASE(malformed_datagrams_are_counted_and_dropped)
{
    EventLoop loop{1};
    MembershipService service(loop, makeSettings(0), {});
    const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(firstPort);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (const std::string &datagram : {std::string("not a message"), std::string(5000, 'x'), std::string()}) {
        sendto(descriptor,
               datagram.data(),
               datagram.size(),
               0,
               reinterpret_cast<const sockaddr *>(&target),
               sizeof(target));
    }
    close(descriptor);
    loop.every(5ms, [&] {
        if (service.traffic().malformed == 3) {
            loop.stop();
        }
    });
    loop.run();
    BOOST_TEST(service.view()->members.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_address_in_use_or_malformed_is_an_error)
{
    EventLoop loop{1};
    const MembershipService service(loop, makeSettings(0), {});
    BOOST_CHECK_THROW(MembershipService(loop, makeSettings(0), {}), std::system_error);
    MembershipServiceSettings settings = makeSettings(1);
    settings.self.address = "lima.example";
    BOOST_CHECK_THROW(MembershipService(loop, settings, {}), std::system_error);
}

BOOST_AUTO_TEST_CASE(the_bind_address_is_bound_and_the_other_one_told)
{
    EventLoop loop{1};
    MembershipServiceSettings settings = makeSettings(0);
    settings.bindAddress = "127.0.0.1";
    settings.self.address = "192.0.2.1";
    const MembershipService service(loop, settings, {});
    BOOST_TEST(findMember(*service.view(), {"vm-0"})->address == "192.0.2.1");
    settings.bindAddress = "lima.example";
    BOOST_CHECK_THROW(MembershipService(loop, settings, {}), std::system_error);
}
