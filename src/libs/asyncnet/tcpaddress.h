#pragma once

#include "tcpsocket.h"

#include "utils/error.h"

#include <string>

namespace AsyncNet {

/*! \brief Returns the TCP endpoint that HOST:PORT names, where HOST is an IP address. */
auto parseTcpAddress(const std::string &address) -> Utils::Result<asio::ip::tcp::endpoint>;

/*! \brief Opens \a acceptor and starts to listen on \a address, given as HOST:PORT. */
auto listenOn(TcpAcceptor &acceptor, const std::string &address) -> Utils::Result<void>;

} // namespace AsyncNet
