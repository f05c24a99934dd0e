#include "fleet/auditfile.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace {

constexpr Fleet::Revision endOfRevisions = 1'000'000;

class AuditFile : public testing::Test
{
protected:
    AuditFile()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "audit-XXXXXX").string();
        folder = ::mkdtemp(pattern.data());
    }
    ~AuditFile() override { std::filesystem::remove_all(folder); }

    auto putPools(int count) -> void
    {
        for (auto number = 0; number < count; ++number) {
            Fleet::Command command;
            command.id = "command-" + std::to_string(replica.revision());
            command.actor = "ana";
            command.body = Fleet::PutPool{{"pool-" + std::to_string(number), false, {}, 0}};
            replica.apply({replica.revision() + 1, 1, Fleet::encodeCommand(command)});
        }
    }
    auto recordsIn(const Fleet::AuditFile &file) const -> std::size_t
    {
        const auto records = file.read(0, endOfRevisions);
        return records ? records.value().size() : 0;
    }

    std::string folder;
    Fleet::Replica replica;
};

} // namespace

TEST_F(AuditFile, KeepsRecordsThatTheStateDropped)
{
    Fleet::AuditFile file(Store::posixFileSystem(), folder);
    const auto half = int(Fleet::State::maximumAuditRecords / 2) + 10;
    for (auto round = 0; round < 2; ++round) {
        putPools(half);
        ASSERT_TRUE(file.update(replica));
    }
    EXPECT_EQ(recordsIn(file), std::size_t(2 * half));
    EXPECT_EQ(file.read(3, 5).value().size(), 2);
}

TEST_F(AuditFile, ContinuesAfterARestartWithAnIncompleteLine)
{
    putPools(3);
    ASSERT_TRUE(Fleet::AuditFile(Store::posixFileSystem(), folder).update(replica));
    std::ofstream(folder + "/audit.jsonl", std::ios::app) << R"({"revision":4,"ti)";
    putPools(2);
    Fleet::AuditFile restarted(Store::posixFileSystem(), folder);
    ASSERT_TRUE(restarted.update(replica));
    ASSERT_TRUE(restarted.update(replica));
    EXPECT_EQ(recordsIn(restarted), 5);
}

TEST_F(AuditFile, IsCreatedAgainAfterItWasMovedAway)
{
    Fleet::AuditFile file(Store::posixFileSystem(), folder);
    putPools(2);
    ASSERT_TRUE(file.update(replica));
    std::filesystem::rename(folder + "/audit.jsonl", folder + "/audit-old.jsonl");
    putPools(1);
    ASSERT_TRUE(file.update(replica));
    EXPECT_EQ(recordsIn(file), 1);
}
