// Connections between processes that are idle, or silent for good.
#include "wire/peerclient.h"
#include "wire/peerserver.h"

#include "MembershipService.h"

#include <gtest/gtest.h>

#include <vector>

namespace {

using Client = Wire::PeerClient<Wire::MembershipServiceClient>;

constexpr auto service = "membership";
constexpr Utils::Milliseconds shortTime{500};
constexpr Utils::Milliseconds longTime{20'000};
constexpr int places = 2;

class Membership final : public Wire::MembershipServiceIf
{
public:
    auto update(Wire::DirectoryReply &, const Wire::DirectoryUpdate &) -> void override {}
};

/*! \brief Keeps the sockets that it has made. */
class RecordingFactory final : public Wire::SocketFactory
{
public:
    auto make(const std::string &peerId, const Utils::Address &address)
        -> std::shared_ptr<apache::thrift::transport::TSocket> override
    {
        sockets.push_back(Wire::tcpSocketFactory().make(peerId, address));
        return sockets.back();
    }

    std::vector<std::shared_ptr<apache::thrift::transport::TSocket>> sockets;
};

/*! \brief A server with few places, which closes connections after a short time. */
class IdleConnections : public testing::Test
{
protected:
    IdleConnections()
    {
        m_server.addService(
            service,
            std::make_shared<Wire::MembershipServiceProcessor>(std::make_shared<Membership>()));
        EXPECT_TRUE(m_server.start());
    }
    ~IdleConnections() override { m_server.stop(); }
    auto target() const -> Wire::PeerTarget
    {
        return {"server", "127.0.0.1:" + std::to_string(m_server.port())};
    }
    static auto call(Client &client) -> bool
    {
        const auto reply = client.call<Wire::DirectoryReply>(
            longTime, [](auto &remote, auto &answer) { remote.update(answer, {}); });
        return bool(reply);
    }

    Wire::PeerServer m_server{{"127.0.0.1:0", places, shortTime}};
    RecordingFactory m_sockets;
};

// Guards against LOST: connections whose other end was silent kept all places, so that no leader could be elected.
TEST_F(IdleConnections, SilentOnesKeepNoPlaces)
{
    for (auto index = 0; index < places; ++index)
        m_sockets.make("silent", {"127.0.0.1", m_server.port()})->open();
    Client client(m_sockets, target(), service);
    EXPECT_TRUE(call(client));
}

TEST_F(IdleConnections, ClientReplacesOneBeforeItsServerClosesIt)
{
    Client client(m_sockets, target(), service, Utils::Milliseconds(0));
    ASSERT_TRUE(call(client));
    // Returns once the server has closed the connection.
    EXPECT_FALSE(m_sockets.sockets.front()->peek());
    EXPECT_TRUE(call(client));
    EXPECT_EQ(m_sockets.sockets.size(), 2U);
}

TEST_F(IdleConnections, ClientKeepsOneThatIsInUse)
{
    Client client(m_sockets, target(), service, longTime);
    for (auto count = 0; count < 2; ++count)
        ASSERT_TRUE(call(client));
    EXPECT_EQ(m_sockets.sockets.size(), 1U);
}

} // namespace
