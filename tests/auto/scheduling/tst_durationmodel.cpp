#include "scheduling/durationmodel.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace {

constexpr auto queue = "queue";

TEST(DurationModel, UsesEstimatesUnchangedAtFirst)
{
    Scheduling::DurationModel model;
    model.learn(queue, 1000, 5000);
    EXPECT_EQ(model.expect(queue, 1000), 1000);
    EXPECT_EQ(model.expect("other", 700), 700);
}

TEST(DurationModel, ScalesEstimatesThatCorrelateWithDurations)
{
    Scheduling::DurationModel model;
    for (auto round = 0; round < 50; ++round) {
        for (const auto estimateMs : {500, 1000, 2000})
            model.learn(queue, estimateMs, estimateMs * 3);
    }
    EXPECT_NEAR(double(model.expect(queue, 500)), 1500, 30);
    EXPECT_NEAR(double(model.expect(queue, 2000)), 6000, 120);
}

// Estimates that are wrong by a factor of 2.5 in either direction must not dominate the prediction
// when the durations themselves vary little.
TEST(DurationModel, HasSmallerErrorsThanEstimatesThatAreFarOff)
{
    Scheduling::DurationModel model;
    std::mt19937_64 engine(1);
    std::lognormal_distribution<double> duration(std::log(1000.0), 0.4);
    std::lognormal_distribution<double> error(0, 0.9);
    double ofEstimates = 0;
    double ofModel = 0;
    for (auto round = 0; round < 2000; ++round) {
        const auto truth = duration(engine);
        const auto estimate = std::int64_t(truth * error(engine));
        ofEstimates += std::abs(double(estimate) - truth);
        ofModel += std::abs(double(model.expect(queue, estimate)) - truth);
        model.learn(queue, estimate, std::int64_t(truth));
    }
    EXPECT_LT(ofModel, ofEstimates / 2);
}

} // namespace
