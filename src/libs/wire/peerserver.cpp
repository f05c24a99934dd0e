#include "peerserver.h"

#include "utils/address.h"
#include "utils/bytebudget.h"
#include "utils/log.h"
#include "utils/taskarena.h"

#include <thrift/processor/TMultiplexedProcessor.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TServerFramework.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <algorithm>
#include <array>
#include <set>
#include <thread>

namespace Wire {
namespace {

using apache::thrift::server::TConnectedClient;

// Ignores a repeated listen(), since both PeerServer::start() and the library's serve() call it.
class ListeningSocket final : public apache::thrift::transport::TServerSocket
{
public:
    using TServerSocket::TServerSocket;

    auto listen() -> void override
    {
        if (!isOpen())
            TServerSocket::listen();
    }
};

// Lists in messages hold fewer items. Memory for the items that a list claims to hold is taken
// before they are read.
constexpr std::int32_t maximumListItems = 131'072;
// A smaller buffer is kept for the next frame of its connection.
constexpr std::uint32_t keptBufferBytes = 64 * 1024;

// Reads frames whose sizes count against a budget that all connections share.
class BudgetedTransport final : public apache::thrift::transport::TFramedTransport
{
public:
    BudgetedTransport(const std::shared_ptr<apache::thrift::transport::TTransport> &transport,
                      std::shared_ptr<Utils::ByteBudget> budget)
        : TFramedTransport(transport)
        , m_held(std::move(budget))
    {}

protected:
    auto readFrame() -> bool override
    {
        releaseBuffer();
        std::array<std::uint8_t, sizeof(std::uint32_t)> length{};
        const auto first = transport_->read(length.data(), std::uint32_t(length.size()));
        if (first == 0)
            return false;
        transport_->readAll(length.data() + first, std::uint32_t(length.size()) - first);
        const auto bytes = std::uint32_t(length[0]) << 24 | std::uint32_t(length[1]) << 16
                           | std::uint32_t(length[2]) << 8 | std::uint32_t(length[3]);
        makeBuffer(bytes);
        transport_->readAll(rBuf_.get(), bytes);
        setReadBuffer(rBuf_.get(), bytes);
        return true;
    }

private:
    auto releaseBuffer() -> void
    {
        if (rBufSize_ <= keptBufferBytes)
            return;
        setReadBuffer(nullptr, 0);
        rBuf_.reset();
        rBufSize_ = 0;
        m_held.resize(0);
    }
    auto makeBuffer(std::uint32_t bytes) -> void
    {
        using apache::thrift::transport::TTransportException;
        if (bytes > maxFrameSize_ || !m_held.resize(std::max(bytes, rBufSize_))) {
            Utils::Log::warning("wire",
                                "closed the connection of a peer whose message does not fit",
                                {{"bytes", bytes}});
            throw TTransportException(TTransportException::CORRUPTED_DATA,
                                      "the frame is too large");
        }
        if (bytes <= rBufSize_)
            return;
        rBuf_.reset(new std::uint8_t[bytes]);
        rBufSize_ = bytes;
    }

    Utils::HeldBytes m_held;
};

class BudgetedTransportFactory final : public apache::thrift::transport::TTransportFactory
{
public:
    explicit BudgetedTransportFactory(std::int64_t bytes)
        : m_budget(std::make_shared<Utils::ByteBudget>(bytes))
    {}
    auto getTransport(std::shared_ptr<apache::thrift::transport::TTransport> transport)
        -> std::shared_ptr<apache::thrift::transport::TTransport> override
    {
        return std::make_shared<BudgetedTransport>(transport, m_budget);
    }

private:
    std::shared_ptr<Utils::ByteBudget> m_budget;
};

// Serves each accepted connection in a task of an arena.
class ArenaServer final : public apache::thrift::server::TServerFramework
{
public:
    ArenaServer(const std::shared_ptr<apache::thrift::TProcessor> &processor,
                const std::shared_ptr<apache::thrift::transport::TServerTransport> &listener,
                int connections,
                std::int64_t frameBytes)
        : TServerFramework(
            processor,
            listener,
            std::make_shared<BudgetedTransportFactory>(frameBytes),
            std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>(
                apache::thrift::TConfiguration::DEFAULT_MAX_FRAME_SIZE, maximumListItems))
        , m_arena("peers", connections)
    {
        setConcurrentClientLimit(connections);
    }

    auto waitForConnections() -> void { m_arena.waitForAll(); }

protected:
    auto onClientConnected(const std::shared_ptr<TConnectedClient> &client) -> void override
    {
        // Releasing the last reference to the client calls back into this server, so it must be
        // released before the task counts as finished, even if the arena has copied the task.
        auto sharedClient = std::make_shared<std::shared_ptr<TConnectedClient>>(client);
        m_arena.enqueue([sharedClient] {
            const auto current = std::move(*sharedClient);
            current->run();
        });
    }
    auto onClientDisconnected(TConnectedClient *) -> void override {}

private:
    Utils::TaskArena m_arena;
};

} // namespace

class PeerServer::Private
{
public:
    PeerServerOptions options;
    std::shared_ptr<apache::thrift::TMultiplexedProcessor> processor =
        std::make_shared<apache::thrift::TMultiplexedProcessor>();
    std::shared_ptr<apache::thrift::transport::TServerSocket> listener;
    std::unique_ptr<ArenaServer> server;
    std::jthread acceptor;
    bool running = false;
};

PeerServer::PeerServer(PeerServerOptions options)
    : m_d(std::make_unique<Private>())
{
    m_d->options = std::move(options);
}

PeerServer::~PeerServer()
{
    stop();
}

auto PeerServer::addService(const std::string &name,
                            std::shared_ptr<apache::thrift::TProcessor> processor) -> void
{
    m_d->processor->registerProcessor(name, std::move(processor));
}

auto PeerServer::start() -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(address, Utils::parseAddress(m_d->options.address));
    m_d->listener = std::make_shared<ListeningSocket>(address.host, address.port);
    m_d->listener->setRecvTimeout(int(m_d->options.idleTimeout.count()));
    m_d->listener->setSendTimeout(int(m_d->options.idleTimeout.count()));
    try {
        m_d->server = std::make_unique<ArenaServer>(
            m_d->processor, m_d->listener, m_d->options.connections, m_d->options.frameBytes);
        m_d->listener->listen();
    } catch (const apache::thrift::TException &exception) {
        return Utils::failure(
            Utils::ErrorType::IoFailure, "cannot listen for peers", exception.what());
    }
    m_d->running = true;
    m_d->acceptor = std::jthread([this] {
        try {
            m_d->server->serve();
        } catch (const std::exception &exception) {
            Utils::Log::error("wire",
                              "the listener for peers stopped because of an exception",
                              {{"reason", exception.what()}});
        }
    });
    return Utils::success();
}

auto PeerServer::stop() -> void
{
    if (!m_d->running)
        return;
    m_d->running = false;
    m_d->server->stop();
    m_d->acceptor.join();
    m_d->server->waitForConnections();
}

auto PeerServer::port() const -> int
{
    return m_d->listener ? m_d->listener->getPort() : 0;
}

} // namespace Wire
