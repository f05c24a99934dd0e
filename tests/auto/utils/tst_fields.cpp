#include "utils/cbor.h"

#include <gtest/gtest.h>

namespace {

struct Sample
{
    std::string name;
    std::int64_t count = 0;
    std::optional<std::int64_t> limit;
    std::vector<std::string> tags;
};

template <typename Archive>
auto describe(Archive &archive, Sample &sample) -> void
{
    archive.required("name", sample.name);
    archive.required("count", sample.count, Utils::Range{0, 10});
    archive.optional("limit", sample.limit);
    archive.optional("tags", sample.tags);
}

struct ErrorCase
{
    std::string text;
    std::string expected;
};

} // namespace

TEST(Fields, RestoresAValueFromItsCborEncoding)
{
    const Sample sample{"a", 3, 7, {"x", "y"}};
    const auto read = Utils::fromCbor<Sample>(Utils::toCbor(sample));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().name, "a");
    EXPECT_EQ(read.value().count, 3);
    EXPECT_EQ(read.value().limit, 7);
    EXPECT_EQ(read.value().tags, sample.tags);
}

TEST(Fields, ReportsAllErrorsWithTheirPaths)
{
    const std::vector<ErrorCase> cases{
        {R"({"count":1})", "name: is missing"},
        {R"({"name":1,"count":11})", "name: must be a string\ncount: must lie between 0 and 10"},
        {R"({"name":"a","count":1,"other":2})", "other: is not a known key"},
        {R"({"name":"a","count":1,"tags":["x",2]})", "tags[1]: must be a string"},
        {R"([])", "document: must be an object"},
        {R"({"name":"a","count":1.5})", "count: must be a whole number"},
    };
    for (const auto &testCase : cases) {
        const auto read = Utils::fromJsonText<Sample>(testCase.text);
        ASSERT_FALSE(read) << testCase.text;
        EXPECT_EQ(read.error().type, Utils::ErrorType::InvalidInput);
        EXPECT_EQ(read.error().details, testCase.expected);
    }
}
