#include "utils/logbudget.h"

#include <gtest/gtest.h>

namespace {

TEST(LogBudget, LimitsTheLinesPerSecond)
{
    Utils::LogBudget budget("test", 2);
    const Utils::Instant start{Utils::Milliseconds(5000)};
    EXPECT_TRUE(budget.allow(start));
    EXPECT_TRUE(budget.allow(start));
    EXPECT_FALSE(budget.allow(start + Utils::Milliseconds(999)));
    EXPECT_EQ(budget.suppressedLines(), 1);
    EXPECT_TRUE(budget.allow(start + Utils::Milliseconds(1000)));
    EXPECT_EQ(budget.suppressedLines(), 1);
}

} // namespace
