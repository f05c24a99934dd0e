#pragma once

#include "idletimes.h"

#include "utils/clock.h"
#include "utils/error.h"

#include <cstdint>
#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}

/*! Transport between processes of the system: Thrift over TCP. */
namespace Wire {

/*! \brief Settings of the listener for peers. */
struct PeerServerOptions
{
    std::string address; //!< HOST:PORT; port 0 selects a free port.
    int connections = 64;
    //! A connection without a request for this time is closed. One that is silent for good would keep its place.
    Utils::Milliseconds idleTimeout = longestIdleTimeOfServers;
    //! What the messages of all connections may hold, in bytes.
    std::int64_t frameBytes = 64 * 1024 * 1024;
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

    /*! \brief Adds a service. Must be called before start(). */
    auto addService(const std::string &name, std::shared_ptr<apache::thrift::TProcessor> processor)
        -> void;
    auto start() -> Utils::Result<void>;
    auto stop() -> void;
    /*! \brief Returns the port that the server listens on after start(). */
    auto port() const -> int;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Wire
