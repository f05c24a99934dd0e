#pragma once

#include "utils/address.h"

#include <thrift/transport/TSocket.h>

#include <memory>
#include <string>

namespace Wire {

/*! \brief Creates unopened sockets for connections to peers. Tests use it to cut connections. */
class SocketFactory
{
public:
    virtual ~SocketFactory() = default;
    virtual auto make(const std::string &peerId, const Utils::Address &address)
        -> std::shared_ptr<apache::thrift::transport::TSocket> = 0;
};

/*! \brief Returns the factory that creates plain TCP sockets. */
auto tcpSocketFactory() -> SocketFactory &;

} // namespace Wire
