#pragma once

#include "idletimes.h"
#include "socketfactory.h"

#include "utils/clock.h"
#include "utils/error.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/protocol/TMultiplexedProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace Wire {

/*! \brief The peer that a client connects to. */
struct PeerTarget
{
    std::string id;
    std::string address; //!< HOST:PORT.
};

/*!
    \brief A connection to one service of a peer, opened on demand. Not thread-safe.

    A failed call closes the connection, so that a late reply is not mistaken for the reply to a
    later call. A connection that has been idle for \c longestIdle is replaced.
*/
template <typename Client>
class PeerClient
{
public:
    PeerClient(SocketFactory &sockets,
               PeerTarget target,
               std::string service,
               Utils::Milliseconds longestIdle = longestIdleTimeOfClients)
        : m_sockets(sockets)
        , m_target(std::move(target))
        , m_service(std::move(service))
        , m_longestIdle(longestIdle)
    {}

    auto target() const -> const PeerTarget & { return m_target; }

    /*!
        \brief Calls \a function with the Thrift client and the reply that it must fill in.

        Fails with Unavailable if nothing was sent, with OutcomeUnknown if the peer may have
        received the request.
    */
    template <typename Reply, typename Function>
    auto call(Utils::Milliseconds timeout, Function &&function) -> Utils::Result<Reply>
    {
        const auto now = std::chrono::steady_clock::now();
        const auto idleFor = now - std::exchange(m_usedAt, now);
        if (m_client && idleFor > m_longestIdle)
            close();
        if (!m_client) {
            BOOST_OUTCOME_TRY(connect(timeout));
        }
        // Setting a timeout is a system call, so it is skipped while the timeout stays the same.
        if (const auto milliseconds = int(timeout.count()); m_timeoutMs != milliseconds) {
            m_socket->setRecvTimeout(milliseconds);
            m_socket->setSendTimeout(milliseconds);
            m_timeoutMs = milliseconds;
        }
        try {
            Reply reply;
            function(*m_client, reply);
            return reply;
        } catch (const apache::thrift::TException &exception) {
            close();
            return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                                  "a call to a peer failed",
                                  m_target.id + ": " + exception.what());
        }
    }

    auto close() -> void
    {
        m_client.reset();
        if (!m_socket)
            return;
        try {
            m_socket->close();
        } catch (const apache::thrift::TException &) {
            // The connection is discarded anyway.
        }
        m_socket.reset();
    }

private:
    auto connect(Utils::Milliseconds timeout) -> Utils::Result<void>
    {
        using namespace apache::thrift;
        BOOST_OUTCOME_TRY(address, Utils::parseAddress(m_target.address));
        m_socket = m_sockets.make(m_target.id, address);
        m_timeoutMs = 0;
        m_socket->setConnTimeout(int(timeout.count()));
        m_socket->setNoDelay(true);
        try {
            m_socket->open();
        } catch (const TException &exception) {
            close();
            return Utils::failure(Utils::ErrorType::Unavailable,
                                  "cannot connect to a peer",
                                  m_target.id + ": " + exception.what());
        }
        auto framed = std::make_shared<transport::TFramedTransport>(m_socket);
        auto compact = std::make_shared<protocol::TCompactProtocol>(framed);
        m_client = std::make_unique<Client>(
            std::make_shared<protocol::TMultiplexedProtocol>(compact, m_service));
        return Utils::success();
    }

    SocketFactory &m_sockets;
    PeerTarget m_target;
    std::string m_service;
    Utils::Milliseconds m_longestIdle;
    std::chrono::steady_clock::time_point m_usedAt; //!< Time of the last call.
    std::shared_ptr<apache::thrift::transport::TSocket> m_socket;
    std::unique_ptr<Client> m_client;
    int m_timeoutMs = 0; //!< Timeout that is set on the socket; 0 if none is set.
};

} // namespace Wire
