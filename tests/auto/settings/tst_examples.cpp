#include "settings/settings.h"

#include "fleet/contracttypes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace {

namespace fs = std::filesystem;

auto filesIn(const fs::path &folder) -> std::vector<fs::path>
{
    std::vector<fs::path> files;
    for (const auto &entry : fs::directory_iterator(folder))
        files.push_back(entry.path());
    std::ranges::sort(files);
    return files;
}

template <typename T>
auto load(const fs::path &path) -> Utils::Result<T>
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_OUTCOME_TRY(json, Utils::parseJsonText(text.str(), true));
    return Utils::fromJson<T>(json);
}

struct Deployment
{
    const char *folder;
    std::size_t processes;
    std::size_t zones;
    const char *sparePool; // Empty if the deployment has no spare pool.
};

auto operator<<(std::ostream &stream, const Deployment &deployment) -> std::ostream &
{
    return stream << deployment.folder;
}

class Examples : public testing::TestWithParam<Deployment>
{
protected:
    auto folder() const -> fs::path { return fs::path(EXAMPLES_FOLDER) / GetParam().folder; }
};

TEST_P(Examples, processSettingsAreValidAndListTheSamePeers)
{
    std::set<std::string> ids;
    std::set<std::string> zones;
    std::set<std::string> addresses;
    std::string firstPeers;
    for (const auto &path : filesIn(folder() / "processes")) {
        const auto loaded = Settings::loadSettings(path.string());
        ASSERT_TRUE(loaded) << path << '\n' << loaded.error().details;
        const auto &settings = loaded.value();
        EXPECT_EQ(settings.id, path.stem().string());
        ids.insert(settings.id);
        zones.insert(settings.zone);
        const auto &listen = settings.listen;
        for (const auto &address :
             {listen.callers, listen.endpoints, listen.operators, listen.peers})
            EXPECT_TRUE(addresses.insert(address).second) << path << ' ' << address;
        std::string peers;
        for (const auto &peer : settings.peers)
            peers += peer.id + peer.zone + peer.address + (peer.voter ? "+" : "-");
        firstPeers = firstPeers.empty() ? peers : firstPeers;
        EXPECT_EQ(peers, firstPeers) << path;
        const auto own = std::ranges::find(settings.peers, settings.id, &Settings::Peer::id);
        EXPECT_EQ(own->address, listen.peers) << path;
    }
    EXPECT_EQ(ids.size(), GetParam().processes);
    EXPECT_EQ(zones.size(), GetParam().zones);
}

TEST_P(Examples, votersAreInThreeDifferentZones)
{
    const auto loaded = Settings::loadSettings(filesIn(folder() / "processes").front().string());
    ASSERT_TRUE(loaded);
    std::set<std::string> zones;
    for (const auto &peer : loaded.value().peers) {
        if (!peer.voter)
            continue;
        EXPECT_TRUE(zones.insert(peer.zone).second) << peer.id;
    }
    EXPECT_EQ(zones.size(), 3U);
}

TEST_P(Examples, contractServicesMatchThePoolFiles)
{
    const auto contract = load<Fleet::Contract>(folder() / "contract.json");
    ASSERT_TRUE(contract) << contract.error().details;
    std::set<std::string> pools;
    for (const auto &terms : contract.value().services)
        pools.insert(terms.pool);
    std::string spare;
    for (const auto &path : filesIn(folder() / "pools")) {
        const auto pool = load<Fleet::Pool>(path);
        ASSERT_TRUE(pool) << path << '\n' << pool.error().details;
        EXPECT_EQ(pool.value().pool, path.stem().string());
        EXPECT_EQ(pools.erase(pool.value().pool), 1U) << path;
        if (pool.value().spare)
            spare += pool.value().pool;
    }
    EXPECT_TRUE(pools.empty());
    EXPECT_EQ(spare, GetParam().sparePool);
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         Examples,
                         testing::Values(Deployment{"camara", 8, 4, "member-records"},
                                         Deployment{"kerbside", 9, 3, "internal-support"},
                                         Deployment{"demo", 3, 3, ""}),
                         [](const auto &info) { return std::string(info.param.folder); });

} // namespace
