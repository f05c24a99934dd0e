#include "statedriver.h"

using Fleet::ClaimOutcome;

namespace {

class Claims : public testing::Test
{
protected:
    auto claimOf(const std::string &process, std::int64_t incarnation, std::int64_t attempt) const
        -> Fleet::RequestClaim
    {
        Fleet::RequestClaim claim;
        claim.customer = "camara";
        claim.key = key;
        claim.fingerprint = "f";
        claim.process = process;
        claim.incarnation = incarnation;
        claim.attempt = attempt;
        return claim;
    }
    auto claim(const std::string &process, std::int64_t incarnation, std::int64_t attempt)
        -> std::string
    {
        const auto result =
            driver.apply(Fleet::ClaimRequest{claimOf(process, incarnation, attempt), limit});
        return result.accepted ? "" : result.errorType;
    }
    auto settle(ClaimOutcome outcome, std::int64_t attempt, bool fence = false)
        -> Fleet::CommandResult
    {
        Fleet::SettleClaim command{"camara", key, "a", 1, attempt, outcome, fence, {}};
        if (outcome == ClaimOutcome::Answered)
            command.answer = answer;
        return driver.apply(command);
    }
    auto state() const -> std::string
    {
        return driver.replica.read([&](const Fleet::State &fleet) -> std::string {
            const auto *claim = fleet.findClaim("camara", key);
            return claim ? std::string(Utils::nameOf(fleet.stateOf(*claim))) : "none";
        });
    }
    auto expire(std::int64_t retentionMs) -> void
    {
        driver.apply(Fleet::ExpireClaims{retentionMs});
    }

    StateDriver driver;
    std::string key = "k";
    std::int64_t limit = 10;
    Fleet::StoredResponse answer{200, "text/plain", {{"Location", "/x"}}, {"body"}};
};

} // namespace

TEST_F(Claims, OnlyOneAttemptHoldsAClaim)
{
    EXPECT_EQ(claim("a", 1, 1), "");
    EXPECT_EQ(claim("a", 1, 1), "") << "a resend of the same attempt is accepted";
    EXPECT_EQ(claim("a", 1, 2), "conflict");
    EXPECT_EQ(claim("b", 1, 1), "conflict");
    EXPECT_EQ(state(), "claimed");
}

TEST_F(Claims, AResponseIsStoredCompletelyAndNeverReplaced)
{
    claim("a", 1, 1);
    EXPECT_TRUE(settle(ClaimOutcome::Answered, 1).accepted);
    EXPECT_TRUE(settle(ClaimOutcome::NotRun, 1).accepted);
    EXPECT_EQ(state(), "answered");
    EXPECT_EQ(claim("a", 1, 1), "conflict");
    driver.replica.read([&](const Fleet::State &fleet) {
        const auto *claim = fleet.findClaim("camara", key);
        EXPECT_EQ(Utils::toJson(*claim->answer), Utils::toJson(answer));
    });
}

TEST_F(Claims, AResponseThatIsTooLargeIsNotStored)
{
    answer.body.data.assign(Fleet::ClaimTable::maximumResponseBytes, 'x');
    claim("a", 1, 1);
    EXPECT_TRUE(settle(ClaimOutcome::Answered, 1).accepted);
    EXPECT_EQ(state(), "answered-not-kept");
    EXPECT_EQ(claim("b", 1, 1), "conflict");
}

TEST_F(Claims, AReleasedClaimCanBeMadeAgain)
{
    claim("a", 1, 1);
    EXPECT_EQ(settle(ClaimOutcome::Answered, 2).errorType, "not-found");
    EXPECT_TRUE(settle(ClaimOutcome::NotRun, 1).accepted);
    EXPECT_EQ(state(), "none");
    EXPECT_EQ(claim("b", 1, 1), "");
}

TEST_F(Claims, AFencedAttemptIsRefusedWhenItsClaimIsCommittedLate)
{
    EXPECT_TRUE(settle(ClaimOutcome::NotRun, 7, true).accepted);
    EXPECT_EQ(claim("a", 1, 7), "refused");
    EXPECT_EQ(claim("a", 1, 8), "");
    // A late duplicate of a released attempt must not claim the key either.
    settle(ClaimOutcome::NotRun, 8, true);
    EXPECT_EQ(claim("a", 1, 8), "refused");
    EXPECT_EQ(state(), "none");
}

TEST_F(Claims, ARestartOfTheOwnerMakesItsClaimUnknownAndRefusesClaimsOfTheOldIncarnation)
{
    claim("a", 1, 1);
    driver.apply(Fleet::RegisterProcess{"a", "z1", 2, 0});
    EXPECT_EQ(state(), "unknown");
    EXPECT_EQ(claim("b", 1, 1), "conflict");
    key = "other";
    EXPECT_EQ(claim("a", 1, 2), "refused");
    EXPECT_EQ(claim("a", 2, 1), "");
}

TEST_F(Claims, AnotherRequestUnderTheSameKeyIsAMismatch)
{
    claim("a", 1, 1);
    auto other = claimOf("b", 1, 1);
    other.fingerprint = "g";
    EXPECT_EQ(driver.apply(Fleet::ClaimRequest{other, limit}).errorType, "mismatch");
}

TEST_F(Claims, AtTheLimitNewClaimsAreRefusedAndNoneAreDropped)
{
    limit = 1;
    EXPECT_EQ(claim("a", 1, 1), "");
    key = "second";
    EXPECT_EQ(claim("a", 1, 2), "limit-reached");
    key = "k";
    EXPECT_EQ(state(), "claimed");
}

TEST_F(Claims, ExpiryDropsEndedClaimsOnlyAfterTheRetention)
{
    claim("a", 1, 1);
    key = "answered";
    claim("a", 1, 2);
    settle(ClaimOutcome::Answered, 2);
    driver.timeMs += 1000;
    expire(1000);
    EXPECT_EQ(state(), "answered");
    driver.timeMs += 1;
    expire(1000);
    EXPECT_EQ(state(), "none");
    key = "k";
    EXPECT_EQ(state(), "claimed") << "a claim that may be running is kept";
    driver.timeMs += Fleet::ClaimTable::maximumRunMs;
    driver.apply(Fleet::RegisterProcess{"b", "z1", 1, 0});
    EXPECT_EQ(state(), "unknown");
    expire(1000);
    EXPECT_EQ(state(), "none");
}

TEST_F(Claims, ClaimsAreStoredNeitherInTheResultsNorInTheAuditTrail)
{
    claim("a", 1, 1);
    settle(ClaimOutcome::Answered, 1);
    driver.replica.read([](const Fleet::State &fleet) {
        EXPECT_EQ(fleet.results().size(), 0U);
        EXPECT_TRUE(fleet.audit().empty());
    });
}
