#include "routing/claimeddispatch.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <functional>
#include <thread>

using Utils::ErrorType;

namespace {

/*! \brief A log that applies commands immediately, with faults injected by faultOf(). */
class FakeLog final : public Replication::ReplicatedLog
{
public:
    enum class Fault { None, NotCommitted, ReplyLost, Delayed };

    explicit FakeLog(Replication::StateMachine &machine)
        : m_machine(machine)
    {}
    auto start() -> Utils::Result<void> override { return Utils::success(); }
    auto stop() -> void override {}
    auto submit(std::string payload, Utils::Milliseconds)
        -> Utils::Result<Replication::SubmitReply> override
    {
        const auto command = Fleet::decodeCommand(payload);
        const auto fault = faultOf(Fleet::commandTypeName(command.value().body));
        if (fault == Fault::NotCommitted)
            return Utils::failure(ErrorType::NoQuorum, "no quorum");
        if (fault == Fault::Delayed) {
            m_delayed.push_back(std::move(payload));
            return Utils::failure(ErrorType::OutcomeUnknown, "the leader is not reachable");
        }
        auto reply = commit(std::move(payload));
        if (fault == Fault::ReplyLost)
            return Utils::failure(ErrorType::OutcomeUnknown, "the reply is lost");
        return reply;
    }
    auto confirmRevision(Utils::Milliseconds) -> Utils::Result<Replication::Revision> override
    {
        return m_revision;
    }
    auto status() const -> Replication::LogStatus override { return {}; }
    auto commitDelayed() -> void
    {
        for (auto &payload : m_delayed)
            commit(std::move(payload));
        m_delayed.clear();
    }

    std::function<Fault(std::string_view)> faultOf = [](std::string_view) { return Fault::None; };

private:
    auto commit(std::string payload) -> Replication::SubmitReply
    {
        const std::scoped_lock lock(m_mutex);
        ++m_revision;
        return {m_revision, m_machine.apply({m_revision, 1, std::move(payload)})};
    }

    Replication::StateMachine &m_machine;
    std::mutex m_mutex;
    Replication::Revision m_revision = 0;
    std::vector<std::string> m_delayed;
};

/*! \brief An endpoint that counts its runs and can refuse requests or delay its responses. */
class CountingEndpoint
{
public:
    CountingEndpoint()
    {
        m_server.Post("/.*", [this](const httplib::Request &, httplib::Response &response) {
            if (refuse) {
                response.status = 503;
                response.set_header("Trefoilshelf-Outcome", "not-run");
                return;
            }
            ++runs;
            while (hold)
                std::this_thread::yield();
            response.set_header("Location", "/made/1");
            response.set_content("ran", "text/plain");
        });
        port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::yield();
    }
    ~CountingEndpoint()
    {
        m_server.stop();
        m_thread.join();
    }

