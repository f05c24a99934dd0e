#include "statedriver.h"

using Fleet::JobOutcome;

namespace {

constexpr std::int64_t leaseMs = 1000;

class Jobs : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        driver.addCamara();
        for (const auto *host : {"h2", "h3"})
            driver.apply(Fleet::RegisterHost{host, "dispatch", "z1", "r1", 8});
    }
    auto submit(const std::string &id, bool idempotent, std::string fingerprint = "f")
        -> Fleet::CommandResult
    {
        Fleet::Job job;
        job.id = id;
        job.customer = "camara";
        job.service = "dispatch";
        job.body = {"tally"};
        job.idempotent = idempotent;
        job.fingerprint = std::move(fingerprint);
        return driver.apply(Fleet::SubmitJob{job, 10});
    }
    auto start(const std::string &host, std::string startId = {}) -> Fleet::CommandResult
    {
        return driver.apply(Fleet::StartJob{"", "dispatch", host, leaseMs, std::move(startId)});
    }
    auto finish(std::int64_t attempt, JobOutcome outcome = JobOutcome::Done) -> std::string
    {
        Fleet::FinishJob command{"j", attempt, outcome, {}};
        command.answer.body.data = "answer " + std::to_string(attempt);
        const auto result = driver.apply(command);
        return result.accepted ? "" : result.errorType;
    }
    auto expireLease() -> void
    {
        driver.timeMs += leaseMs + 1;
        driver.apply(Fleet::ExpireJobs{1'000'000});
    }
    auto job() const -> Fleet::Job
    {
        return driver.replica.read(
            [](const Fleet::State &state) { return *state.jobs().find("j"); });
    }
    auto state() const -> std::string { return std::string(Utils::nameOf(job().state)); }

    StateDriver driver;
};

} // namespace

TEST_F(Jobs, AResentSubmissionGetsTheSameJobAndOtherContentIsRefused)
{
    EXPECT_TRUE(submit("j", true).accepted);
    EXPECT_TRUE(submit("j", true).accepted);
    EXPECT_EQ(submit("j", true, "g").errorType, "mismatch");
    EXPECT_EQ(start("h1").subject, "j");
    EXPECT_EQ(start("h2").errorType, "not-found");
}

TEST_F(Jobs, AResentStartGetsTheSameAttempt)
{
    submit("j", false);
    EXPECT_EQ(start("h1", "s1").value.value("attempt", 0), 1);
    EXPECT_EQ(start("h1", "s1").value.value("attempt", 0), 1);
    EXPECT_EQ(finish(1), "");
}

TEST_F(Jobs, OnlyTheCurrentAttemptCommitsAndOnlyOnce)
{
    submit("j", true);
    start("h1");
    expireLease();
    EXPECT_EQ(state(), "queued");
    EXPECT_EQ(finish(1), "conflict");
    start("h2");
    EXPECT_EQ(finish(1), "conflict");
    EXPECT_EQ(finish(2), "");
    EXPECT_EQ(finish(2), "") << "a resent commit is accepted again";
    EXPECT_EQ(job().answer->body.data, "answer 2");
    EXPECT_EQ(start("h1").errorType, "not-found");
}

TEST_F(Jobs, ACheckpointRenewsTheLeaseAndIsKeptForTheNextAttempt)
{
    submit("j", true);
    start("h1");
    driver.timeMs += leaseMs - 1;
    EXPECT_TRUE(driver.apply(Fleet::CheckpointJob{"j", 1, leaseMs, {"half"}}).accepted);
    driver.timeMs += leaseMs - 1;
    driver.apply(Fleet::ExpireJobs{1'000'000});
    EXPECT_EQ(state(), "running");
    expireLease();
    EXPECT_EQ(state(), "queued");
    EXPECT_EQ(job().checkpoint.data, "half");
    EXPECT_EQ(driver.apply(Fleet::CheckpointJob{"j", 1, leaseMs, {"x"}}).errorType, "conflict");
}

TEST_F(Jobs, ANonIdempotentJobWhoseLeaseExpiresWaitsForAnOperator)
{
    submit("j", false);
    start("h1");
    expireLease();
    EXPECT_EQ(state(), "needs-operator");
    EXPECT_EQ(start("h2").errorType, "not-found");
    EXPECT_EQ(finish(1), "conflict");
    EXPECT_TRUE(driver.apply(Fleet::ResolveJob{"j", true, "checked by hand"}).accepted);
    EXPECT_TRUE(start("h2").accepted);
    EXPECT_EQ(finish(2), "");
}

TEST_F(Jobs, AnAttemptThatDidNotRunIsQueuedAgain)
{
    submit("j", false);
    start("h1");
    EXPECT_EQ(finish(1, JobOutcome::NotRun), "");
    EXPECT_EQ(state(), "queued");
}

TEST_F(Jobs, AJobThatFailsOnThreeHealthyHostsEndsAsFailed)
{
    submit("j", true);
    auto attempt = 0;
    for (const auto *host : {"h1", "h2", "h3"}) {
        EXPECT_EQ(state(), "queued");
        EXPECT_TRUE(start(host).accepted);
        EXPECT_EQ(finish(++attempt, JobOutcome::Failed), "");
    }
    EXPECT_EQ(state(), "failed");
}

TEST_F(Jobs, FailuresOnAnUnhealthyHostDoNotCountAgainstTheJob)
{
    submit("j", true);
    start("h1");
    driver.apply(Fleet::ReportHost{"h1", true});
    EXPECT_EQ(finish(1, JobOutcome::Failed), "");
    EXPECT_TRUE(job().failedHosts.empty());
    EXPECT_EQ(start("h1").errorType, "refused");
}

TEST_F(Jobs, ACancelledJobCannotCommit)
{
    submit("j", true);
    start("h1");
    EXPECT_EQ(driver.apply(Fleet::CancelJob{"j", "kerbside"}).errorType, "not-found");
    EXPECT_TRUE(driver.apply(Fleet::CancelJob{"j", "camara"}).accepted);
    EXPECT_EQ(finish(1), "conflict");
    EXPECT_EQ(state(), "cancelled");
    EXPECT_TRUE(driver.apply(Fleet::CancelJob{"j", "camara"}).accepted);
}

TEST_F(Jobs, EndedJobsAreRemovedAfterTheirRetention)
{
    submit("j", true);
    start("h1");
    finish(1);
    driver.timeMs += 5000;
    driver.apply(Fleet::ExpireJobs{5000});
    EXPECT_EQ(state(), "committed");
    driver.timeMs += 1;
    driver.apply(Fleet::ExpireJobs{5000});
    EXPECT_TRUE(
        driver.replica.read([](const Fleet::State &fleet) { return fleet.jobs().all().empty(); }));
}
