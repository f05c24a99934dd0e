#include "rawendpoint.h"

#include "routing/dispatcher.h"

#include <gtest/gtest.h>

namespace {

using Exchange = RawEndpoint::Exchange;
using Routing::EventKind;
using Routing::Outcome;
using Utils::Milliseconds;

constexpr Milliseconds longDeadline{60'000};
constexpr Milliseconds shortDeadline{200};
constexpr auto maximumSlots = 64;

auto respond(const Exchange &exchange) -> bool
{
    exchange.send(completeResponse(exchange.requestId, "whole"));
    return true;
}

auto failFast(const Exchange &exchange) -> bool
{
    exchange.send(completeResponse(exchange.requestId, "broken", "500 Internal Server Error"));
    return true;
}

class Dispatcher : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        Fleet::Contract contract;
        contract.customer = "camara";
        contract.services = {{"dispatch", "dispatch", 8, maximumSlots, 0}};
        contract.disruption.maxUnavailableHosts = 100;
        contract.disruption.budgetHostS = 1'000'000'000;
        apply(Fleet::PutContract{contract, true});
    }
    auto apply(Fleet::CommandBody body) -> void
    {
        Fleet::Command command;
        command.id = ids.next("command");
        command.body = std::move(body);
        replica.apply({replica.revision() + 1, 1, Fleet::encodeCommand(command)});
    }
    auto announce(const std::string &id,
                  const std::string &address,
                  const std::string &rack,
                  const std::string &zone = "z1") -> void
    {
        apply(Fleet::RegisterHost{"host-" + id, "dispatch", zone, rack, 8});
        Membership::Announcement announcement;
        announcement.id = id;
        announcement.service = "dispatch";
        announcement.address = address;
        announcement.host = "host-" + id;
        announcement.rack = rack;
        announcement.zone = zone;
        announcement.slots = 8;
        announcement.incarnation = 1;
        directory.announce(announcement);
    }
    auto request(bool idempotent, Milliseconds deadline = longDeadline) -> Routing::Request
    {
        Routing::Request request;
        request.id = ids.next("request");
        request.customer = "camara";
        request.service = "dispatch";
        request.method = idempotent ? "GET" : "POST";
        request.path = "/work";
        request.body = idempotent ? "" : "charge";
        request.idempotent = idempotent;
        request.deadline = clock.now() + deadline;
        return request;
    }
    auto count(EventKind kind) const -> int
    {
        auto found = 0;
        for (const auto &event : dispatcher.recentEvents())
            found += event.kind == kind ? 1 : 0;
        return found;
    }

