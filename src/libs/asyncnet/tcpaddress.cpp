#include "tcpaddress.h"

#include "utils/address.h"

namespace AsyncNet {

using Tcp = asio::ip::tcp;

// Connections that are accepted in one turn of the event loop at most, so that it does other work
// between them.
constexpr std::size_t maximumAccepted = 64;

auto parseTcpAddress(const std::string &address) -> Utils::Result<Tcp::endpoint>
{
    BOOST_OUTCOME_TRY(parsed, Utils::parseAddress(address));
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(parsed.host, error);
    if (error)
        return Utils::failure(Utils::ErrorType::InvalidInput, "not an IP address", address);
    return Tcp::endpoint(ip, static_cast<unsigned short>(parsed.port));
}

auto listenOn(TcpAcceptor &acceptor, const std::string &address) -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(endpoint, parseTcpAddress(address));
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(TcpAcceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    // acceptWaiting() must not wait.
    if (!error)
        acceptor.non_blocking(true, error);
    if (error)
        return Utils::failure(
            Utils::ErrorType::IoFailure, "cannot listen on " + address, error.message());
    return Utils::success();
}

auto acceptWaiting(TcpAcceptor &acceptor) -> std::vector<TcpSocket>
{
    std::vector<TcpSocket> sockets;
    boost::system::error_code error;
    while (!error && sockets.size() < maximumAccepted) {
        auto socket = acceptor.accept(error);
        if (!error)
            sockets.push_back(std::move(socket));
    }
    return sockets;
}

} // namespace AsyncNet
