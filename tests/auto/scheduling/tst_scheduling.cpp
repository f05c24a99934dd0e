#include "scheduling/joborder.h"
#include "scheduling/placement.h"

#include <gtest/gtest.h>

#include <array>

namespace {

using Scheduling::EndpointView;
using Scheduling::Outlook;

auto endpoint(std::int64_t cpu) -> EndpointView
{
    EndpointView view;
    view.free = {cpu, 8000, 0};
    view.open = true;
    return view;
}

TEST(JobOrder, LongestChainFollowsTheDependenciesOfSteps)
{
    const std::array<std::int64_t, 3> durationsMs{100, 500, 300};
    std::vector<Jobs::StepSpec> steps(3);
    steps[2].after = {0};
    EXPECT_EQ(Scheduling::longestChainMs(steps, durationsMs), 500);
    steps[2].after = {0, 1};
    EXPECT_EQ(Scheduling::longestChainMs(steps, durationsMs), 800);
}

TEST(JobOrder, JobsThatCanMeetTheirObjectiveGoFirst)
{
    const Scheduling::QueueTerms terms{0, 1.5, 600};
    const auto fresh = Scheduling::rankOf(terms, 1000, 10'000, 1000, 10'000);
    const auto late = Scheduling::rankOf(terms, 1000, 8000, 1000, 10'000);
    const auto missed = Scheduling::rankOf(terms, 1000, 1000, 1000, 10'000);
    EXPECT_EQ(fresh.outlook, Outlook::OnTime);
    EXPECT_EQ(late.outlook, Outlook::Late);
    EXPECT_EQ(missed.outlook, Outlook::Missed);
    EXPECT_LT(fresh, late);
    EXPECT_LT(late, missed);
}

TEST(JobOrder, WorkGetsMoreTimeWhenTheObjectiveIsMissed)
{
    const Scheduling::QueueTerms terms{0, 1.6, 600};
    const auto early = Scheduling::rankOf(terms, 4000, 10'000, 4000, 10'000);
    EXPECT_EQ(Scheduling::timeForWorkMs(early, 10'000), 4900);
    const auto urgent = Scheduling::rankOf(terms, 1000, 10'000, 500, 11'600);
    EXPECT_EQ(Scheduling::timeForWorkMs(urgent, 11'600), 1000);
    const auto late = Scheduling::rankOf(terms, 1000, 10'000, 1000, 12'500);
    EXPECT_GT(Scheduling::timeForWorkMs(late, 12'500), 1500);
    const auto missed = Scheduling::rankOf(terms, 1000, 10'000, 1000, 22'500);
    EXPECT_GT(Scheduling::timeForWorkMs(missed, 22'500), Scheduling::timeForWorkMs(late, 12'500));
}

TEST(JobOrder, PriorityPrecedesOutlook)
{
    const auto urgent = Scheduling::rankOf({0, 1, 100}, 1000, 0, 1000, 100'000);
    const auto other = Scheduling::rankOf({1, 1, 100}, 1000, 100'000, 0, 100'000);
    EXPECT_LT(urgent, other);
}

// If tasks were spread over all endpoints, no host would become idle and free to move to another
// pool.
TEST(Placement, PacksTasksOntoTheFullestEndpointsWithRoom)
{
    std::array endpoints{endpoint(2000), endpoint(3000), endpoint(500)};
    Jobs::StepSpec step;
    step.demand.cpuMillicores = 1000;
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, {}}), 0U);
    endpoints[1].holdsLongRunning = true;
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, {}}), 1U);
}

TEST(Placement, SpreadsLongRunningTasksOverEndpointsWithLongRunningTasks)
{
    std::array endpoints{endpoint(2000), endpoint(3000), endpoint(2500)};
    endpoints[0].holdsLongRunning = true;
    endpoints[2].holdsLongRunning = true;
    Jobs::StepSpec step;
    step.demand.cpuMillicores = 1000;
    step.longRunning = true;
    const std::array<std::int64_t, 3> none{0, 0, 0};
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, none}), 2U);
    const std::array<std::int64_t, 3> oneEach{1, 0, 1};
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, oneEach}), 1U);
}

TEST(Placement, RespectsRoomLabelsAndLimitPerHost)
{
    const std::array<std::string, 1> labels{"big"};
    std::array endpoints{endpoint(500), endpoint(2000), endpoint(2000)};
    endpoints[2].labels = labels;
    Jobs::StepSpec step;
    step.demand.cpuMillicores = 1000;
    step.requiredLabel = "big";
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, {}}), 2U);
    step.maximumPerHost = 1;
    const std::array<std::int64_t, 3> counts{0, 0, 1};
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, counts}), std::nullopt);
}

TEST(Placement, PrefersTheRackOfTheData)
{
    std::array endpoints{endpoint(3000), endpoint(2000)};
    endpoints[1].rack = "r1-2";
    Jobs::StepSpec step;
    step.dataRack = "r1-2";
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, {}}), 1U);
}

TEST(Placement, BackfillTasksNeedNoFreeCpuAndAvoidEndpointsThatServeUsers)
{
    std::array endpoints{endpoint(3000), endpoint(0)};
    endpoints[0].servesUsers = true;
    Jobs::StepSpec step;
    step.demand.cpuMillicores = 1000;
    step.fills = true;
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, {}}), 1U);
}

} // namespace
