#include "service/filebudget.h"

#include <gtest/gtest.h>

namespace {

TEST(FileBudget, ReservesFilesForTheLogAndStaysWithinTheLimit)
{
    for (const std::int64_t files : {64, 1024, 4096, 100'000}) {
        const auto budget = Service::divideFileBudget(files);
        EXPECT_GE(budget.reserved, std::min<std::int64_t>(files / 4, 600));
        EXPECT_GT(budget.endpoints, 0);
        EXPECT_GT(budget.listener, 0);
        EXPECT_LE(budget.reserved + budget.endpoints + budget.listener, files);
    }
}

TEST(FileBudget, ALimitOf4096FilesAllowsTwoConnectionsForEachOfAThousandEndpoints)
{
    const auto budget = Service::divideFileBudget(4096);
    EXPECT_GE(budget.endpoints, 2000);
    EXPECT_GE(budget.listener, 1000);
}

} // namespace
