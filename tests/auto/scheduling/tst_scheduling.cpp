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

TEST(JobOrder, TheLongestChainFollowsTheOrderOfSteps)
{
    Jobs::JobSpec job;
    job.steps.resize(3);
    job.steps[0].estimateMs = 100;
    job.steps[1].estimateMs = 500;
    job.steps[2].estimateMs = 300;
    job.steps[2].after = {0};
    EXPECT_EQ(Scheduling::longestChainMs(job), 500);
    job.steps[2].after = {0, 1};
    EXPECT_EQ(Scheduling::longestChainMs(job), 800);
}

TEST(JobOrder, WhatCanStillMeetItsObjectiveGoesBeforeWhatCannot)
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

TEST(JobOrder, PriorityGoesFirstWhateverTheOutlook)
{
    const auto urgent = Scheduling::rankOf({0, 1, 100}, 1000, 0, 1000, 100'000);
    const auto other = Scheduling::rankOf({1, 1, 100}, 1000, 100'000, 0, 100'000);
    EXPECT_LT(urgent, other);
}

TEST(Placement, TakesTheEndpointWithTheMostFreeProcessors)
{
    const std::array endpoints{endpoint(2000), endpoint(3000), endpoint(1000)};
    Jobs::StepSpec step;
    step.demand.cpuMillicores = 1000;
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, {}}), 1U);
}

TEST(Placement, KeepsToRoomLabelsAndTheLimitForEachHost)
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

TEST(Placement, FillingTasksNeedNoFreeProcessorsAndAvoidThoseThatServeUsers)
{
    std::array endpoints{endpoint(3000), endpoint(0)};
    endpoints[0].servesUsers = true;
    Jobs::StepSpec step;
    step.demand.cpuMillicores = 1000;
    step.fills = true;
    EXPECT_EQ(Scheduling::chooseEndpoint(endpoints, {&step, {}}), 1U);
}

} // namespace
