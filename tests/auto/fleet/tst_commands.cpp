#include "statedriver.h"

namespace {

auto contractOf(const std::string &customer) -> Fleet::Contract
{
    Fleet::Contract contract;
    contract.customer = customer;
    contract.services = {{"dispatch", "dispatch", 8, 64, 0}};
    return contract;
}

} // namespace

TEST(Commands, AResentCommandGetsItsFirstResult)
{
    StateDriver driver;
    const auto first = driver.apply(Fleet::PutContract{contractOf("camara"), true}, "c1");
    driver.timeMs += 1000;
    const auto second = driver.apply(Fleet::PutContract{contractOf("camara"), true}, "c1");
    EXPECT_EQ(Utils::toJson(first), Utils::toJson(second));
    EXPECT_EQ(second.revision, 1U);
}

TEST(Commands, AResentCommandIdWithOtherContentIsRefused)
{
    StateDriver driver;
    driver.apply(Fleet::PutContract{contractOf("camara"), true}, "c1");
    const auto other = driver.apply(Fleet::PutContract{contractOf("kerbside"), true}, "c1");
    EXPECT_EQ(other.errorType, "mismatch");
    EXPECT_FALSE(driver.replica.read(
        [](const Fleet::State &state) { return state.findContract("kerbside") != nullptr; }));
}

TEST(Commands, OfTwoConcurrentEditsTheSecondGetsAConflict)
{
    StateDriver driver;
    const auto put = driver.apply(Fleet::PutContract{contractOf("camara"), true});
    EXPECT_TRUE(
        driver.apply(Fleet::PutContract{contractOf("camara"), true}, "a", put.revision).accepted);
    const auto late =
        driver.apply(Fleet::PutContract{contractOf("camara"), true}, "b", put.revision);
    EXPECT_EQ(late.errorType, "conflict");
}

TEST(Commands, UndecodableEntriesAreRefusedAndChangeNothing)
{
    StateDriver driver;
    driver.addCamara();
    const auto before = driver.replica.snapshot();
    EXPECT_EQ(driver.applyBytes("not cbor").errorType, "corruption");
    const Utils::Json unknown{
        {"id", "c"}, {"actor", "a"}, {"time_ms", 1}, {"type", "none"}, {"body", nullptr}};
    EXPECT_EQ(driver.applyBytes(Utils::toCbor(unknown)).errorType, "invalid-input");
    EXPECT_EQ(driver.replica.snapshot(), before);
}

TEST(Commands, CommandTimeNeverGoesBack)
{
    StateDriver driver;
    driver.addCamara();
    driver.timeMs -= 5000;
    driver.apply(Fleet::PutContract{contractOf("kerbside"), true});
    const auto times = driver.replica.read([](const Fleet::State &state) {
        return std::pair(state.audit().front().timeMs, state.audit().back().timeMs);
    });
    EXPECT_EQ(times.first, times.second);
}

TEST(Commands, ResultsAndAuditRecordsAreBounded)
{
    StateDriver driver;
    for (std::size_t count = 0; count < Fleet::State::maximumAuditRecords + 10; ++count)
        driver.apply(Fleet::SetAutonomy{});
    driver.replica.read([](const Fleet::State &state) {
        EXPECT_EQ(state.results().size(), Fleet::ResultTable::maximumResults);
        EXPECT_LE(state.audit().size(), Fleet::State::maximumAuditRecords);
    });
    driver.timeMs += Fleet::ResultTable::retentionMs + 1;
    driver.apply(Fleet::SetAutonomy{});
    EXPECT_EQ(driver.replica.read([](const Fleet::State &state) { return state.results().size(); }),
              1U);
}
