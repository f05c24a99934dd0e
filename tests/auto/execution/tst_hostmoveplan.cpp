#include "ledgerfixture.h"

#include "execution/hostmoveplan.h"

#include <gtest/gtest.h>

using namespace ExecutionTest;
using Execution::HostState;

namespace {

constexpr std::int64_t hostsUp = 20;
constexpr std::int64_t hostsOff = 40;
constexpr auto sparePool = "spare";
constexpr std::int64_t longAfterParkingMs = 5000;
constexpr std::int64_t backlogTasks = 1000;
// Endpoints whose last reply is older get no tasks.
constexpr Utils::Milliseconds longerThanPollsCount{3000};

/*! \brief A new leader with a burst of work and hosts that are turned off. */
class TakeOverFixture
{
public:
    TakeOverFixture()
    {
        m_ledger.state.configuration.pools.push_back({sparePool, true, true});
        for (std::int64_t number = 0; number < hostsUp; ++number) {
            const auto id = "endpoint-" + std::to_string(number);
            m_ledger.addEndpoint(id);
            m_list.hosts.push_back({"host-" + id, "pool", HostState::Up, id});
        }
        for (std::int64_t number = 0; number < hostsOff; ++number)
            m_list.hosts.push_back({"off-" + std::to_string(number), sparePool, HostState::Up, {}});
        m_list.complete = true;
        for (auto job = 0; job < 100; ++job)
            m_ledger.addJob("job-" + std::to_string(job), plainStep(4));
        m_ledger.begin();
        m_ledger.schedule();
    }
    auto poll(std::int64_t endpoints) -> void
    {
        for (std::int64_t number = 0; number < endpoints; ++number)
            m_ledger.poll("endpoint-" + std::to_string(number));
    }
    auto movesAt(std::int64_t elapsedMs) -> std::size_t { return stepsAt(elapsedMs).size(); }
    auto stepsAt(std::int64_t elapsedMs) -> std::vector<Execution::MoveStep>
    {
        const auto now = at(elapsedMs);
        m_ledger.ledger.updateDemand(1'700'000'000'000);
        m_plan.observe(m_ledger.ledger, now);
        return m_plan.next(m_ledger.state.configuration, m_ledger.ledger, m_list, hostsOff, now)
            .steps;
    }
    auto refuse(const Execution::MoveStep &step, std::int64_t elapsedMs) -> void
    {
        m_plan.ordered(step, Execution::HostOrderResult::Busy, at(elapsedMs));
    }
    /*! \brief Lets the plan inherit the move of an idle host that was ordered at \a elapsedMs. */
    auto inherit(std::int64_t elapsedMs) -> Execution::MoveStep
    {
        const Execution::MoveStep step{
            "host-endpoint-0", "pool", sparePool, {"endpoint-0", bornMs}};
        m_plan.inherit(step, at(elapsedMs), at(elapsedMs + longestMs));
        return step;
    }
    auto runTaskOn(const std::string &endpoint) -> void
    {
        m_ledger.poll(endpoint, {{m_ledger.task("job-0"), 1, "", 100, 0}});
    }
    auto leaveUnanswered(const Execution::MoveStep &step, std::int64_t elapsedMs) -> void
    {
        m_plan.ordered(step, Execution::HostOrderResult::Unknown, at(elapsedMs));
    }
    /*! \brief Hands the plan a list of hosts that was requested at \a elapsedMs. */
    auto listAgain(std::int64_t elapsedMs) -> std::vector<std::string>
    {
        return m_plan.takeUnmoved(m_list, at(elapsedMs));
    }

private:
    static constexpr std::int64_t bornMs = 1000;
    static constexpr std::int64_t longestMs = 14'500;

    static auto at(std::int64_t elapsedMs) -> Utils::Instant
    {
        return Utils::Instant(Utils::Milliseconds(1'000'000 + elapsedMs));
    }

