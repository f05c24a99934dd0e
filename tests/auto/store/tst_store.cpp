#include "faultyfilesystem.h"

#include "store/segmentlog.h"
#include "store/snapshotstore.h"
#include "store/votefile.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace Store::Test {
namespace {

using Utils::ErrorType;

class StoreTest : public testing::Test
{
protected:
    StoreTest()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "tst_store.XXXXXX";
        folder = ::mkdtemp(pattern.data());
    }
    ~StoreTest() override { std::filesystem::remove_all(folder); }

    auto path(const std::string &name) const -> std::string { return folder + '/' + name; }
    auto segment(int number = 1) const -> std::string
    {
        return path("log-00000000000" + std::to_string(number));
    }
    auto write(const std::string &file, const std::string &bytes) const -> void
    {
        std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
    }
    auto read(const std::string &file) -> std::string { return files.read(file).value(); }
    auto options() const -> SegmentLogOptions { return {folder, segmentBytes}; }
    auto openLog(std::uint64_t snapshotRevision = 0) -> Utils::Result<std::vector<LogRecord>>
    {
        SegmentLog log(files, options());
        return log.open(snapshotRevision);
    }
    auto record(std::uint64_t revision, std::uint64_t term = 1) const -> LogRecord
    {
        return {revision, term, 0, "payload " + std::to_string(revision)};
    }
    // Writes the revisions up to \a last, each in a batch of its own.
    auto fill(std::uint64_t last) -> void
    {
        SegmentLog log(files, options());
        ASSERT_TRUE(log.open(0));
        for (std::uint64_t revision = 1; revision <= last; ++revision)
            ASSERT_TRUE(log.append(std::vector{record(revision)}));
    }

    FaultyFileSystem files;
    std::string folder;
    std::uint64_t segmentBytes = 1024 * 1024;
};

TEST_F(StoreTest, BatchIsSyncedOnce)
{
    SegmentLog log(files, options());
    ASSERT_TRUE(log.open(0));
    files.syncs = 0;
    ASSERT_TRUE(log.append(std::vector{record(1), record(2), record(3)}));
    EXPECT_EQ(files.syncs, 1);
    EXPECT_EQ(openLog().value().size(), 3U);
}

TEST_F(StoreTest, LaterBatchReplacesASuffix)
{
    fill(5);
    SegmentLog log(files, options());
    ASSERT_TRUE(log.open(0));
    ASSERT_TRUE(log.append(std::vector{record(3, 2)}));
    const auto records = openLog().value();
    ASSERT_EQ(records.size(), 3U);
    EXPECT_EQ(records.back().term, 2U);
}

TEST_F(StoreTest, TornLastBatchIsTruncatedWhereverItEnds)
{
    fill(2);
    const auto two = read(segment());
    fill(0);
    std::filesystem::remove(segment());
    fill(1);
    const auto one = read(segment());
    for (auto size = one.size(); size < two.size(); ++size) {
        write(segment(), two.substr(0, size));
        const auto records = openLog();
        ASSERT_TRUE(records) << size;
        EXPECT_EQ(records.value().size(), 1U) << size;
        EXPECT_EQ(read(segment()).size(), one.size()) << size;
    }
}

TEST_F(StoreTest, FlippedBitIsReportedWithFileAndOffset)
{
    fill(3);
    const auto whole = read(segment());
    const auto batchBytes = whole.size() / 3;
    for (std::size_t at = 0; at < whole.size(); ++at) {
        auto damaged = whole;
        damaged[at] = char(damaged[at] ^ 0x10);
        write(segment(), damaged);
        const auto records = openLog();
        ASSERT_FALSE(records) << at;
        EXPECT_EQ(records.error().type, ErrorType::Corruption) << at;
        const auto offset = std::to_string(at / batchBytes * batchBytes);
        EXPECT_EQ(records.error().details, segment() + " at offset " + offset) << at;
    }
}

TEST_F(StoreTest, TornBatchBeforeTheLastSegmentIsCorruption)
{
    segmentBytes = 1;
    fill(3);
    write(segment(1), read(segment(1)).substr(0, 10));
    ASSERT_FALSE(openLog());
    EXPECT_EQ(openLog().error().type, ErrorType::Corruption);
}

TEST_F(StoreTest, MissingSegmentsNeedASnapshot)
{
    segmentBytes = 1;
    fill(5);
    SegmentLog log(files, options());
    ASSERT_TRUE(log.open(0));
    ASSERT_TRUE(log.removeThrough(3));
    EXPECT_FALSE(std::filesystem::exists(segment(3)));
    const auto missing = openLog(0);
    ASSERT_FALSE(missing);
    EXPECT_EQ(missing.error().type, ErrorType::Corruption);
    EXPECT_FALSE(openLog(2));
    EXPECT_EQ(openLog(3).value().size(), 2U);
    // A snapshot newer than the last entry covers the whole log.
    EXPECT_TRUE(openLog(9));
}

TEST_F(StoreTest, LogContinuesAfterANewerSnapshot)
{
    fill(2);
    SegmentLog log(files, options());
    ASSERT_TRUE(log.open(9));
    ASSERT_TRUE(log.reset());
    ASSERT_TRUE(log.append(std::vector{record(10)}));
    ASSERT_EQ(openLog(9).value().size(), 1U);
    EXPECT_EQ(openLog(9).value().front().revision, 10U);
}

