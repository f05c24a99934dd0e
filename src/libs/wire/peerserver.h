#pragma once

#include "utils/error.h"

#include <cstdint>
#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}

/*! Transport between the system's own processes: Thrift over TCP. */
namespace Wire {

/*! \brief Limits of the peers' listener. */
struct PeerServerOptions
{
    std::string address; //!< HOST:PORT; port 0 takes a free port.
    int connections = 64;
};

/*!
    \brief Serves several Thrift services on one listener, one task for each connection.
*/
class PeerServer
{
public:
    explicit PeerServer(PeerServerOptions options);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    auto operator=(const PeerServer &) -> PeerServer & = delete;

    /*! \brief Adds a service before start(). */
    auto addService(const std::string &name, std::shared_ptr<apache::thrift::TProcessor> processor)
        -> void;
    auto start() -> Utils::Result<void>;
    auto stop() -> void;
    /*! \brief Returns the port in use after start(). */
    auto port() const -> int;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Wire
