#include "framelink.h"

#include "tcpaddress.h"
#include "tcpstream.h"

#include "utils/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <map>
#include <optional>

namespace AsyncNet {

namespace {

using Tcp = asio::ip::tcp;

// Maximum size of a message. The largest ones are configurations with hundreds of routes.
constexpr std::size_t maximumBodyBytes = 16 * 1024 * 1024;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t minimumReadBytes = 4096;
constexpr Utils::Milliseconds acceptRetryDelay{100};

template <typename T>
auto encode(const T &message) -> std::string
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    message.write(&protocol);
    std::uint8_t *body = nullptr;
    std::uint32_t length = 0;
    buffer->getBuffer(&body, &length);
    std::string frame{char(length >> 24), char(length >> 16), char(length >> 8), char(length)};
    frame.append(reinterpret_cast<const char *>(body), length);
    return frame;
}

template <typename T>
auto decode(asio::mutable_buffer body) -> Utils::Result<T>
{
    try {
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
            static_cast<std::uint8_t *>(body.data()), std::uint32_t(body.size()));
        apache::thrift::protocol::TCompactProtocol protocol(buffer);
        T message;
        message.read(&protocol);
        return message;
    } catch (const apache::thrift::TException &exception) {
        return Utils::failure(
            Utils::ErrorType::InvalidInput, "a message could not be decoded", exception.what());
    }
}

// Reads frames from a socket. Frames that have arrived together are read with one system call.
class FrameReader
{
public:
    explicit FrameReader(TcpSocket &socket)
        : m_socket(socket)
    {}

    // Reads the next frame. Returns false if the connection was closed or the frame is too large.
    auto next() -> Task<bool>
    {
        m_received.consume(std::exchange(m_frameBytes, 0));
        for (;;) {
            const auto frame = frameBytes();
            if (frame && *frame > lengthBytes + maximumBodyBytes)
                co_return false;
            if (frame && m_received.size() >= *frame) {
                m_frameBytes = *frame;
                co_return true;
            }
            const auto missing = frame.value_or(lengthBytes) - m_received.size();
            boost::system::error_code error;
            const auto bytes = co_await m_socket.async_read_some(
                m_received.prepare(std::max(missing, minimumReadBytes)),
                asio::redirect_error(useAwaitable, error));
            if (error)
                co_return false;
            m_received.commit(bytes);
        }
    }

    // Returns the body of the frame that next() has read.
    auto body() -> asio::mutable_buffer
    {
        return asio::buffer(m_received.data() + lengthBytes, m_frameBytes - lengthBytes);
    }

private:
    // Returns the size of the first frame in the buffer, or nothing if its length is incomplete.
    auto frameBytes() const -> std::optional<std::size_t>
    {
        if (m_received.size() < lengthBytes)
            return std::nullopt;
        const auto *bytes = static_cast<const unsigned char *>(m_received.data().data());
        const auto body = std::size_t(bytes[0]) << 24 | std::size_t(bytes[1]) << 16
                          | std::size_t(bytes[2]) << 8 | bytes[3];
        return lengthBytes + body;
    }

    TcpSocket &m_socket;
    boost::beast::flat_buffer m_received;
    std::size_t m_frameBytes = 0; //!< Size of the frame that next() has read.
};

// Writes frames to a socket in the order in which they were queued.
class FrameWriter : public std::enable_shared_from_this<FrameWriter>
{
public:
    FrameWriter(asio::io_context &loop, TcpSocket socket)
        : m_loop(loop)
        , m_socket(std::move(socket))
    {}

    auto socket() -> TcpSocket & { return m_socket; }

    auto send(std::string_view frame) -> void
    {
        m_unsent += frame;
        if (!std::exchange(m_writing, true))
            AsyncNet::start(m_loop, "frame writer", write(), shared_from_this());
    }

    auto close() -> void
    {
        boost::system::error_code error;
        m_socket.close(error);
    }

private:
    auto write() -> Task<void>
    {
        while (!m_unsent.empty()) {
            const auto bytes = std::exchange(m_unsent, {});
            boost::system::error_code error;
            co_await asio::async_write(
                m_socket, asio::buffer(bytes), asio::redirect_error(useAwaitable, error));
            if (error) {
                close();
                break;
            }
        }
        m_writing = false;
    }

    asio::io_context &m_loop;
    TcpSocket m_socket;
    std::string m_unsent; //!< Frames that were queued since the last write began.
    bool m_writing = false;
};

} // namespace

class FrameServer::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &eventLoop, FrameHandler requestHandler)
        : loop(eventLoop)
        , handler(std::move(requestHandler))
        , acceptor(eventLoop)
    {}

    auto accept() -> Task<void>
    {
        while (!stopped) {
            boost::system::error_code error;
            auto socket = co_await acceptor.async_accept(asio::redirect_error(useAwaitable, error));
            if (stopped || error == asio::error::operation_aborted)
                co_return;
            if (error) {
                co_await pause(acceptRetryDelay);
                continue;
            }
            std::erase_if(connections, [](const auto &item) { return item.expired(); });
            take(std::move(socket));
            for (auto &waiting : acceptWaiting(acceptor))
                take(std::move(waiting));
        }
    }

    auto take(TcpSocket socket) -> void
    {
        boost::system::error_code error;
        socket.set_option(Tcp::no_delay(true), error);
        auto connection = std::make_shared<FrameWriter>(loop, std::move(socket));
        connections.push_back(connection);
        AsyncNet::start(loop, "frame connection", serve(std::move(connection)), shared_from_this());
    }

    auto serve(std::shared_ptr<FrameWriter> connection) -> Task<void>
    {
        FrameReader reader(connection->socket());
        for (;;) {
            const auto complete = co_await reader.next();
            if (!complete)
                break;
            auto request = decode<Wire::ControlRequest>(reader.body());
            if (!request) {
                Utils::Log::warning(
                    "wire",
                    "closed a connection that sent a message that could not be decoded",
                    {{"reason", request.error().details}});
                break;
            }
            AsyncNet::start(loop,
                            "frame request",
                            handleRequest(connection, std::move(request.value())),
                            shared_from_this());
        }
        connection->close();
    }

    auto handleRequest(std::shared_ptr<FrameWriter> connection, Wire::ControlRequest request)
        -> Task<void>
    {
        const auto sequence = request.sequence;
        auto reply = co_await handler(std::move(request));
        reply.sequence = sequence;
        connection->send(encode(reply));
    }

    asio::io_context &loop;
    FrameHandler handler;
    TcpAcceptor acceptor;
    std::vector<std::weak_ptr<FrameWriter>> connections;
    bool stopped = false;
};

