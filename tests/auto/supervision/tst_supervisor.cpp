#include "supervision/supervisor.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>

namespace {

using Supervision::ChildSpec;
using Supervision::RestartPolicy;
using Supervision::Supervisor;
using Utils::Milliseconds;

struct BudgetCase
{
    const char *name;
    std::vector<int> failuresAtMs;
    std::vector<int> backoffsMs; // -1 stands for an escalation.
};

class RestartBudgetTable : public testing::TestWithParam<BudgetCase>
{};

TEST_P(RestartBudgetTable, returnsBackoffOrEscalates)
{
    Utils::ManualClock clock;
    const auto start = clock.now();
    Supervision::RestartBudget budget(
        {Milliseconds(100), Milliseconds(300), 3, Milliseconds(1000)});
    std::vector<int> backoffs;
    for (const auto at : GetParam().failuresAtMs) {
        const auto backoff = budget.addFailure(start + Milliseconds(at));
        backoffs.push_back(backoff ? int(backoff->count()) : -1);
    }
    EXPECT_EQ(backoffs, GetParam().backoffsMs);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RestartBudgetTable,
    testing::Values(
        BudgetCase{"First", {0}, {100}},
        BudgetCase{"BackoffDoublesUpToItsMaximum", {0, 100, 200}, {100, 200, 300}},
        BudgetCase{"EscalatesAfterMaximumRestarts", {0, 100, 200, 300}, {100, 200, 300, -1}},
        BudgetCase{"JustInsideWindow", {0, 1, 2, 999}, {100, 200, 300, -1}},
        BudgetCase{"FailuresOutsideWindowAreNotCounted", {0, 500, 600, 1000}, {100, 200, 300, 300}},
        BudgetCase{"BackoffIsResetAfterWindow", {0, 100, 5000}, {100, 200, 100}}),
    [](const auto &info) { return info.param.name; });

constexpr RestartPolicy quickPolicy{Milliseconds(1), Milliseconds(1), 2, Milliseconds(60'000)};

auto failingChild(const std::string &name, std::atomic<int> &runs) -> ChildSpec
{
    return {name, [&runs](Utils::StopSignal &) -> Utils::Result<void> {
                ++runs;
                return Utils::failure(Utils::ErrorType::IoFailure, "broken");
            }};
}

// Records which children started and in which order they ended.
class Recorder
{
public:
    auto waitingChild(const std::string &name) -> ChildSpec
    {
        return {name, [this, name](Utils::StopSignal &stop) -> Utils::Result<void> {
                    ++m_started;
                    m_started.notify_all();
                    stop.wait();
                    const std::scoped_lock lock(m_mutex);
                    m_ended.push_back(name);
                    return Utils::success();
                }};
    }
    auto waitForStarted(int count) -> void
    {
        for (auto started = m_started.load(); started < count; started = m_started.load())
            m_started.wait(started);
    }
    auto ended() const -> std::vector<std::string> { return m_ended; }

private:
    std::atomic<int> m_started = 0;
    std::mutex m_mutex;
    std::vector<std::string> m_ended;
};

TEST(Supervisor, escalatesAfterMaximumRestarts)
{
    const Utils::ManualClock clock;
    std::atomic<int> runs = 0;
    std::promise<Utils::Error> escalated;
    Supervisor supervisor(
        "root", quickPolicy, clock, [&](const auto &error) { escalated.set_value(error); });
    supervisor.startChild(failingChild("child", runs));
    EXPECT_EQ(escalated.get_future().get().message, "broken");
    EXPECT_EQ(runs, 3);
}

TEST(Supervisor, treatsExceptionAsFailure)
{
    const Utils::ManualClock clock;
    std::promise<Utils::Error> escalated;
    Supervisor supervisor(
        "root", quickPolicy, clock, [&](const auto &error) { escalated.set_value(error); });
    supervisor.startChild({"child", [](Utils::StopSignal &) -> Utils::Result<void> {
                               throw std::runtime_error("thrown");
                           }});
    EXPECT_EQ(escalated.get_future().get().details, "thrown");
}

TEST(Supervisor, stopsInReverseOrder)
{
    const Utils::ManualClock clock;
    Recorder recorder;
    Supervisor supervisor("root", quickPolicy, clock, [](const auto &) {});
    for (const auto *name : {"first", "second", "third"})
        supervisor.startChild(recorder.waitingChild(name));
    recorder.waitForStarted(3);
    supervisor.stop();
    EXPECT_EQ(recorder.ended(), (std::vector<std::string>{"third", "second", "first"}));
}

TEST(SupervisorTree, restartsWholeSubtreeAndEscalatesFromRoot)
{
    const Utils::ManualClock clock;
    std::atomic<int> runs = 0;
    Recorder recorder;
    std::promise<Utils::Error> escalated;
    Supervisor root(
        "root", quickPolicy, clock, [&](const auto &error) { escalated.set_value(error); });
    root.startChild(Supervision::supervisorChild(
        "subtree",
        quickPolicy,
        clock,
        {recorder.waitingChild("sibling"), failingChild("failing", runs)}));
    EXPECT_EQ(escalated.get_future().get().message, "broken");
    root.stop();
    EXPECT_EQ(runs, 9);
    // The sibling may be stopped before it runs, so only the maximum number of its runs is known.
    EXPECT_LE(recorder.ended().size(), 3U);
}

TEST(SupervisorTree, stopsSubtreeOnRequest)
{
    const Utils::ManualClock clock;
    Recorder recorder;
    Supervisor root("root", quickPolicy, clock, [](const auto &) { FAIL(); });
    root.startChild(Supervision::supervisorChild(
        "subtree", quickPolicy, clock, {recorder.waitingChild("child")}));
    recorder.waitForStarted(1);
    root.stop();
    EXPECT_EQ(recorder.ended().size(), 1U);
}

} // namespace
