#include "socketfactory.h"

namespace Wire {
namespace {

class TcpSocketFactory final : public SocketFactory
{
public:
    auto make(const std::string &, const Utils::Address &address)
        -> std::shared_ptr<apache::thrift::transport::TSocket> override
    {
        return std::make_shared<apache::thrift::transport::TSocket>(address.host, address.port);
    }
};

} // namespace

auto tcpSocketFactory() -> SocketFactory &
{
    static TcpSocketFactory factory;
    return factory;
}

} // namespace Wire
