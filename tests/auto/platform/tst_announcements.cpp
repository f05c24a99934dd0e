// Announcements of endpoints, sound ones and those of other writers.
#include "platform/announcementcodec.h"

#include "utils/fields.h"

#include <gtest/gtest.h>

#include <random>

namespace {

constexpr std::uint32_t seed = 56;
constexpr int mutations = 20'000;

auto soundBody() -> Utils::Json
{
    return {{"service", "s1"},
            {"address", "10.128.0.9:8080"},
            {"zone", "z1"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
            {"labels", {"a", "r1-3"}},
            {"clock_ms", 482113},
            {"born", 17},
            {"seq_no", 4}};
}

auto isAccepted(const Utils::Json &body) -> bool
{
    return bool(Platform::decodeAnnouncement(body.dump(), "i-1"));
}

TEST(Announcement, ReadsAllFields)
{
    const auto read = Platform::decodeAnnouncement(soundBody().dump(), "i-1");
    ASSERT_TRUE(read);
    const auto &record = read.value().record;
    EXPECT_EQ(record.incarnation, (Control::EndpointIncarnation{"i-1", 17}));
    EXPECT_EQ(record.pool, "s1");
    EXPECT_EQ(record.address, "10.128.0.9:8080");
    EXPECT_EQ(record.zone, "z1");
    EXPECT_EQ(record.rack, "r1-3");
    EXPECT_EQ(record.labels, (std::vector<std::string>{"a", "r1-3"}));
    EXPECT_EQ(record.capacity.cpuMillicores, 16000);
    EXPECT_EQ(record.capacity.memoryMb, 32768);
    EXPECT_FALSE(record.draining);
    EXPECT_EQ(read.value().sequence, 4);
}

TEST(Announcement, MayLeaveOutWhatIsNothing)
{
    auto body = soundBody();
    body.erase("cold_left_ms");
    body["capacity"].erase("gpu");
    EXPECT_TRUE(isAccepted(body));
}

// Guards against TWICE and LOST: a message of another writer replaced a busy endpoint, or left one without capacity.
TEST(Announcement, NamesNoEndpointIfAFieldIsMissing)
{
    for (const auto *field : {"service",
                              "address",
                              "zone",
                              "version",
                              "slots",
                              "state",
                              "capacity",
                              "labels",
                              "seq_no"}) {
        auto body = soundBody();
        body.erase(field);
        EXPECT_FALSE(isAccepted(body)) << field;
    }
    for (const auto *field : {"cpu", "mem_mb"}) {
        auto body = soundBody();
        body["capacity"].erase(field);
        EXPECT_FALSE(isAccepted(body)) << field;
    }
}

TEST(Announcement, NamesNoEndpointIfAFieldIsOfAnotherType)
{
    const auto sound = soundBody();
    for (const auto &[field, value] : sound.items()) {
        for (const auto &other : {Utils::Json("x"),
                                  Utils::Json(1.5),
                                  Utils::Json(true),
                                  Utils::Json::array({1}),
                                  Utils::Json::object()}) {
            if (other.type() == value.type())
                continue;
            auto body = sound;
            body[field] = other;
            EXPECT_FALSE(isAccepted(body)) << body.dump();
        }
    }
}

TEST(Announcement, NamesNoEndpointIfAValueIsNotKnown)
{
    for (const auto &[field, value] :
         {std::pair("state", Utils::Json("resting")),
          std::pair("address", Utils::Json("nowhere")),
          std::pair("labels", Utils::Json::array()),
          std::pair("capacity", Utils::Json{{"cpu", 0}, {"mem_mb", 1}})}) {
        auto body = soundBody();
        body[field] = value;
        EXPECT_FALSE(isAccepted(body)) << body.dump();
    }
    EXPECT_FALSE(Platform::decodeAnnouncement("", "i-1"));
    EXPECT_FALSE(Platform::decodeAnnouncement("\xff\xfe{", "i-1"));
    EXPECT_FALSE(Platform::decodeAnnouncement("[]", "i-1"));
}

// Bytes are changed at random. What is accepted names all that an endpoint needs.
TEST(Announcement, ChangedOnesAreRejectedOrComplete)
{
    std::mt19937 random(seed);
    const auto sound = soundBody().dump();
    for (auto count = 0; count < mutations; ++count) {
        auto body = sound;
        for (auto changes = random() % 3; changes < 3; ++changes)
            body[random() % body.size()] = char(random() % 256);
        const auto read = Platform::decodeAnnouncement(body, "i-1");
        if (!read)
            continue;
        const auto &record = read.value().record;
        EXPECT_FALSE(record.pool.empty() || record.address.empty() || record.zone.empty()) << body;
        EXPECT_FALSE(record.labels.empty()) << body;
        EXPECT_GT(record.capacity.cpuMillicores, 0) << body;
        EXPECT_GT(record.capacity.memoryMb, 0) << body;
    }
}

} // namespace