TEST_F(StoreTest, FailedSyncIsNotRetried)
{
    SegmentLog log(files, options());
    ASSERT_TRUE(log.open(0));
    files.syncFails = true;
    EXPECT_EQ(log.append(std::vector{record(1)}).error().type, ErrorType::IoFailure);
    files.syncFails = false;
    files.syncs = 0;
    EXPECT_FALSE(log.append(std::vector{record(1)}));
    EXPECT_EQ(files.syncs, 0);
}

TEST_F(StoreTest, WriteToAFullDiskLeavesTheLogUnchangedAndCanBeRetried)
{
    {
        SegmentLog log(files, options());
        ASSERT_TRUE(log.open(0));
        ASSERT_TRUE(log.append(std::vector{record(1)}));
        files.writableBytes = 20;
        files.syncs = 0;
        EXPECT_TRUE(isNothingWritten(log.append(std::vector{record(2)}).error()));
        EXPECT_EQ(files.syncs, 0);
        files.writableBytes = UINT64_MAX;
        EXPECT_TRUE(log.append(std::vector{record(2)}));
    }
    EXPECT_EQ(openLog().value().size(), 2U);
}

TEST_F(StoreTest, WriteThatCannotBeUndoneIsNotRetried)
{
    SegmentLog log(files, options());
    ASSERT_TRUE(log.open(0));
    files.writableBytes = 20;
    files.truncateFails = true;
    const auto failed = log.append(std::vector{record(1)});
    ASSERT_FALSE(failed);
    EXPECT_FALSE(isNothingWritten(failed.error()));
    files.writableBytes = UINT64_MAX;
    files.truncateFails = false;
    EXPECT_FALSE(log.append(std::vector{record(1)}));
}

TEST_F(StoreTest, VoteThatCannotBeWrittenLeavesTheOldOne)
{
    VoteFile votes(files, folder);
    ASSERT_TRUE(votes.save({3, "a"}));
    files.writableBytes = 4;
    EXPECT_TRUE(isNothingWritten(votes.save({4, "b"}).error()));
    files.writableBytes = UINT64_MAX;
    EXPECT_EQ(votes.load().value().term, 3U);
    files.renameFails = true;
    EXPECT_FALSE(isNothingWritten(votes.save({4, "b"}).error()));
}

TEST_F(StoreTest, ShortWriteIsNotReadAtTheNextStart)
{
    fill(1);
    SegmentLog log(files, options());
    ASSERT_TRUE(log.open(0));
    files.writableBytes = 30;
    EXPECT_FALSE(log.append(std::vector{record(2)}));
    files.writableBytes = UINT64_MAX;
    EXPECT_EQ(openLog().value().size(), 1U);
}

TEST_F(StoreTest, SnapshotIsWrittenAtomically)
{
    SnapshotStore snapshots(files, folder);
    EXPECT_FALSE(snapshots.load().value());
    ASSERT_TRUE(snapshots.save({5, 2, "voters", "state"}));
    files.renameFails = true;
    EXPECT_FALSE(snapshots.save({9, 2, "voters", "later"}));
    files.renameFails = false;
    EXPECT_EQ(snapshots.load().value()->revision, 5U);
    ASSERT_TRUE(removeTemporaryFiles(files, folder));
    EXPECT_EQ(files.list(folder).value().size(), 1U);
    ASSERT_TRUE(snapshots.save({9, 3, "voters", "later"}));
    EXPECT_EQ(snapshots.load().value()->state, "later");
    EXPECT_EQ(files.list(folder).value().size(), 1U);
}

TEST_F(StoreTest, DamagedSnapshotIsReported)
{
    SnapshotStore snapshots(files, folder);
    ASSERT_TRUE(snapshots.save({5, 2, "voters", "state"}));
    const auto file = path(files.list(folder).value().front());
    const auto whole = read(file);
    for (std::size_t at = 0; at < whole.size(); ++at) {
        auto damaged = whole;
        damaged[at] = char(damaged[at] ^ 1);
        write(file, damaged);
        ASSERT_FALSE(snapshots.load()) << at;
        EXPECT_EQ(snapshots.load().error().type, ErrorType::Corruption);
        write(file, whole.substr(0, at));
        EXPECT_FALSE(snapshots.load()) << at;
    }
}

TEST_F(StoreTest, VoteIsDurableAndDamageIsReported)
{
    VoteFile votes(files, folder);
    EXPECT_EQ(votes.load().value().term, 0U);
    ASSERT_TRUE(votes.save({7, "v2"}));
    EXPECT_EQ(votes.load().value().term, 7U);
    EXPECT_EQ(votes.load().value().candidate, "v2");
    const auto whole = read(path("vote"));
    for (std::size_t at = 0; at < whole.size(); ++at) {
        auto damaged = whole;
        damaged[at] = char(damaged[at] ^ 1);
        write(path("vote"), damaged);
        ASSERT_FALSE(votes.load()) << at;
        EXPECT_EQ(votes.load().error().type, ErrorType::Corruption);
    }
}

} // namespace
} // namespace Store::Test
