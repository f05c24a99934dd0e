#pragma once

#include "tcpsocket.h"

#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/rate_policy.hpp>

namespace AsyncNet {

/*! \brief A TCP socket with a timeout for each operation. */
using TcpStream =
    boost::beast::basic_stream<asio::ip::tcp, Executor, boost::beast::unlimited_rate_policy>;

} // namespace AsyncNet
