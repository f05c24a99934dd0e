#pragma once

#include "tcpsocket.h"

#include "utils/error.h"

#include <string>
#include <vector>

namespace AsyncNet {

/*! \brief Returns the TCP endpoint that HOST:PORT names, where HOST is an IP address. */
auto parseTcpAddress(const std::string &address) -> Utils::Result<asio::ip::tcp::endpoint>;

/*! \brief Opens \a acceptor and starts to listen on \a address, given as HOST:PORT. */
auto listenOn(TcpAcceptor &acceptor, const std::string &address) -> Utils::Result<void>;

/*!
    \brief Accepts connections that wait at \a acceptor, up to a limit. Never waits for others.

    The acceptor must have been opened by listenOn().
    An asynchronous accept takes one connection in each turn of the event loop. This takes those
    that arrived with it. An error ends it and is left to the next asynchronous accept.
*/
auto acceptWaiting(TcpAcceptor &acceptor) -> std::vector<TcpSocket>;

} // namespace AsyncNet