    LedgerFixture m_ledger;
    Execution::HostList m_list;
    Execution::HostMovePlan m_plan;
};

TEST(HostMovePlan, NewLeaderMovesHostsOnceMostEndpointsHaveReplied)
{
    TakeOverFixture fixture;
    EXPECT_EQ(fixture.movesAt(0), 0U);
    fixture.poll(hostsUp / 2);
    EXPECT_EQ(fixture.movesAt(100), 0U);
    fixture.poll(hostsUp - 2);
    EXPECT_GT(fixture.movesAt(200), 0U);
}

TEST(HostMovePlan, NewLeaderWaitsTwoSecondsAtMostForUnresponsiveEndpoints)
{
    TakeOverFixture fixture;
    fixture.poll(hostsUp / 2);
    EXPECT_EQ(fixture.movesAt(0), 0U);
    EXPECT_EQ(fixture.movesAt(1900), 0U);
    EXPECT_GT(fixture.movesAt(2000), 0U);
}

// Repeated orders that the provider refuses use up its rate, so that it refuses other moves, too.
TEST(HostMovePlan, RepeatsRefusedMoveOnlyOnceANewerListOfHostsIsThere)
{
    TakeOverFixture fixture;
    fixture.poll(hostsUp);
    const auto steps = fixture.stepsAt(0);
    ASSERT_FALSE(steps.empty());
    for (const auto &step : steps)
        fixture.refuse(step, 50);
    std::set<std::string> refused;
    for (const auto &step : steps)
        refused.insert(step.host);
    for (const auto &step : fixture.stepsAt(100))
        EXPECT_FALSE(refused.contains(step.host));
    fixture.listAgain(60);
    EXPECT_GT(fixture.movesAt(200), 0U);
}

// The list of hosts does not show an endpoint that has just started. Its host must not be moved
// while tasks run there.
TEST(HostMovePlan, DoesNotMoveHostWhoseEndpointIsNotListedYet)
{
    LedgerFixture ledger;
    ledger.state.configuration.pools.push_back({sparePool, true, true});
    Execution::HostList list;
    for (const auto *id : {"a", "b", "c", "d"}) {
        ledger.addEndpoint(id);
        list.hosts.push_back({id, "pool", HostState::Up, id});
    }
    list.complete = true;
    ledger.addJob("job", longRunningStep(1, 1));
    ledger.begin();
    for (const auto *id : {"a", "b", "c"})
        ledger.poll(id);
    ledger.poll("d", {{ledger.task("job"), 1, "", 100, 0}});
    list.hosts[3].endpoint.clear();
    Execution::HostMovePlan plan;
    for (std::int64_t elapsedMs = 0; elapsedMs <= longAfterParkingMs; elapsedMs += 500) {
        const auto now = Utils::Instant(Utils::Milliseconds(1'000'000 + elapsedMs));
        plan.observe(ledger.ledger, now);
        for (const auto &step :
             plan.next(ledger.state.configuration, ledger.ledger, list, hostsOff, now).steps)
            EXPECT_NE(step.host, "d");
    }
}

/*! \brief Hosts of several pools, and the plan that moves them. */
class PoolsFixture
{
public:
    explicit PoolsFixture(const std::vector<std::string> &otherPools)
    {
        for (const auto &pool : otherPools)
            ledger.state.configuration.pools.push_back({pool, true, false});
        m_list.complete = true;
    }
    auto addHosts(const std::string &pool, const std::vector<std::string> &endpoints) -> void
    {
        for (const auto &id : endpoints) {
            ledger.addEndpoint(id, pool);
            m_list.hosts.push_back({"host-" + id, pool, HostState::Up, id});
        }
    }
    /*! \brief Ends a host for good: its endpoint no longer replies, and lists of hosts lack it. */
    auto loseHost(const std::string &endpoint) -> void
    {
        std::erase_if(m_list.hosts, [&](const auto &host) { return host.endpoint == endpoint; });
        ledger.failPoll(endpoint);
    }
    /*! \brief Adds a job of long-running tasks, no two of which may share a host. */
    auto addApart(const std::string &pool, std::int64_t count) -> void
    {
        auto step = longRunningStep(count, 1);
        step.maximumPerHost = 1;
        ledger.addJob("lasting-" + pool, step, pool);
    }
    auto begin() -> void
    {
        ledger.begin();
        ledger.pollAll();
        startAll();
    }
    auto startAll() -> void
    {
        for (const auto &order : ledger.schedule().starts) {
            ledger.confirm(order);
            m_runs[order.target.incarnation.id].push_back(order);
        }
    }
    auto endAllOn(const std::string &endpoint) -> void
    {
        std::vector<Execution::EndedTask> ends;
        for (const auto &order : m_runs[endpoint])
            ends.push_back({std::int64_t(ends.size()) + 1,
                            order.task,
                            order.run,
                            Execution::EndKind::Done,
                            ""});
        ledger.record(ledger.poll(endpoint, {}, ends));
    }
    auto next(std::int64_t maximumMoves) -> Execution::HostMoves
    {
        ledger.advance(Utils::Milliseconds(100));
        ledger.ledger.updateDemand(wallMs);
        m_plan.observe(ledger.ledger, ledger.now());
        auto moves = m_plan.next(
            ledger.state.configuration, ledger.ledger, m_list, maximumMoves, ledger.now());
        Execution::closeAndOpen(moves, ledger.ledger);
        return moves;
    }
    auto answer(const Execution::MoveStep &step, Execution::HostOrderResult result) -> bool
    {
        return m_plan.ordered(step, result, ledger.now());
    }
    /*! \brief Hands the plan a new list of hosts, and returns the endpoints to be opened again. */
    auto listAgain() -> std::vector<std::string>
    {
        return m_plan.takeUnmoved(m_list, ledger.now());
    }
    /*! \brief Returns the least number of hosts of the first pool. */
    auto leastHosts() -> std::int64_t
    {
        ledger.ledger.updateDemand(wallMs);
        const auto loads =
            m_plan.loads(ledger.state.configuration, ledger.ledger, m_list, ledger.now());
        return Scheduling::leastHosts(loads.front());
    }

