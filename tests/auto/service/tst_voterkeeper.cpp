#include "service/voterkeeper.h"

#include <gtest/gtest.h>

#include <array>

namespace {

using Service::Member;
using Service::VoterContact;
using Utils::Milliseconds;

auto voter(const std::string &id, const std::string &address, std::int64_t silenceMs)
    -> VoterContact
{
    return {{id, "z", address}, Milliseconds(silenceMs)};
}

auto member(const std::string &id, const std::string &address) -> Member
{
    return {{id, "z", address}, {}};
}

TEST(VoterKeeper, DoesNotChangeAHealthyGroup)
{
    const std::array voters{voter("a", "1", 0), voter("b", "2", 100), voter("c", "3", 100)};
    const std::array members{member("b", "2"), member("c", "3"), member("d", "4")};
    EXPECT_FALSE(Service::nextVoterChange(voters, members, 3));
}

TEST(VoterKeeper, ReplacesTheOldIdOfAProcessThatLostItsDisk)
{
    const std::array voters{voter("a", "1", 0), voter("b", "2", 100), voter("c", "3", 100)};
    const std::array members{member("d", "4"), member("c#9", "3")};
    const auto change = Service::nextVoterChange(voters, members, 3);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->removedId, "c");
    EXPECT_EQ(change->added.id, "c#9");
}

TEST(VoterKeeper, ReplacesASilentVoterIfAnotherProcessIsAvailable)
{
    const std::array voters{voter("a", "1", 0), voter("b", "2", 9000), voter("c", "3", 100)};
    EXPECT_FALSE(Service::nextVoterChange(voters, {}, 3));
    const std::array members{member("d", "4")};
    const auto change = Service::nextVoterChange(voters, members, 3);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->removedId, "b");
}

TEST(VoterKeeper, GrowsTheGroupToTheWantedSize)
{
    const std::array voters{voter("a", "1", 0), voter("b", "2", 100), voter("c", "3", 100)};
    const std::array members{member("d", "4")};
    const auto change = Service::nextVoterChange(voters, members, 5);
    ASSERT_TRUE(change);
    EXPECT_TRUE(change->removedId.empty());
    EXPECT_EQ(change->added.id, "d");
}

TEST(VoterKeeper, ShrinksTheGroupAfterAnUnfinishedReplacement)
{
    const std::array voters{
        voter("a", "1", 0), voter("b", "2", 100), voter("c", "3", 400), voter("c#9", "3", 100)};
    const std::array members{member("b", "2"), member("c#9", "3"), member("d", "4")};
    const auto change = Service::nextVoterChange(voters, members, 3);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->removedId, "c");
    // The added process is a voter already, so that the change only removes one.
    EXPECT_EQ(change->added.id, "a");
    EXPECT_TRUE(Service::nextVoterChange(voters, {}, 3));
}

} // namespace