FrameServer::FrameServer(asio::io_context &loop, FrameHandler handler)
    : m_d(std::make_shared<Private>(loop, std::move(handler)))
{}

FrameServer::~FrameServer()
{
    stop();
}

auto FrameServer::start(const std::string &address) -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(listenOn(m_d->acceptor, address));
    AsyncNet::start(m_d->loop, "frame listener", m_d->accept(), m_d);
    return Utils::success();
}

auto FrameServer::stop() -> void
{
    m_d->stopped = true;
    boost::system::error_code error;
    m_d->acceptor.close(error);
    for (const auto &item : m_d->connections) {
        if (const auto connection = item.lock())
            connection->close();
    }
}

auto FrameServer::port() const -> int
{
    boost::system::error_code error;
    return m_d->acceptor.local_endpoint(error).port();
}

class FrameClient::Private : public std::enable_shared_from_this<Private>
{
public:
    struct PendingCall
    {
        explicit PendingCall(asio::io_context &loop)
            : completed(loop)
        {}
        Signal completed;
        std::optional<Wire::ControlReply> reply;
        bool failed = false;
    };

    Private(asio::io_context &eventLoop, std::string serverAddress)
        : loop(eventLoop)
        , address(std::move(serverAddress))
    {}

    auto read(std::shared_ptr<FrameWriter> link) -> Task<void>
    {
        FrameReader reader(link->socket());
        for (;;) {
            const auto complete = co_await reader.next();
            if (!complete)
                break;
            auto reply = decode<Wire::ControlReply>(reader.body());
            if (!reply)
                break;
            const auto found = pending.find(reply.value().sequence);
            if (found == pending.end())
                continue;
            found->second->reply = std::move(reply.value());
            found->second->completed.notify();
        }
        if (connection == link)
            fail();
    }

    auto fail() -> void
    {
        if (connection)
            connection->close();
        connection.reset();
        for (const auto &[sequence, call] : pending) {
            call->failed = true;
            call->completed.notify();
        }
    }

    asio::io_context &loop;
    std::string address;
    std::shared_ptr<FrameWriter> connection;
    std::map<std::int64_t, std::shared_ptr<PendingCall>> pending;
    std::int64_t lastSequence = 0;
};

FrameClient::FrameClient(asio::io_context &loop, std::string address)
    : m_d(std::make_shared<Private>(loop, std::move(address)))
{}

FrameClient::~FrameClient()
{
    close();
}

auto FrameClient::address() const -> const std::string &
{
    return m_d->address;
}

auto FrameClient::isOpen() const -> bool
{
    return m_d->connection != nullptr;
}

auto FrameClient::connect(Utils::Milliseconds timeout) -> Task<Utils::Result<void>>
{
    const auto d = m_d;
    const auto server = parseTcpAddress(d->address);
    if (!server)
        co_return server.error();
    boost::system::error_code error;
    // TcpStream supports a timeout for connecting, which a plain socket does not.
    TcpStream stream(d->loop);
    stream.expires_after(timeout);
    co_await stream.async_connect(server.value(), asio::redirect_error(useAwaitable, error));
    if (error)
        co_return Utils::failure(
            Utils::ErrorType::Unavailable, "cannot connect to " + d->address, error.message());
    stream.expires_never();
    auto socket = stream.release_socket();
    socket.set_option(Tcp::no_delay(true), error);
    d->connection = std::make_shared<FrameWriter>(d->loop, std::move(socket));
    AsyncNet::start(d->loop, "frame replies", d->read(d->connection), d);
    co_return Utils::success();
}

auto FrameClient::call(Wire::ControlRequest request, Utils::Milliseconds timeout)
    -> Task<Utils::Result<Wire::ControlReply>>
{
    const auto d = m_d;
    if (!d->connection)
        co_return Utils::failure(Utils::ErrorType::Unavailable,
                                 "there is no connection to " + d->address);
    request.sequence = ++d->lastSequence;
    const auto call = std::make_shared<Private::PendingCall>(d->loop);
    d->pending[request.sequence] = call;
    d->connection->send(encode(request));
    co_await call->completed.waitFor(timeout);
    d->pending.erase(request.sequence);
    if (call->reply)
        co_return std::move(*call->reply);
    if (!call->failed)
        co_return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                                 "no answer in time from " + d->address);
    co_return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                             "the connection was closed during a call to " + d->address);
}

auto FrameClient::close() -> void
{
    m_d->fail();
}

} // namespace AsyncNet
