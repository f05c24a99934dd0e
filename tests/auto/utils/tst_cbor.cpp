#include "utils/cbor.h"

#include <gtest/gtest.h>

#include <random>

namespace {

enum class Colour { Red, Blue };

inline auto enumNames(Colour) -> std::span<const Utils::EnumName<Colour>>
{
    static constexpr Utils::EnumName<Colour> names[] = {{Colour::Red, "red"},
                                                        {Colour::Blue, "blue"}};
    return names;
}

struct Part
{
    std::string name;
    std::vector<std::int64_t> numbers;
    std::optional<bool> flag;
    auto operator==(const Part &) const -> bool = default;
};

struct Whole
{
    std::int64_t integer = 0;
    std::uint64_t natural = 0;
    double real = 0;
    bool flag = false;
    Colour colour = Colour::Red;
    std::string text;
    Utils::Bytes bytes;
    std::optional<std::int64_t> absent;
    std::vector<Part> parts;
    std::map<std::string, Part> byName;
    Utils::Json json;
    auto operator==(const Whole &) const -> bool = default;
};

template <typename Archive>
auto describe(Archive &archive, Part &part) -> void
{
    archive.required("name", part.name);
    archive.required("numbers", part.numbers);
    archive.optional("flag", part.flag);
}

template <typename Archive>
auto describe(Archive &archive, Whole &whole) -> void
{
    archive.required("integer", whole.integer, Utils::Range{INT64_MIN, INT64_MAX});
    archive.required("natural", whole.natural);
    archive.required("real", whole.real);
    archive.required("flag", whole.flag);
    archive.required("colour", whole.colour);
    archive.required("text", whole.text);
    archive.required("bytes", whole.bytes);
    archive.optional("absent", whole.absent);
    archive.required("parts", whole.parts);
    archive.required("by_name", whole.byName);
    archive.required("json", whole.json);
}

struct Limited
{
    std::int64_t count = 0;
    std::string name;
    std::vector<std::string> tags;
};

template <typename Archive>
auto describe(Archive &archive, Limited &limited) -> void
{
    archive.required("name", limited.name);
    archive.required("count", limited.count, Utils::Range{0, 10});
    archive.optional("tags", limited.tags);
}

auto sampleWhole() -> Whole
{
    Whole whole;
    whole.integer = -70'000;
    whole.natural = UINT64_MAX >> 1U;
    whole.real = 0.1;
    whole.flag = true;
    whole.colour = Colour::Blue;
    whole.text = std::string(300, 'x');
    whole.bytes.data = std::string("\0\xff", 2);
    whole.parts = {{"first", {1, -24, 255, 65'536}, true}, {"second", {}, std::nullopt}};
    whole.byName = {{"a", {"third", {5}, false}}, {"b", {}}};
    whole.json = Utils::Json::parse(R"({"list":[1,"two",null,2.5],"nested":{"deep":{}}})");
    return whole;
}

auto cborOfJson(const Utils::Json &json) -> std::string
{
    std::string bytes;
    Utils::Json::to_cbor(json, bytes);
    return bytes;
}

} // namespace

TEST(Cbor, RestoresEveryTypeOfValue)
{
    const auto whole = sampleWhole();
    const auto read = Utils::fromCbor<Whole>(Utils::toCbor(whole));
    ASSERT_TRUE(read) << read.error().details;
    EXPECT_EQ(read.value(), whole);
}

TEST(Cbor, RestoresIntegersAtTheLimitsOfEachEncodedLength)
{
    for (const std::int64_t limit :
         {std::int64_t(23), std::int64_t(255), std::int64_t(65'535), std::int64_t(4'294'967'295)}) {
        for (const auto value : {limit, limit + 1, -limit - 1, -limit - 2}) {
            EXPECT_EQ(Utils::fromCbor<std::int64_t>(Utils::toCbor(value)).value(), value);
        }
    }
    EXPECT_EQ(Utils::fromCbor<std::int64_t>(Utils::toCbor(INT64_MAX)).value(), INT64_MAX);
    EXPECT_EQ(Utils::fromCbor<std::int64_t>(Utils::toCbor(INT64_MIN)).value(), INT64_MIN);
}

// Earlier versions wrote all values through the JSON library, with sorted keys.
TEST(Cbor, IsInterchangeableWithTheEncodingOfTheJsonLibrary)
{
    const auto whole = sampleWhole();
    const auto read = Utils::fromCbor<Whole>(cborOfJson(Utils::toJson(whole)));
    ASSERT_TRUE(read) << read.error().details;
    EXPECT_EQ(read.value(), whole);
    EXPECT_EQ(Utils::Json::from_cbor(Utils::toCbor(whole)), Utils::toJson(whole));
}

TEST(Cbor, ReportsTheSameErrorsAsForJson)
{
    for (const auto *text : {R"({"count":1})",
                             R"({"name":1,"count":11})",
                             R"({"name":"a","count":1,"other":{"x":[1]}})",
                             R"({"name":"a","count":1,"tags":["x",2]})",
                             R"([])",
                             R"({"name":"a","count":1.5})",
                             R"({"count":true,"name":{},"tags":"x"})"}) {
        const auto json = Utils::Json::parse(text);
        const auto expected = Utils::fromJson<Limited>(json);
        const auto read = Utils::fromCbor<Limited>(cborOfJson(json));
        ASSERT_FALSE(read) << text;
        EXPECT_EQ(read.error().type, Utils::ErrorType::InvalidInput);
        EXPECT_EQ(read.error().details, expected.error().details) << text;
    }
}

TEST(Cbor, ReportsTruncatedAndTrailingBytesAsCorruption)
{
    const auto bytes = Utils::toCbor(sampleWhole());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto read = Utils::fromCbor<Whole>(std::string_view(bytes).substr(0, size));
        ASSERT_FALSE(read) << size;
        EXPECT_EQ(read.error().type, Utils::ErrorType::Corruption);
    }
    EXPECT_EQ(Utils::fromCbor<Whole>(bytes + '\0').error().type, Utils::ErrorType::Corruption);
}

TEST(Cbor, SurvivesDeeplyNestedAndHugeItems)
{
    EXPECT_FALSE(Utils::fromCbor<Limited>(std::string(1'000'000, '\x81')));
    const std::string hugeArray = "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
    EXPECT_FALSE(Utils::fromCbor<std::vector<std::string>>(hugeArray));
    EXPECT_FALSE(Utils::fromCbor<Limited>(hugeArray));
    const std::string hugeText = "\x7b\xff\xff\xff\xff\xff\xff\xff\xff";
    EXPECT_FALSE(Utils::fromCbor<std::string>(hugeText));
}

TEST(Cbor, SurvivesChangedBytes)
{
    constexpr int rounds = 20'000;
    const auto bytes = Utils::toCbor(sampleWhole());
    std::mt19937 random(7);
    for (int round = 0; round < rounds; ++round) {
        auto changed = bytes;
        for (auto changes = 1 + random() % 3; changes > 0; --changes)
            changed[random() % changed.size()] = char(random());
        const auto read = Utils::fromCbor<Whole>(changed);
        if (read) {
            const auto again = Utils::fromCbor<Whole>(Utils::toCbor(read.value()));
            EXPECT_TRUE(again);
        }
    }
}
