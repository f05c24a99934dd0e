#pragma once

#include "utils/address.h"

#include <thrift/transport/TSocket.h>

#include <memory>
#include <string>

namespace Wire {

/*! \brief Makes the unopened sockets that peers are dialled with, so that tests can cut links. */
class SocketFactory
{
public:
    virtual ~SocketFactory() = default;
    virtual auto make(const std::string &peerId, const Utils::Address &address)
        -> std::shared_ptr<apache::thrift::transport::TSocket> = 0;
};

/*! \brief Returns the factory of plain TCP sockets. */
auto tcpSocketFactory() -> SocketFactory &;

} // namespace Wire
