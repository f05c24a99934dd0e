#include "settings/settings.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using Utils::Json;

auto digest() -> std::string
{
    return std::string(64, 'a');
}

auto peer(const std::string &id, const std::string &zone, int port, bool voter) -> Json
{
    return {{"id", id},
            {"zone", zone},
            {"address", "127.0.0.1:" + std::to_string(port)},
            {"voter", voter}};
}

auto validDocument() -> Json
{
    return {{"id", "e1"},
            {"zone", "z1"},
            {"data_folder", "data"},
            {"peers",
             {peer("e1", "z1", 7403, true),
              peer("e2", "z2", 7413, true),
              peer("e3", "z3", 7423, true),
              peer("e4", "z3", 7433, false)}},
            {"operators", {{{"name", "ana"}, {"token_sha256", digest()}}}}};
}

struct InvalidCase
{
    const char *name;
    const char *patch; // JSON merge patch (RFC 7396) that makes the valid document invalid.
    std::vector<std::string> errors;
};

class InvalidSettings : public testing::TestWithParam<InvalidCase>
{};

TEST_P(InvalidSettings, areReportedWithTheirPaths)
{
    auto document = validDocument();
    document.merge_patch(Json::parse(GetParam().patch));
    const auto settings = Settings::parseSettings(document.dump());
    ASSERT_FALSE(settings);
    std::string expected;
    for (const auto &error : GetParam().errors)
        expected += (expected.empty() ? "" : "\n") + error;
    EXPECT_EQ(settings.error().details, expected);
}

const std::vector<InvalidCase> invalidCases{
    {"MissingId", R"({"id": null})", {"id: is missing"}},
    {"EmptyId", R"({"id": ""})", {"id: must not be empty", "peers: no peer has this process's id"}},
    {"SeveralAtOnce",
     R"({"zone": null, "colour": 1, "limits": {"body_bytes": 3}, "timing": {"soak_s": "x"}})",
     {"zone: is missing",
      "timing.soak_s: must be a whole number",
      "limits.body_bytes: must lie between 1024 and 1073741824",
      "colour: is not a known key"}},
    {"UnknownNestedKey", R"({"log": {"colour": 1}})", {"log.colour: is not a known key"}},
    {"WrongType", R"({"listen": 5})", {"listen: must be an object"}},
    {"NegativeNumber",
     R"({"timing": {"heartbeat_ms": -1}})",
     {"timing.heartbeat_ms: must lie between 1 and 3600000"}},
    {"IdNotAmongPeers", R"({"id": "e9"})", {"peers: no peer has this process's id"}},
    {"OtherZone", R"({"zone": "z2"})", {"peers[0].zone: differs from this process's zone"}},
    {"VoterWithoutFolder", R"({"data_folder": ""})", {"data_folder: a voter needs a data folder"}},
    {"AloneWithoutFolder",
     R"({"peers": null, "data_folder": null})",
     {"data_folder: a voter needs a data folder"}},
    {"BadAddress",
     R"({"listen": {"callers": "7400"}})",
     {"listen.callers: an address must be HOST:PORT"}},
    {"HostName",
     R"({"listen": {"peers": "example:7403"}})",
     {"listen.peers: the host must be an IPv4 number"}},
    {"PortTooLarge",
     R"({"platform": {"address": "10.0.0.1:70000"}})",
     {"platform.address: the port must lie between 0 and 65535"}},
    {"SameListenerTwice",
     R"({"listen": {"endpoints": "127.0.0.1:7400"}})",
     {"listen.endpoints: another listener has the same address"}},
    {"BadDigest",
     R"({"operators": [{"name": "ana", "token_sha256": "secret"}]})",
     {"operators[0].token_sha256: must be 64 lower-case hexadecimal digits"}},
    {"NoTokensOutsideLoopback",
     R"({"operators": null, "listen": {"operators": "10.0.0.1:7402"}})",
     {"operators: a listener for operators outside loopback needs operators with tokens"}},
    {"UnknownLogLevel",
     R"({"log": {"level": "loud"}})",
     {"log.level: must be one of debug, info, warning, error"}},
    {"SlowHeartbeat",
     R"({"timing": {"heartbeat_ms": 300}})",
     {"timing.heartbeat_ms: must be at most a third of timing.election_timeout_ms"}},
    {"SlowAnnouncements",
     R"({"timing": {"announce_interval_ms": 2000}})",
     {"timing.announce_interval_ms: must be at most half of timing.routing_lease_ms"}},
};

INSTANTIATE_TEST_SUITE_P(Table,
                         InvalidSettings,
                         testing::ValuesIn(invalidCases),
                         [](const auto &info) { return info.param.name; });

TEST(SettingsPeers, mustBeThreeOrFiveVotersWithTheirOwnIdsAndAddresses)
{
    auto document = validDocument();
    document["peers"][1]["voter"] = false;
    document["peers"][3] = document["peers"][2];
    document["peers"][3]["voter"] = false;
    const auto settings = Settings::parseSettings(document.dump());
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().details,
              "peers[3].id: another peer has the same id\n"
              "peers[3].address: another peer has the same address\n"
              "peers: 3 or 5 peers must be voters");
}

TEST(Settings, acceptsAValidDocumentWithComments)
{
    const auto settings = Settings::parseSettings("// one process\n" + validDocument().dump());
    ASSERT_TRUE(settings) << settings.error().details;
    EXPECT_TRUE(settings.value().isVoter());
    EXPECT_EQ(settings.value().peers.size(), 4U);
}

TEST(Settings, rejectsTextThatIsNotJson)
{
    EXPECT_FALSE(Settings::parseSettings("{"));
}

TEST(Settings, listsKeysOfNestedObjectsAndArrays)
{
    const auto keys = Settings::settingsKeys();
    for (const auto *key : {"id", "peers[].voter", "operators[].token_sha256", "limits.body_bytes"})
        EXPECT_NE(std::ranges::find(keys, key), keys.end()) << key;
}

} // namespace
