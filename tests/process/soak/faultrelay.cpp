#include "faultrelay.h"

#include "asyncnet/tcpaddress.h"

#include <boost/asio/write.hpp>

#include <array>
#include <iostream>

namespace Soak {
namespace {

namespace asio = AsyncNet::asio;

constexpr std::size_t bufferBytes = 16 * 1024;
constexpr Utils::Milliseconds delay{60};
constexpr Utils::Milliseconds reachInterval{5};
// Opening packets without an answer are sent again after this time, then after twice as long.
constexpr Utils::Milliseconds firstRepeat{1000};
constexpr int maximumRepeats = 3;

auto ignoringErrors(boost::system::error_code &error)
{
    return asio::redirect_error(AsyncNet::useAwaitable, error);
}

} // namespace

FaultRelay::FaultRelay(asio::io_context &loop, std::string address, std::string target)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_target(std::move(target))
    , m_acceptor(loop)
{}

auto FaultRelay::start() -> void
{
    if (const auto listens = AsyncNet::listenOn(m_acceptor, m_address); !listens) {
        std::cerr << "the fault relay cannot listen on " << m_address << '\n';
        std::abort();
    }
    AsyncNet::start(m_loop, "relay", accept(), shared_from_this());
}

auto FaultRelay::setMode(RelayMode mode) -> void
{
    const auto dropsBytes =
        m_mode != RelayMode::Pass && m_mode != RelayMode::Delay && m_mode != RelayMode::Unreachable;
    m_mode = mode;
    if (dropsBytes)
        resetConnections();
}

auto FaultRelay::reset(Pair &pair) -> void
{
    boost::system::error_code error;
    // Closing a socket with a linger time of 0 sends a reset.
    pair.caller.set_option(Socket::linger(true, 0), error);
    pair.caller.close(error);
    pair.target.set_option(Socket::linger(true, 0), error);
    pair.target.close(error);
}

auto FaultRelay::resetConnections() -> void
{
    for (const auto &weak : m_pairs) {
        if (const auto pair = weak.lock())
            reset(*pair);
    }
    m_pairs.clear();
}

auto FaultRelay::resetEstablishedConnections() -> void
{
    for (const auto &weak : m_pairs) {
        const auto pair = weak.lock();
        if (pair && pair->established)
            reset(*pair);
    }
}

auto FaultRelay::address() const -> std::string
{
    boost::system::error_code error;
    const auto local = m_acceptor.local_endpoint(error);
    return local.address().to_string() + ':' + std::to_string(local.port());
}

auto FaultRelay::accept() -> AsyncNet::Task<void>
{
    for (;;) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(ignoringErrors(error));
        if (error)
            co_return;
        auto pair = std::make_shared<Pair>(std::move(socket), m_loop);
        std::erase_if(m_pairs, [](const auto &known) { return known.expired(); });
        m_pairs.push_back(pair);
        AsyncNet::start(m_loop, "relay connection", serve(pair), shared_from_this());
    }
}

auto FaultRelay::waitUntilReachable() -> AsyncNet::Task<void>
{
    while (m_mode == RelayMode::Unreachable)
        co_await AsyncNet::pause(reachInterval);
}

// Every other connection reaches the target as soon as it can, the others as their opening packets are
// sent again.
auto FaultRelay::reach(std::shared_ptr<Pair> pair) -> AsyncNet::Task<void>
{
    if (++m_connections % 2 == 0)
        co_return co_await waitUntilReachable();
    auto wait = firstRepeat;
    for (auto repeat = 0; m_mode == RelayMode::Unreachable && repeat < maximumRepeats; ++repeat) {
        co_await AsyncNet::pause(wait);
        wait *= 2;
    }
    if (m_mode == RelayMode::Unreachable)
        reset(*pair);
}

auto FaultRelay::serve(std::shared_ptr<Pair> pair) -> AsyncNet::Task<void>
{
    co_await reach(pair);
    if (!pair->caller.is_open())
        co_return;
    boost::system::error_code error;
    co_await pair->target.async_connect(AsyncNet::parseTcpAddress(m_target).value(),
                                        ignoringErrors(error));
    if (error) {
        pair->caller.set_option(Socket::linger(true, 0), error);
        pair->caller.close(error);
        co_return;
    }
    pair->established = true;
    AsyncNet::start(m_loop, "relay answers", pump(pair, false), shared_from_this());
    co_await pump(pair, true);
}

auto FaultRelay::pump(std::shared_ptr<Pair> pair, bool requests) -> AsyncNet::Task<void>
{
    auto &from = requests ? pair->caller : pair->target;
    auto &to = requests ? pair->target : pair->caller;
    std::array<char, bufferBytes> buffer{};
    boost::system::error_code error;
    while (!error) {
        const auto count =
            co_await from.async_read_some(asio::buffer(buffer), ignoringErrors(error));
        if (error)
            break;
        if (m_mode == RelayMode::Delay)
            co_await AsyncNet::pause(delay);
        co_await waitUntilReachable();
        if (!loses(requests))
            co_await asio::async_write(to, asio::buffer(buffer, count), ignoringErrors(error));
    }
    // The end of the stream is not forwarded while bytes in this direction are dropped.
    if (loses(requests))
        co_return;
    to.shutdown(Socket::shutdown_send, error);
}

auto FaultRelay::loses(bool requests) const -> bool
{
    return m_mode == RelayMode::Silent
           || m_mode == (requests ? RelayMode::RequestsAreLost : RelayMode::ResponsesAreLost);
}

} // namespace Soak
