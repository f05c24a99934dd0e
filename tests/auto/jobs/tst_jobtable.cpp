#include "jobs/jobtable.h"

#include <gtest/gtest.h>

namespace {

auto job(std::string id, std::vector<Jobs::StepSpec> steps) -> Jobs::JobSpec
{
    Jobs::JobSpec spec;
    spec.id = std::move(id);
    spec.steps = std::move(steps);
    return spec;
}

auto step(std::int64_t count) -> Jobs::StepSpec
{
    Jobs::StepSpec spec;
    spec.count = count;
    return spec;
}

TEST(JobTable, RejectsSecondJobWithTheSameId)
{
    Jobs::JobTable table;
    EXPECT_TRUE(table.add(job("a", {step(1)})));
    EXPECT_FALSE(table.add(job("a", {step(2)})));
    EXPECT_EQ(table.find("a")->spec.steps.front().count, 1);
}

TEST(JobTable, JobIsDoneWhenAllTasksOfAllStepsAreDone)
{
    Jobs::JobTable table;
    table.add(job("a", {step(2), step(1)}));
    table.recordEnd({"a", 0, 0, 0}, Jobs::TaskOutcome::Done, 3, 1);
    table.recordEnd({"a", 0, 0, 0}, Jobs::TaskOutcome::Done, 3, 1);
    table.recordEnd({"a", 0, 1, 0}, Jobs::TaskOutcome::Done, 3, 1);
    EXPECT_EQ(table.find("a")->state, Jobs::JobState::Active);
    table.recordEnd({"a", 0, 0, 1}, Jobs::TaskOutcome::Done, 3, 1);
    EXPECT_EQ(table.find("a")->state, Jobs::JobState::Done);
    EXPECT_TRUE(table.activeIds().empty());
}

TEST(JobTable, CancelDoesNotChangeJobThatIsDone)
{
    Jobs::JobTable table;
    table.add(job("a", {step(1)}));
    table.recordEnd({"a", 0, 0, 0}, Jobs::TaskOutcome::Done, 3, 1);
    EXPECT_TRUE(table.cancel("a", 2));
    EXPECT_EQ(table.find("a")->state, Jobs::JobState::Done);
}

TEST(JobTable, RepeatedJobIsDoneWhenAllOccurrencesAreDone)
{
    Jobs::JobTable table;
    auto spec = job("a", {step(1)});
    spec.repetition.count = 2;
    table.add(spec);
    table.recordEnd({"a", 1, 0, 0}, Jobs::TaskOutcome::Done, 3, 1);
    EXPECT_EQ(table.find("a")->state, Jobs::JobState::Active);
    table.recordEnd({"a", 0, 0, 0}, Jobs::TaskOutcome::Done, 3, 1);
    EXPECT_EQ(table.find("a")->state, Jobs::JobState::Done);
}

TEST(JobTable, SuccessOfOneMemberEndsTheGang)
{
    Jobs::JobTable table;
    auto gang = step(3);
    gang.gang = true;
    table.add(job("a", {gang}));
    table.recordEnd({"a", 0, 0, 2}, Jobs::TaskOutcome::Done, 3, 1);
    EXPECT_EQ(table.find("a")->state, Jobs::JobState::Done);
}

TEST(JobTable, LongRunningTasksMayFailWithoutLimit)
{
    Jobs::JobTable table;
    auto longRunningStep = step(1);
    longRunningStep.longRunning = true;
    table.add(job("a", {longRunningStep}));
    for (auto failure = 0; failure < 10; ++failure)
        table.recordEnd({"a", 0, 0, 0}, Jobs::TaskOutcome::Failed, 3, 1);
    EXPECT_EQ(table.find("a")->state, Jobs::JobState::Active);
}

TEST(JobTable, IgnoresEndsOfTasksThatTheJobDoesNotHave)
{
    Jobs::JobTable table;
    table.add(job("a", {step(1)}));
    for (const Jobs::TaskId &task : {Jobs::TaskId{"a", 0, 1, 0},
                                     Jobs::TaskId{"a", 0, 0, 1},
                                     Jobs::TaskId{"a", 1, 0, 0},
                                     Jobs::TaskId{"a", 0, -1, 0},
                                     Jobs::TaskId{"b", 0, 0, 0}})
        table.recordEnd(task, Jobs::TaskOutcome::Done, 3, 1);
    EXPECT_EQ(table.find("a")->state, Jobs::JobState::Active);
}

TEST(JobTable, RemovesEndedJobsOnly)
{
    Jobs::JobTable table;
    table.add(job("a", {step(1)}));
    table.add(job("b", {step(1)}));
    table.cancel("a", 10);
    table.forgetEndedBefore(11);
    EXPECT_EQ(table.find("a"), nullptr);
    EXPECT_NE(table.find("b"), nullptr);
}

// Snapshots contain ended jobs for minutes. Payloads and steps of ended jobs would make them large.
TEST(JobTable, EndedJobHasNoPayloadAndNoSteps)
{
    Jobs::JobTable table;
    Jobs::JobSpec spec;
    spec.id = "job";
    spec.queue = "queue";
    spec.payload = std::string(4000, 'x');
    spec.steps.emplace_back().count = 1;
    table.add(spec);
    table.recordEnd({"job", 0, 0, 0}, Jobs::TaskOutcome::Done, 3, 1);
    const auto *job = table.find("job");
    ASSERT_NE(job, nullptr);
    EXPECT_EQ(job->state, Jobs::JobState::Done);
    EXPECT_EQ(job->spec.queue, "queue");
    EXPECT_TRUE(job->spec.payload.empty());
    EXPECT_TRUE(job->spec.steps.empty());
}

} // namespace
