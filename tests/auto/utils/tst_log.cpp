#include "utils/log.h"

#include "utils/fields.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <regex>

namespace {

using Utils::Log::Level;

class LogFile : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        std::filesystem::remove(m_path);
        Utils::Log::initialize({Level::Info, m_path, "e1", "z2"});
    }
    auto TearDown() -> void override
    {
        Utils::Log::initialize({});
        std::filesystem::remove(m_path);
    }
    auto lines() const -> std::vector<Utils::Json>
    {
        std::ifstream file(m_path);
        std::vector<Utils::Json> result;
        for (std::string line; std::getline(file, line);)
            result.push_back(Utils::Json::parse(line));
        return result;
    }

    // Test processes may run in parallel, so each one uses its own file.
    std::string m_path = testing::TempDir() + "tst_log_" + std::to_string(getpid()) + ".jsonl";
};

TEST_F(LogFile, writesTypedFieldsInEachLine)
{
    Utils::Log::write(Level::Warning,
                      "entry",
                      "a \"quoted\"\nmessage",
                      {{"request", "request-1"}, {"revision", 7}, {"leading", true}});
    const auto written = lines();
    ASSERT_EQ(written.size(), 1U);
    const auto &line = written.front();
    const std::regex time(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z)");
    EXPECT_TRUE(std::regex_match(line["time"].get<std::string>(), time)) << line["time"];
    EXPECT_EQ(line["level"], "warning");
    EXPECT_EQ(line["process"], "e1");
    EXPECT_EQ(line["zone"], "z2");
    EXPECT_EQ(line["component"], "entry");
    EXPECT_EQ(line["message"], "a \"quoted\"\nmessage");
    EXPECT_EQ(line["request"], "request-1");
    EXPECT_EQ(line["revision"], 7);
    EXPECT_EQ(line["leading"], true);
}

TEST_F(LogFile, omitsLinesBelowTheLevel)
{
    Utils::Log::write(Level::Debug, "entry", "detail");
    Utils::Log::info("entry", "kept");
    EXPECT_EQ(lines().size(), 1U);
}

TEST_F(LogFile, replacesBytesThatAreNotUtf8)
{
    Utils::Log::info("entry", "bad \xff byte");
    EXPECT_EQ(lines().size(), 1U);
}

TEST(LogLevel, isParsedFromItsName)
{
    EXPECT_EQ(Utils::Log::levelFromName("error"), Level::Error);
    EXPECT_FALSE(Utils::Log::levelFromName("loud"));
}

} // namespace
