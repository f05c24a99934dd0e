#pragma once

#include "task.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace AsyncNet {

using TcpSocket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using TcpAcceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;

} // namespace AsyncNet
