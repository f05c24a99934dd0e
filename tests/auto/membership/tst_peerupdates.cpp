#include "membership/peerupdates.h"
#include "wire/peerserver.h"

#include <gtest/gtest.h>

#include <thread>

namespace {

using Membership::Announcement;
using Membership::EndpointState;

constexpr Utils::Milliseconds lease{3000};
// Longer than the test, so that it passes only if changes are sent immediately.
constexpr Utils::Milliseconds longInterval{600'000};

template <typename Condition>
auto eventually(Condition condition) -> bool
{
    constexpr auto limit = std::chrono::seconds(60);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::yield();
    }
    return false;
}

auto announcement(std::int64_t sequence, EndpointState state) -> Announcement
{
    Announcement result;
    result.id = "a";
    result.service = "dispatch";
    result.host = "host-a";
    result.incarnation = 1;
    result.sequence = sequence;
    result.state = state;
    return result;
}

} // namespace

TEST(PeerUpdates, ChangesAreSentToThePeerImmediately)
{
    Utils::ManualClock clock;
    Membership::EndpointDirectory owner(clock, lease);
    Membership::EndpointDirectory receiver(clock, lease);
    Membership::DemandTable demand(clock, lease);
    Wire::PeerServer server({"127.0.0.1:0", 4});
    server.addService(Membership::membershipServiceName,
                      Membership::makeMembershipProcessor(receiver, demand));
    ASSERT_TRUE(server.start());
    Membership::PeerLink link(
        {"receiver", "127.0.0.1:" + std::to_string(server.port()), longInterval},
        {"owner", "z1", 1},
        owner,
        [] {
            return Membership::LocalLoad{{{"a", 2}}, {{"dispatch", "camara", 5}}};
        });
    Utils::StopSignal stop;
    std::jthread sender([&] { link.run(stop); });
    owner.announce(announcement(1, EndpointState::Serving));
    EXPECT_TRUE(eventually([&] { return receiver.available("dispatch").size() == 1; }));
    EXPECT_TRUE(eventually([&] {
        return demand.demandInZone("z1", "z", "dispatch", "camara").before.customerRequests == 5;
    }));
    owner.announce(announcement(2, EndpointState::Leaving));
    EXPECT_TRUE(eventually([&] { return receiver.available("dispatch").empty(); }));
    stop.request();
    sender.join();
    server.stop();
}
