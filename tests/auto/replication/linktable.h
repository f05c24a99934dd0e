#pragma once

#include "wire/socketfactory.h"

#include <thrift/transport/TSocket.h>

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace Replication::Test {

/*! \brief Set of directed links between processes that silently lose all bytes. */
class LinkTable
{
public:
    auto cut(const std::string &from, const std::string &to) -> void;
    auto cutBoth(const std::string &left, const std::string &right) -> void;
    auto heal() -> void;
    auto isCut(const std::string &from, const std::string &to) const -> bool;
    /*! \brief Waits until the link is not cut, at most \a timeoutMs. */
    auto waitUntilHealed(const std::string &from, const std::string &to, int timeoutMs) -> void;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<std::pair<std::string, std::string>> m_cut;
};

/*! \brief Creates the sockets of one process, whose bytes are lost on links cut in a table. */
class LossySocketFactory final : public Wire::SocketFactory
{
public:
    LossySocketFactory(LinkTable &links, std::string processId);
    auto make(const std::string &peerId, const Utils::Address &address)
        -> std::shared_ptr<apache::thrift::transport::TSocket> override;

private:
    LinkTable &m_links;
    std::string m_processId;
};

} // namespace Replication::Test