    std::atomic<int> runs = 0;
    std::atomic<bool> refuse = false;
    std::atomic<bool> hold = false;
    int port = 0;

private:
    httplib::Server m_server;
    std::thread m_thread;
};

class ClaimedDispatch : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        Fleet::Contract contract;
        contract.customer = "camara";
        contract.services = {{"dispatch", "dispatch", 8, 64, 0}};
        ASSERT_TRUE(gateway.execute(Fleet::PutContract{contract, true}, {"t", "", {}, {}}));
        ASSERT_TRUE(gateway.execute(Fleet::RegisterHost{"h1", "dispatch", "z1", "r1", 8},
                                    {"t", "", {}, {}}));
        Membership::Announcement announcement;
        announcement.id = "e1";
        announcement.service = "dispatch";
        announcement.address = "127.0.0.1:" + std::to_string(endpoint.port);
        announcement.host = "h1";
        announcement.rack = "r1";
        announcement.zone = "z1";
        announcement.slots = 8;
        announcement.connections = 8;
        directory.announce(announcement);
    }

    auto request(std::string body = "b") const -> Routing::Request
    {
        Routing::Request request;
        request.id = "r";
        request.customer = "camara";
        request.service = "dispatch";
        request.method = "POST";
        request.path = "/";
        request.body = std::move(body);
        request.idempotencyKey = "k";
        request.deadline = clock.now() + Utils::Milliseconds(20'000);
        return request;
    }
    auto faultAt(std::string_view type, FakeLog::Fault fault) -> void
    {
        log.faultOf = [=](std::string_view name) {
            return name == type ? fault : FakeLog::Fault::None;
        };
    }
    auto healLog() -> void { faultAt("", FakeLog::Fault::None); }

    CountingEndpoint endpoint;
    Utils::SystemClock clock;
    Utils::IdGenerator ids{7};
    Fleet::Replica replica;
    FakeLog log{replica};
    Fleet::Gateway gateway{log, clock, ids, Utils::Milliseconds(1000)};
    Membership::EndpointDirectory directory{clock, Utils::Milliseconds(600'000)};
    Routing::Dispatcher dispatcher{clock, replica, directory};
    Routing::ClaimSettler settler{gateway, "p"};
    Routing::ClaimedDispatch dispatch{clock, dispatcher, gateway, replica, settler, {"p", 1, 100}};
    Routing::ClaimSettler otherSettler{gateway, "q"};
    Routing::ClaimedDispatch otherDispatch{
        clock, dispatcher, gateway, replica, otherSettler, {"q", 1, 100}};
};

} // namespace

TEST_F(ClaimedDispatch, AResendThroughAnotherProcessGetsTheCompleteStoredResponse)
{
    const auto first = dispatch.dispatch(request());
    const auto second = otherDispatch.dispatch(request());
    EXPECT_EQ(endpoint.runs, 1);
    EXPECT_EQ(second.outcome, Routing::Outcome::Ran);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(second.contentType, first.contentType);
    const auto location = std::ranges::find(second.headers, "Location", &Routing::Header::name);
    ASSERT_NE(location, second.headers.end());
    EXPECT_EQ(location->value, "/made/1");
    EXPECT_EQ(otherDispatch.dispatch(request("other")).status, 422);
}

TEST_F(ClaimedDispatch, AResendWaitsForTheRunningClaim)
{
    endpoint.hold = true;
    Routing::Reply first;
    Routing::Reply second;
    std::jthread firstSend([&] { first = dispatch.dispatch(request()); });
    while (endpoint.runs == 0)
        std::this_thread::yield();
    std::jthread secondSend([&] { second = otherDispatch.dispatch(request()); });
    endpoint.hold = false;
    firstSend.join();
    secondSend.join();
    EXPECT_EQ(endpoint.runs, 1);
    EXPECT_EQ(second.outcome, Routing::Outcome::Ran);
    EXPECT_EQ(second.body, "ran");
}

TEST_F(ClaimedDispatch, AfterNotRunAResendRuns)
{
    endpoint.refuse = true;
    EXPECT_EQ(dispatch.dispatch(request()).outcome, Routing::Outcome::NotRun);
    endpoint.refuse = false;
    EXPECT_EQ(otherDispatch.dispatch(request()).outcome, Routing::Outcome::Ran);
    EXPECT_EQ(endpoint.runs, 1);
}

TEST_F(ClaimedDispatch, WithoutAQuorumNoRequestRuns)
{
    faultAt("claim-request", FakeLog::Fault::NotCommitted);
    const auto reply = dispatch.dispatch(request());
    EXPECT_EQ(reply.outcome, Routing::Outcome::NotRun);
    EXPECT_EQ(reply.status, 503);
    EXPECT_EQ(endpoint.runs, 0);
}

TEST_F(ClaimedDispatch, WithoutAQuorumTheReplicaAnswersAResendOfAnAnsweredClaim)
{
    dispatch.dispatch(request());
    faultAt("claim-request", FakeLog::Fault::NotCommitted);
    EXPECT_EQ(otherDispatch.dispatch(request()).outcome, Routing::Outcome::Ran);
    EXPECT_EQ(endpoint.runs, 1);
}

TEST_F(ClaimedDispatch, AClaimWhoseReplyWasLostIsSubmittedAgainAndRunsOnce)
{
    auto lost = 0;
    log.faultOf = [&](std::string_view type) {
        const auto losesReply = type == "claim-request" && lost++ == 0;
        return losesReply ? FakeLog::Fault::ReplyLost : FakeLog::Fault::None;
    };
    EXPECT_EQ(dispatch.dispatch(request()).outcome, Routing::Outcome::Ran);
    EXPECT_EQ(endpoint.runs, 1);
}

TEST_F(ClaimedDispatch, AClaimCommittedAfterANotRunResponseDoesNotBlockTheKey)
{
    faultAt("claim-request", FakeLog::Fault::Delayed);
    auto sent = request();
    sent.deadline = clock.now() + Utils::Milliseconds(200);
    EXPECT_EQ(dispatch.dispatch(sent).outcome, Routing::Outcome::NotRun);
    healLog();
    settler.runOnce();
    log.commitDelayed();
    EXPECT_EQ(endpoint.runs, 0);
    EXPECT_EQ(otherDispatch.dispatch(request()).outcome, Routing::Outcome::Ran);
    EXPECT_EQ(endpoint.runs, 1);
}

TEST_F(ClaimedDispatch, AResendDuringAPendingReleaseWaitsAndThenRuns)
{
    faultAt("claim-request", FakeLog::Fault::ReplyLost);
    auto sent = request();
    sent.deadline = clock.now() + Utils::Milliseconds(200);
    EXPECT_EQ(dispatch.dispatch(sent).outcome, Routing::Outcome::NotRun);
    healLog();
    Routing::Reply second;
    std::jthread secondSend([&] { second = otherDispatch.dispatch(request()); });
    settler.runOnce();
    secondSend.join();
    EXPECT_EQ(second.outcome, Routing::Outcome::Ran);
    EXPECT_EQ(endpoint.runs, 1);
}

TEST_F(ClaimedDispatch, AResponseThatCannotBeStoredIsReturnedAndStoredLater)
{
    faultAt("settle-claim", FakeLog::Fault::NotCommitted);
    EXPECT_EQ(dispatch.dispatch(request()).outcome, Routing::Outcome::Ran);
    healLog();
    settler.runOnce();
    EXPECT_EQ(otherDispatch.dispatch(request()).outcome, Routing::Outcome::Ran);
    EXPECT_EQ(endpoint.runs, 1);
}

TEST_F(ClaimedDispatch, AfterARestartOfTheOwnerAResendGetsUnknownAndDoesNotRun)
{
    faultAt("settle-claim", FakeLog::Fault::NotCommitted);
    dispatch.dispatch(request());
    healLog();
    ASSERT_TRUE(gateway.execute(Fleet::RegisterProcess{"p", "z1", 2, 0}, {"p", "", {}, {}}));
    EXPECT_EQ(otherDispatch.dispatch(request()).outcome, Routing::Outcome::Unknown);
    EXPECT_EQ(endpoint.runs, 1);
}

TEST_F(ClaimedDispatch, AResendGetsUnknownAtItsDeadlineWhileTheClaimRuns)
{
    faultAt("settle-claim", FakeLog::Fault::NotCommitted);
    dispatch.dispatch(request());
    auto resend = request();
    resend.deadline = clock.now() + Utils::Milliseconds(100);
    EXPECT_EQ(otherDispatch.dispatch(resend).outcome, Routing::Outcome::Unknown);
    EXPECT_EQ(endpoint.runs, 1);
}
