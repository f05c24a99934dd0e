#include "linktable.h"

namespace Replication::Test {
namespace {

using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

class LossySocket final : public TSocket
{
public:
    LossySocket(LinkTable &links, std::string self, std::string peer, const Utils::Address &address)
        : TSocket(address.host, address.port)
        , m_links(links)
        , m_self(std::move(self))
        , m_peer(std::move(peer))
    {}

    auto open() -> void override
    {
        if (m_links.isCut(m_self, m_peer) || m_links.isCut(m_peer, m_self)) {
            m_links.waitUntilHealed(m_self, m_peer, connTimeout_);
            throw TTransportException(TTransportException::TIMED_OUT, "the link is cut");
        }
        TSocket::open();
    }

    auto read(std::uint8_t *buffer, std::uint32_t length) -> std::uint32_t override
    {
        if (m_lost || m_links.isCut(m_peer, m_self)) {
            m_links.waitUntilHealed(m_peer, m_self, recvTimeout_);
            throw TTransportException(TTransportException::TIMED_OUT, "the link is cut");
        }
        return TSocket::read(buffer, length);
    }

    auto write(const std::uint8_t *buffer, std::uint32_t length) -> void override
    {
        m_lost = m_lost || m_links.isCut(m_self, m_peer);
        if (!m_lost)
            TSocket::write(buffer, length);
    }

private:
    LinkTable &m_links;
    std::string m_self;
    std::string m_peer;
    bool m_lost = false;
};

} // namespace

auto LinkTable::cut(const std::string &from, const std::string &to) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_cut.emplace(from, to);
}

auto LinkTable::cutBoth(const std::string &left, const std::string &right) -> void
{
    cut(left, right);
    cut(right, left);
}

auto LinkTable::heal() -> void
{
    const std::scoped_lock lock(m_mutex);
    m_cut.clear();
    m_changed.notify_all();
}

auto LinkTable::isCut(const std::string &from, const std::string &to) const -> bool
{
    const std::scoped_lock lock(m_mutex);
    return m_cut.contains({from, to});
}

auto LinkTable::waitUntilHealed(const std::string &from, const std::string &to, int timeoutMs)
    -> void
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(timeoutMs), [&] {
        return !m_cut.contains({from, to});
    });
}

LossySocketFactory::LossySocketFactory(LinkTable &links, std::string processId)
    : m_links(links)
    , m_processId(std::move(processId))
{}

auto LossySocketFactory::make(const std::string &peerId, const Utils::Address &address)
    -> std::shared_ptr<TSocket>
{
    return std::make_shared<LossySocket>(m_links, m_processId, peerId, address);
}

} // namespace Replication::Test
