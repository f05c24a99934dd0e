#include "utils/cachedflag.h"

#include <gtest/gtest.h>

TEST(CachedFlag, IsReadAgainAfterItsMaximumAge)
{
    Utils::ManualClock clock;
    auto source = true;
    auto reads = 0;
    Utils::CachedFlag flag(clock, Utils::Milliseconds(20), [&] {
        ++reads;
        return source;
    });
    EXPECT_TRUE(flag.value());
    source = false;
    clock.advance(Utils::Milliseconds(19));
    EXPECT_TRUE(flag.value());
    EXPECT_EQ(reads, 1);
    clock.advance(Utils::Milliseconds(1));
    EXPECT_FALSE(flag.value());
    EXPECT_EQ(reads, 2);
}
