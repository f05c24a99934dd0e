#include "peerserver.h"

#include "utils/address.h"
#include "utils/log.h"
#include "utils/taskarena.h"

#include <thrift/processor/TMultiplexedProcessor.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TServerFramework.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <set>
#include <thread>

namespace Wire {
namespace {

using apache::thrift::server::TConnectedClient;

// Hands each accepted connection to a task arena.
class ArenaServer final : public apache::thrift::server::TServerFramework
{
public:
    ArenaServer(const std::shared_ptr<apache::thrift::TProcessor> &processor,
                const std::shared_ptr<apache::thrift::transport::TServerTransport> &listener,
                int connections)
        : TServerFramework(processor,
                           listener,
                           std::make_shared<apache::thrift::transport::TFramedTransportFactory>(),
                           std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>())
        , m_arena("peers", connections)
    {
        setConcurrentClientLimit(connections);
    }

    auto waitForConnections() -> void { m_arena.waitForAll(); }

protected:
    auto onClientConnected(const std::shared_ptr<TConnectedClient> &client) -> void override
    {
        m_arena.enqueue([client] { client->run(); });
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
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
}

PeerServer::~PeerServer()
{
    stop();
}

auto PeerServer::addService(const std::string &name,
                            std::shared_ptr<apache::thrift::TProcessor> processor) -> void
{
    d->processor->registerProcessor(name, std::move(processor));
}

auto PeerServer::start() -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(address, Utils::parseAddress(d->options.address));
    d->listener =
        std::make_shared<apache::thrift::transport::TServerSocket>(address.host, address.port);
    try {
        d->server =
            std::make_unique<ArenaServer>(d->processor, d->listener, d->options.connections);
        d->listener->listen();
    } catch (const apache::thrift::TException &exception) {
        return Utils::failure(
            Utils::ErrorType::IoFailure, "cannot listen for peers", exception.what());
    }
    d->running = true;
    d->acceptor = std::jthread([this] {
        try {
            d->server->serve();
        } catch (const std::exception &exception) {
            Utils::Log::error("wire", "the peers' listener ended", {{"reason", exception.what()}});
        }
    });
    return Utils::success();
}

auto PeerServer::stop() -> void
{
    if (!d->running)
        return;
    d->running = false;
    d->server->stop();
    d->acceptor.join();
    d->server->waitForConnections();
}

auto PeerServer::port() const -> int
{
    return d->listener ? d->listener->getPort() : 0;
}

} // namespace Wire