    LedgerFixture ledger;

private:
    static constexpr std::int64_t wallMs = 1'700'000'000'000;

    Execution::HostList m_list;
    Execution::HostMovePlan m_plan;
    std::map<std::string, std::vector<Execution::StartOrder>> m_runs; //!< By endpoint.
};

// Guards against LOST: two pools took turns in closing an endpoint for a third one, and neither moved.
TEST(HostMovePlan, EndpointThatIsClosedForAMoveStaysClosedUntilItsHostIsIdle)
{
    PoolsFixture fixture({"other", "lacking"});
    fixture.addHosts("pool", {"a1", "a2", "a3"});
    fixture.addHosts("other", {"b1", "b2", "b3"});
    fixture.addHosts("lacking", {"c1"});
    fixture.ledger.addJob("backlog-a", plainStep(backlogTasks));
    fixture.ledger.addJob("backlog-b", plainStep(backlogTasks), "other");
    fixture.addApart("lacking", 2);
    fixture.begin();
    std::size_t closed = 0;
    for (auto pass = 0; pass < 10; ++pass) {
        const auto moves = fixture.next(hostsOff);
        EXPECT_TRUE(moves.open.empty()) << "pass " << pass;
        closed += moves.close.size();
    }
    EXPECT_EQ(closed, 1U);
}

// Guards against LOST: the host to release was sought in a pool whose hosts all run long-running tasks.
TEST(HostMovePlan, PoolThatCanReleaseNoHostLeavesItToAnother)
{
    PoolsFixture fixture({"other", "lacking"});
    fixture.addHosts("pool", {"a1", "a2", "a3"});
    fixture.addHosts("other", {"b1", "b2", "b3"});
    fixture.addHosts("lacking", {"c1"});
    fixture.ledger.addJob("lasting-a", longRunningStep(3, 1));
    fixture.ledger.addJob("backlog-b", plainStep(backlogTasks), "other");
    fixture.addApart("lacking", 2);
    fixture.begin();
    const auto closed = fixture.next(hostsOff).close;
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_EQ(closed.front().substr(0, 1), "b");
}

// Guards against long waits: the endpoints of crashed hosts, which run nothing, were released in place of
// the hosts that another pool lacked.
TEST(HostMovePlan, ReleasesNoHostThatHasCrashed)
{
    PoolsFixture fixture({"other", "lacking"});
    fixture.addHosts("pool", {"a1", "a2"});
    fixture.addHosts("other", {"b1", "b2", "b3", "b4", "b5"});
    fixture.addHosts("lacking", {"c1"});
    fixture.ledger.addJob("backlog-b", plainStep(backlogTasks), "other");
    fixture.addApart("lacking", 2);
    fixture.begin();
    for (const auto *crashed : {"b1", "b2"})
        fixture.loseHost(crashed);
    fixture.ledger.advance(Utils::Milliseconds(longAfterParkingMs));
    for (const auto *up : {"a1", "a2", "b3", "b4", "b5", "c1"})
        fixture.ledger.poll(up);
    fixture.ledger.ledger.expireLeases(fixture.ledger.now());
    fixture.startAll();
    std::vector<std::string> closed;
    for (auto pass = 0; pass < 10; ++pass) {
        for (auto &id : fixture.next(hostsOff).close)
            closed.push_back(std::move(id));
    }
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_TRUE(closed.front() == "b3" || closed.front() == "b4" || closed.front() == "b5")
        << closed.front();
}

// Guards against LOST: an idle host whose move had to wait for an order got short tasks again.
TEST(HostMovePlan, ReleasedHostThatIsIdleStaysClosedWhileItsMoveWaitsForAnOrder)
{
    PoolsFixture fixture({"other", "lacking"});
    fixture.addHosts("pool", {"a1", "a2"});
    fixture.addHosts("other", {"b1", "b2", "b3"});
    fixture.addHosts("lacking", {"c1"});
    fixture.ledger.addJob("backlog-b", plainStep(backlogTasks), "other");
    fixture.addApart("lacking", 2);
    fixture.begin();
    const auto closed = fixture.next(hostsOff).close;
    ASSERT_EQ(closed.size(), 1U);
    fixture.endAllOn(closed.front());
    fixture.startAll();
    EXPECT_TRUE(fixture.next(0).open.empty());
    EXPECT_EQ(fixture.next(1).steps.size(), 1U);
}

/*! \brief A move of an idle host with an endpoint, whose order gets no reply. */
class UnansweredMoveFixture : public PoolsFixture
{
public:
    UnansweredMoveFixture()
        : PoolsFixture({"lacking"})
    {
        addHosts("pool", {"a1", "a2", "a3", "a4"});
        addHosts("lacking", {"c1"});
        addApart("lacking", 2);
        begin();
        const auto steps = next(hostsOff).steps;
        EXPECT_EQ(steps.size(), 1U);
        step = steps.at(0);
        EXPECT_FALSE(answer(step, Execution::HostOrderResult::Unknown));
    }
    auto isRepeated() -> bool
    {
        const auto steps = next(hostsOff).steps;
        return std::ranges::find(steps, step.host, &Execution::MoveStep::host) != steps.end();
    }

