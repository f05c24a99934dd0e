#include "fakeplatform.h"
#include "fleetfixture.h"
#include "memorylog.h"

#include "planning/explanation.h"
#include "planning/failurewatch.h"
#include "planning/moverunner.h"

#include <gtest/gtest.h>

namespace {

using Fleet::MoveState;

constexpr Utils::Milliseconds lease{3000};
constexpr Utils::Milliseconds tick{5000};

class Waves : public testing::Test
{
protected:
    auto setUp(std::int64_t maxUnavailable, int hosts, Fleet::AutonomyLevel level) -> void
    {
        clock.advance(Utils::Milliseconds(1'000'000));
        run(Fleet::PutContract{FleetFixture::contract(maxUnavailable, 9'000'000, 86400), true});
        for (int index = 0; index < hosts; ++index) {
            run(Fleet::RegisterHost{
                hostName(index), "dispatch", "z1", "rack-" + std::to_string(index / 4), 8});
        }
        run(Fleet::SetAutonomy{level, {}});
        Fleet::Wave wave;
        wave.id = "wave-1";
        wave.pool = "dispatch";
        run(Fleet::StartWave{wave});
    }

    static auto hostName(int index) -> std::string { return "host-" + std::to_string(10 + index); }
    auto run(Fleet::CommandBody body, const std::string &actor = "operator") -> void
    {
        const auto result = gateway.execute(std::move(body), {actor, {}, {}, {}});
        ASSERT_TRUE(result) << result.error().message << result.error().details;
    }
    auto steps(int count) -> void
    {
        for (int step = 0; step < count; ++step) {
            clock.advance(tick);
            // Each step uses a new runner, as a new leader would, since all progress is in the log.
            Planning::MoveRunner(gateway, replica, directory, platform, clock, timing).runOnce();
            widest = std::max(widest, unavailable());
        }
    }
    auto unavailable() const -> std::int64_t
    {
        return replica.read([](const Fleet::State &state) {
            return std::ranges::count_if(state.hosts(), [](const auto &item) {
                return item.second.state != Fleet::HostState::Serving;
            });
        });
    }
    auto wave() const -> Fleet::Wave
    {
        return replica.read([](const Fleet::State &state) { return state.waves().at("wave-1"); });
    }
    auto moves(MoveState state) const -> std::vector<Fleet::Move>
    {
        return replica.read([state](const Fleet::State &fleet) {
            std::vector<Fleet::Move> moves;
            for (const auto &[id, move] : fleet.moves()) {
                if (move.state == state)
                    moves.push_back(move);
            }
            return moves;
        });
    }
    auto announce(const std::string &host, std::int64_t sequence, std::int64_t inFlight) -> void
    {
        Membership::Announcement announcement;
        announcement.id = "endpoint-" + host;
        announcement.service = "dispatch";
        announcement.host = host;
        announcement.incarnation = 1;
        announcement.sequence = sequence;
        announcement.inFlight = inFlight;
        directory.announce(announcement);
    }

    Utils::ManualClock clock;
    Utils::IdGenerator ids{1};
    Fleet::Replica replica;
    MemoryLog log{replica};
    Fleet::Gateway gateway{log, clock, ids, Utils::Milliseconds(1000)};
    Membership::EndpointDirectory directory{clock, lease};
    FakePlatform platform;
    Planning::MoveTiming timing{Utils::Milliseconds(10'000), Utils::Milliseconds(60'000)};
    std::int64_t widest = 0;
};

} // namespace

TEST_F(Waves, MaintainsEveryHostOnceWithinTheWidthAcrossLeaderChanges)
{
    setUp(6, 12, Fleet::AutonomyLevel::Guarded);
    steps(200);
    EXPECT_FALSE(wave().isOpen());
    EXPECT_EQ(wave().finished.size(), 12);
    EXPECT_EQ(moves(MoveState::Done).size(), 12);
    EXPECT_EQ(widest, 2) << "6 hosts less the reserve for a rack of 4";
    for (const auto &move : moves(MoveState::Done)) {
        EXPECT_EQ(move.decidedBy, "policy:guarded");
        EXPECT_FALSE(move.rule.empty() || move.reason.empty() || move.cost.empty()
                     || move.alternative.empty());
    }
}

