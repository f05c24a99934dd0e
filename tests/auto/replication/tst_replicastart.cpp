#include "cluster.h"

#include "ReplicationService.h"
#include "store/votefile.h"

#include <gtest/gtest.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/TApplicationException.h>
#include <thrift/transport/TBufferTransports.h>

#include <unistd.h>

namespace Replication::Test {
namespace {

using apache::thrift::TApplicationException;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::int64_t term = 7;

// The log of the voter v1 of three, whose disk holds a vote for v2, and a peer that calls it.
class ReplicaStartTest : public testing::Test
{
protected:
    ReplicaStartTest()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "tst_replicastart.XXXXXX";
        m_folder = ::mkdtemp(pattern.data());
        EXPECT_TRUE(m_voteFile.emplace(Store::posixFileSystem(), m_folder).save({term, "v2"}));
        ReplicaOptions options;
        options.processId = "v1";
        options.dataFolder = m_folder;
        options.voters = {
            {"v1", "z1", "127.0.0.1:1"}, {"v2", "z2", "127.0.0.1:2"}, {"v3", "z3", "127.0.0.1:3"}};
        m_log.emplace(options, m_machine, m_clock);
    }
    ~ReplicaStartTest() override
    {
        m_log.reset();
        std::filesystem::remove_all(m_folder);
    }
    auto requestVote() -> Wire::VoteReply
    {
        Wire::VoteRequest request;
        request.groupId = "control";
        request.candidateId = "v3";
        request.targetId = "v1";
        request.term = term;
        m_client.send_requestVote(request);
        process();
        Wire::VoteReply reply;
        m_client.recv_requestVote(reply);
        return reply;
    }
    auto appendEntry() -> Wire::AppendReply
    {
        Wire::AppendRequest request;
        request.groupId = "control";
        request.leaderId = "v2";
        request.targetId = "v1";
        request.term = term;
        auto &entry = request.entries.emplace_back();
        entry.revision = 1;
        entry.term = term;
        m_client.send_appendEntries(request);
        process();
        Wire::AppendReply reply;
        m_client.recv_appendEntries(reply);
        return reply;
    }

    std::string m_folder;
    std::optional<Store::VoteFile> m_voteFile;
    Utils::SystemClock m_clock;
    PayloadListMachine m_machine;
    std::optional<ReplicaLog> m_log;

private:
    auto process() -> void { m_log->processor()->process(m_requestProtocol, m_replyProtocol, {}); }

    std::shared_ptr<TMemoryBuffer> m_requests = std::make_shared<TMemoryBuffer>();
    std::shared_ptr<TMemoryBuffer> m_replies = std::make_shared<TMemoryBuffer>();
    std::shared_ptr<TCompactProtocol> m_requestProtocol =
        std::make_shared<TCompactProtocol>(m_requests);
    std::shared_ptr<TCompactProtocol> m_replyProtocol =
        std::make_shared<TCompactProtocol>(m_replies);
    Wire::ReplicationServiceClient m_client{m_replyProtocol, m_requestProtocol};
};

TEST_F(ReplicaStartTest, DoesNotVoteTwiceInATermBeforeItsVoteIsLoaded)
{
    EXPECT_THROW(requestVote(), TApplicationException);
    EXPECT_EQ(m_voteFile->load().value().candidate, "v2");
    ASSERT_TRUE(m_log->start());
    EXPECT_FALSE(requestVote().granted);
    EXPECT_EQ(m_voteFile->load().value().candidate, "v2");
}

// Without this check, the process crashed, since its log was not open.
TEST_F(ReplicaStartTest, AppendsNoEntriesBeforeItsLogIsLoaded)
{
    EXPECT_THROW(appendEntry(), TApplicationException);
    ASSERT_TRUE(m_log->start());
    EXPECT_TRUE(appendEntry().accepted);
}

} // namespace
} // namespace Replication::Test