    Execution::MoveStep step;
};

// Guards against AVAIL: the order was carried out after 4 s, when tasks had started there again.
TEST(HostMovePlan, EndpointStaysClosedWhileAnUnansweredMoveMayStillBeCarriedOut)
{
    UnansweredMoveFixture fixture;
    for (auto second = 1; second < 13; ++second) {
        fixture.ledger.advance(Utils::Milliseconds(1000));
        EXPECT_TRUE(fixture.listAgain().empty()) << second;
    }
    fixture.ledger.advance(Utils::Milliseconds(1000));
    EXPECT_EQ(fixture.listAgain(), std::vector<std::string>{fixture.step.incarnation.id});
}

TEST(HostMovePlan, UnansweredMoveIsRepeatedSoThatItsHostIsNotHeldForLong)
{
    UnansweredMoveFixture fixture;
    EXPECT_FALSE(fixture.isRepeated());
    fixture.ledger.advance(Utils::Milliseconds(1500));
    EXPECT_TRUE(fixture.isRepeated());
    // The first copy may still be carried out after a refusal of the second one.
    EXPECT_FALSE(fixture.answer(fixture.step, Execution::HostOrderResult::Busy));
    EXPECT_FALSE(fixture.isRepeated());
    fixture.ledger.advance(Utils::Milliseconds(1500));
    EXPECT_TRUE(fixture.isRepeated());
    EXPECT_FALSE(fixture.answer(fixture.step, Execution::HostOrderResult::Accepted));
    fixture.ledger.advance(Utils::Milliseconds(1500));
    EXPECT_FALSE(fixture.isRepeated());
}

TEST(HostMovePlan, UnansweredMoveOfAHostWithoutAnEndpointIsRepeated)
{
    TakeOverFixture fixture;
    fixture.poll(hostsUp);
    const auto steps = fixture.stepsAt(0);
    ASSERT_FALSE(steps.empty());
    for (const auto &step : steps) {
        ASSERT_TRUE(step.incarnation.id.empty());
        fixture.leaveUnanswered(step, 50);
    }
    EXPECT_GE(fixture.stepsAt(1600).size(), steps.size());
}

auto ordersHost(const std::vector<Execution::MoveStep> &steps, const std::string &host) -> bool
{
    return std::ranges::find(steps, host, &Execution::MoveStep::host) != steps.end();
}

TEST(HostMovePlan, MoveOfAFormerLeaderIsRepeated)
{
    TakeOverFixture fixture;
    fixture.poll(hostsUp);
    const auto step = fixture.inherit(-longAfterParkingMs);
    EXPECT_TRUE(ordersHost(fixture.stepsAt(0), step.host));
}

TEST(HostMovePlan, MoveOfAFormerLeaderIsNotRepeatedWhileTasksRunThere)
{
    TakeOverFixture fixture;
    fixture.poll(hostsUp);
    const auto step = fixture.inherit(-longAfterParkingMs);
    fixture.runTaskOn("endpoint-0");
    EXPECT_FALSE(ordersHost(fixture.stepsAt(0), step.host));
}

TEST(HostMovePlan, EndpointStaysClosedWhileTheMoveOfAFormerLeaderMayStillBeCarriedOut)
{
    TakeOverFixture fixture;
    fixture.inherit(0);
    for (std::int64_t elapsedMs = 1000; elapsedMs < 14'500; elapsedMs += 500)
        EXPECT_TRUE(fixture.listAgain(elapsedMs).empty()) << elapsedMs;
    EXPECT_EQ(fixture.listAgain(14'500), std::vector<std::string>{"endpoint-0"});
}

TEST(HostMovePlan, HostThatHasArrivedIsNotAskedForAgainBeforeAPassUsesIt)
{
    PoolsFixture fixture({});
    fixture.addHosts("pool", {"a1", "a2", "a3", "a4"});
    auto step = longRunningStep(5, 1);
    step.demand = {100, 4500, 0};
    fixture.ledger.addJob("lasting", step);
    fixture.begin();
    fixture.startAll();
    EXPECT_EQ(fixture.leastHosts(), 5);
    fixture.addHosts("pool", {"a5"});
    fixture.ledger.poll("a5");
    EXPECT_EQ(fixture.leastHosts(), 5);
}

// As after a freeze of the leader, when polls are late everywhere.
TEST(HostMovePlan, EndpointsThatAPassCouldNotUseAreNotAskedForAgain)
{
    PoolsFixture fixture({});
    fixture.addHosts("pool", {"a1", "a2", "a3", "a4"});
    auto step = longRunningStep(4, 1);
    step.demand = {100, 4500, 0};
    fixture.ledger.addJob("lasting", step);
    fixture.ledger.begin();
    fixture.ledger.pollAll();
    fixture.ledger.advance(longerThanPollsCount);
    fixture.startAll();
    EXPECT_LE(fixture.leastHosts(), 4);
}

} // namespace