    Utils::SystemClock clock;
    Utils::IdGenerator ids{7};
    Fleet::Replica replica;
    Membership::EndpointDirectory directory{clock, Milliseconds(600'000)};
    bool hasQuorum = true;
    Routing::Dispatcher dispatcher{
        clock, replica, directory, {"p1", "z1", 7, Routing::Strategy::TwoChoices, 64, [this] {
                                        return hasQuorum;
                                    }}};
};

struct FaultCase
{
    const char *name;
    RawEndpoint::Behaviour behaviour;
    Milliseconds deadline;
    Outcome outcome;
    int status;
};

auto faultCases() -> std::vector<FaultCase>
{
    const auto hang = [](const Exchange &exchange) {
        exchange.waitForClose();
        return false;
    };
    const auto sendAndClose = [](std::string text) {
        return [text](const Exchange &exchange) {
            exchange.send(text);
            return false;
        };
    };
    const auto late = [](const Exchange &exchange) {
        exchange.waitForClose();
        return respond(exchange);
    };
    return {
        {"truncated",
         sendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
         longDeadline,
         Outcome::Unknown,
         504},
        {"truncated chunk",
         sendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf"),
         longDeadline,
         Outcome::Unknown,
         504},
        {"closed in the headers",
         sendAndClose("HTTP/1.1 200"),
         longDeadline,
         Outcome::Unknown,
         504},
        {"closed without answer", sendAndClose(""), longDeadline, Outcome::Unknown, 504},
        {"not HTTP", sendAndClose("hello\r\n\r\n"), longDeadline, Outcome::Unknown, 504},
        {"no definite end",
         sendAndClose("HTTP/1.1 200 OK\r\n\r\nall"),
         longDeadline,
         Outcome::Unknown,
         504},
        {"identity encoding has no end",
         sendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nall"),
         longDeadline,
         Outcome::Unknown,
         504},
        {"hangs", hang, shortDeadline, Outcome::Unknown, 504},
        {"answers late", late, shortDeadline, Outcome::Unknown, 504},
        {"another request's id",
         [](const Exchange &exchange) {
             exchange.send(completeResponse("request-other", "theirs"));
             return true;
         },
         longDeadline,
         Outcome::Unknown,
         504},
        {"refuses",
         [](const Exchange &exchange) {
             exchange.send(
                 "HTTP/1.1 503 No\r\nTrefoilshelf-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
             return true;
         },
         longDeadline,
         Outcome::NotRun,
         503},
        {"fails", failFast, longDeadline, Outcome::Ran, 500},
        {"whole", respond, longDeadline, Outcome::Ran, 200},
    };
}

} // namespace

TEST_F(Dispatcher, NonIdempotentRequestsAreSentOnceAndTheirTrueOutcomeIsReported)
{
    for (const auto &fault : faultCases()) {
        RawEndpoint endpoint(fault.behaviour);
        announce(fault.name, endpoint.address(), "r1");
        const auto reply = dispatcher.dispatch(request(false, fault.deadline));
        EXPECT_EQ(reply.outcome, fault.outcome) << fault.name;
        EXPECT_EQ(reply.status, fault.status) << fault.name;
        EXPECT_EQ(endpoint.requests(), 1) << fault.name;
        EXPECT_EQ(reply.body, reply.status == 200 ? "whole" : reply.status == 500 ? "broken" : "");
        Membership::Announcement leaving;
        leaving.id = fault.name;
        leaving.service = "dispatch";
        leaving.host = std::string("host-") + fault.name;
        leaving.incarnation = 2;
        leaving.state = Membership::EndpointState::Leaving;
        directory.announce(leaving);
        EXPECT_EQ(dispatcher.inFlightOnHost(leaving.host), 0);
    }
}

TEST_F(Dispatcher, NoConnectionIsReusedAfterABadResponse)
{
    for (const auto &fault : faultCases()) {
        if (fault.outcome != Outcome::Unknown)
            continue;
        Routing::EndpointClient client(clock);
        RawEndpoint endpoint(fault.behaviour);
        for (auto send = 0; send < 2; ++send)
            client.send(request(false, fault.deadline), {endpoint.address(), 1, 1});
        EXPECT_EQ(endpoint.connections(), 2) << fault.name;
    }
}

TEST_F(Dispatcher, UnsolicitedResponseOnAnIdleConnectionIsDiscarded)
{
    Routing::EndpointClient client(clock);
    std::atomic<bool> isIdle = false;
    std::atomic<bool> isSent = false;
    RawEndpoint endpoint([&](const Exchange &exchange) {
        respond(exchange);
        while (!isIdle)
            std::this_thread::yield();
        if (!isSent)
            exchange.send(completeResponse("request-late", "theirs"));
        isSent = true;
        return true;
    });
    EXPECT_EQ(client.send(request(true), {endpoint.address(), 1, 1}).reply.body, "whole");
    isIdle = true;
    while (!isSent)
        std::this_thread::yield();
    EXPECT_EQ(client.send(request(true), {endpoint.address(), 1, 1}).reply.body, "whole");
    EXPECT_EQ(endpoint.connections(), 2);
}

TEST_F(Dispatcher, RequestToAClosedPortIsReportedAsNotRun)
{
    announce("gone", "127.0.0.1:1", "r1");
    const auto reply = dispatcher.dispatch(request(false));
    EXPECT_EQ(reply.outcome, Outcome::NotRun);
    EXPECT_GE(reply.retryAfter, Milliseconds(1000));
    EXPECT_EQ(count(EventKind::Refused), 1);
}

TEST_F(Dispatcher, RefusesAtOnceWithoutAnyEndpoint)
{
    const auto reply = dispatcher.dispatch(request(true));
    EXPECT_EQ(reply.outcome, Outcome::NotRun);
    EXPECT_EQ(reply.status, 503);
}

TEST_F(Dispatcher, RetriesOnlyIdempotentRequestsAndOnAnotherRack)
{
    RawEndpoint closing([](const Exchange &) { return false; });
    RawEndpoint good(respond);
    announce("a", closing.address(), "r1");
    announce("b", closing.address(), "r1");
    announce("c", good.address(), "r2");
    for (auto send = 0; send < 20; ++send) {
        const auto before = good.requests() + closing.requests();
        const auto reply = dispatcher.dispatch(request(false));
        EXPECT_EQ(good.requests() + closing.requests(), before + 1);
        EXPECT_EQ(reply.outcome == Outcome::Ran, reply.body == "whole");
    }
    const auto retriesBefore = count(EventKind::Retried);
    const auto requestsBefore = closing.requests();
    EXPECT_EQ(dispatcher.dispatch(request(true)).body, "whole");
    EXPECT_EQ(count(EventKind::Retried) - retriesBefore, closing.requests() - requestsBefore);
}

TEST_F(Dispatcher, EjectsAnEndpointThatFailsEverything)
{
    RawEndpoint bad(failFast);
    RawEndpoint good(respond);
    announce("bad", bad.address(), "r1");
    announce("b", good.address(), "r2");
    announce("c", good.address(), "r3");
    constexpr auto sends = 100;
    for (auto send = 0; send < sends; ++send) {
        auto work = request(false);
        work.body = std::to_string(send);
        dispatcher.dispatch(work);
    }
    EXPECT_EQ(count(EventKind::Ejected), 1);
    EXPECT_LE(bad.requests(), 3);
    EXPECT_EQ(good.requests() + bad.requests(), sends);
}

TEST_F(Dispatcher, RejectsARequestThatFailsOnThreeHealthyEndpoints)
{
    RawEndpoint bad(failFast);
    announce("a", bad.address(), "r1");
    announce("b", bad.address(), "r2");
    announce("c", bad.address(), "r3");
    announce("d", bad.address(), "r4");
    const auto reply = dispatcher.dispatch(request(true));
    EXPECT_EQ(reply.status, 502);
    EXPECT_EQ(bad.requests(), 3);
    EXPECT_EQ(count(EventKind::Ejected), 0);
    EXPECT_EQ(count(EventKind::RequestRejected), 1);
    const auto again = dispatcher.dispatch(request(true));
    EXPECT_EQ(again.status, 422);
    EXPECT_EQ(again.outcome, Outcome::NotRun);
    EXPECT_EQ(bad.requests(), 3);
}

TEST_F(Dispatcher, SpillsToOtherZonesOnlyWithQuorum)
{
    RawEndpoint remote(respond);
    announce("far", remote.address(), "r9", "z2");
    EXPECT_EQ(dispatcher.dispatch(request(true)).body, "whole");
    EXPECT_EQ(count(EventKind::Spilled), 1);
    hasQuorum = false;
    EXPECT_EQ(dispatcher.dispatch(request(true, shortDeadline)).outcome, Outcome::NotRun);
    RawEndpoint local(respond);
    announce("near", local.address(), "r1", "z1");
    EXPECT_EQ(dispatcher.dispatch(request(true)).body, "whole");
    EXPECT_EQ(local.requests(), 1);
    EXPECT_EQ(remote.requests(), 1);
}

TEST_F(Dispatcher, DrainingHostsGetNoRequestsAndThoseInFlightAreCounted)
{
    std::atomic<bool> hold = true;
    RawEndpoint endpoint([&](const Exchange &exchange) {
        while (hold)
            std::this_thread::yield();
        return respond(exchange);
    });
    announce("a", endpoint.address(), "r1");
    auto work = request(true);
    std::jthread caller([&] { EXPECT_EQ(dispatcher.dispatch(work).body, "whole"); });
    while (endpoint.requests() == 0)
        std::this_thread::yield();
    Fleet::Move move;
    move.id = "m";
    move.host = "host-a";
    apply(Fleet::ProposeMove{move});
    apply(Fleet::DecideMove{"m", true});
    apply(Fleet::AdvanceMove{"m", Fleet::MoveState::Approved, Fleet::MoveState::Draining, ""});
    ASSERT_EQ(replica.read([](const auto &state) { return state.findHost("host-a")->state; }),
              Fleet::HostState::Draining);
    EXPECT_EQ(dispatcher.inFlightOnHost("host-a"), 1);
    EXPECT_EQ(dispatcher.dispatch(request(true, shortDeadline)).outcome, Outcome::NotRun);
    EXPECT_EQ(endpoint.requests(), 1);
    hold = false;
    caller.join();
    EXPECT_EQ(dispatcher.inFlightOnHost("host-a"), 0);
}

TEST_F(Dispatcher, RefusalAfterAnAttemptThatMayHaveRunIsNotReportedAsNotRun)
{
    std::atomic<int> requests = 0;
    const auto firstClosesThenRefuse = [&](const Exchange &exchange) {
        if (requests++ == 0)
            return false;
        exchange.send(
            "HTTP/1.1 503 No\r\nTrefoilshelf-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
        return true;
    };
    RawEndpoint first(firstClosesThenRefuse);
    RawEndpoint second(firstClosesThenRefuse);
    announce("first", first.address(), "r1");
    announce("second", second.address(), "r2");
    const auto reply = dispatcher.dispatch(request(true));
    EXPECT_EQ(requests.load(), 2);
    EXPECT_EQ(reply.outcome, Outcome::Unknown);
}