TEST_F(Waves, ManualAutonomyWaitsForTheOperatorAndExplainsIt)
{
    setUp(1, 4, Fleet::AutonomyLevel::Manual);
    steps(10);
    ASSERT_EQ(moves(MoveState::Proposed).size(), 1);
    EXPECT_EQ(unavailable(), 0);
    const auto explanation = replica.read([&](const Fleet::State &state) {
        return Planning::explainWaiting(state, clock.wallTime());
    });
    EXPECT_NE(Utils::toJson(explanation).dump().find("waits for an operator to approve"),
              std::string::npos);
    run(Fleet::DecideMove{moves(MoveState::Proposed).front().id, false});
    steps(3);
    EXPECT_EQ(wave().skipped.size(), 1) << "a rejected host is not proposed again";
    EXPECT_NE(moves(MoveState::Proposed).front().host, wave().skipped.front());
}

TEST_F(Waves, FailedMaintenanceNarrowsTheWaveAndTheWaveContinues)
{
    setUp(8, 12, Fleet::AutonomyLevel::Full);
    platform.failing = {hostName(0)};
    steps(4);
    ASSERT_EQ(wave().failed.size(), 1);
    const auto width = replica.read([&](const Fleet::State &state) {
        const Planning::FleetView view(state);
        return Planning::widthOf(state.waves().at("wave-1"), view, {}, clock.wallTime());
    });
    EXPECT_LE(width.hosts, 2) << width.rule;
    run(Fleet::ReportHost{hostName(0), false});
    steps(200);
    EXPECT_EQ(wave().finished.size(), 11);
    EXPECT_FALSE(wave().isOpen());
}

TEST_F(Waves, ALostRackStopsNewGrantsUntilItReturns)
{
    setUp(6, 12, Fleet::AutonomyLevel::Guarded);
    steps(1);
    for (int index = 8; index < 12; ++index)
        run(Fleet::ReportHost{hostName(index), true});
    steps(30);
    const auto finished = wave().finished.size();
    EXPECT_LE(finished, 2);
    steps(20);
    EXPECT_EQ(wave().finished.size(), finished);
    for (int index = 8; index < 12; ++index)
        run(Fleet::ReportHost{hostName(index), false});
    steps(300);
    EXPECT_EQ(wave().finished.size(), 12);
}

TEST_F(Waves, ADrainPastItsDeadlineAsksTheOperatorAndInterruptsNothing)
{
    setUp(1, 4, Fleet::AutonomyLevel::Guarded);
    for (int index = 0; index < 4; ++index)
        announce(hostName(index), 1, 3);
    steps(30);
    ASSERT_EQ(moves(MoveState::Draining).size(), 1);
    EXPECT_TRUE(moves(MoveState::Draining).front().needsOperator);
    EXPECT_TRUE(platform.started.empty());
    announce(moves(MoveState::Draining).front().host, 2, 0);
    steps(10);
    EXPECT_EQ(wave().finished.size(), 1);
}

TEST_F(Waves, JobsMoveAtMostOnceAndUnplaceableJobsAreReported)
{
    setUp(6, 8, Fleet::AutonomyLevel::Guarded);
    // The declared sizes are wrong, and only the measured ones count. host-17 has a job that is
    // larger than any host.
    for (int index = 2; index < 8; ++index)
        platform.tasks[hostName(index)] = {{"job-" + std::to_string(index), 64, 2, 0, true}};
    platform.tasks[hostName(7)].push_back({"job-misfit", 1, 99, 0, true});
    platform.tasks[hostName(6)].push_back({"job-short", 8, 8, 30, true});
    steps(20);
    platform.tasks[hostName(6)].pop_back();
    steps(300);
    EXPECT_FALSE(wave().isOpen());
    EXPECT_EQ(wave().unplacedJobs, std::vector<std::string>{"job-misfit"});
    EXPECT_EQ(wave().skipped, std::vector<std::string>{hostName(7)});
    EXPECT_EQ(wave().finished.size(), 7);
    for (const auto &[job, times] : platform.timesMoved)
        EXPECT_EQ(times, 1) << job;
    EXPECT_FALSE(platform.timesMoved.contains("job-misfit"));
}

TEST_F(Waves, TheFailureWatchReportsHostsWithoutLeasesAndTheirReturn)
{
    setUp(6, 4, Fleet::AutonomyLevel::Manual);
    Planning::FailureWatch watch(gateway, replica, directory, clock);
    announce(hostName(0), 1, 0);
    clock.advance(lease + Utils::Milliseconds(9'999));
    watch.runOnce();
    EXPECT_EQ(unavailable(), 0);
    clock.advance(Utils::Milliseconds(1));
    watch.runOnce();
    EXPECT_EQ(unavailable(), 1) << "only the host whose endpoints are known is evaluated";
    announce(hostName(0), 2, 0);
    watch.runOnce();
    EXPECT_EQ(unavailable(), 0);
}
