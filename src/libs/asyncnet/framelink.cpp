#include "framelink.h"

#include "tcpaddress.h"
#include "tcpstream.h"

#include "utils/log.h"
#include "utils/logbudget.h"

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
constexpr std::int64_t defaultBudgetBytes = 64 * 1024 * 1024;
// Share of the budget that one connection may hold for its requests and replies before it waits.
constexpr std::int64_t connectionShare = 4;
// Least memory that a request in progress takes.
constexpr std::int64_t requestBytes = 1024;
// A frame or a write that makes no end in this time blocks others.
constexpr Utils::Milliseconds stallTimeout{10'000};
constexpr Utils::Milliseconds stallCheckInterval{1000};
constexpr std::int64_t closedLinesPerSecond = 5;
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
        const auto stringBytes = std::int32_t(body.size());
        apache::thrift::protocol::TCompactProtocol protocol(buffer, stringBytes, maximumListItems);
        T message;
        message.read(&protocol);
        return message;
    } catch (const apache::thrift::TException &exception) {
        return Utils::failure(
            Utils::ErrorType::InvalidInput, "a message could not be decoded", exception.what());
    }
}

// Writes frames to a socket in the order in which they were queued.
class FrameWriter : public std::enable_shared_from_this<FrameWriter>
{
public:
    FrameWriter(asio::io_context &loop, TcpSocket socket, std::shared_ptr<Utils::ByteBudget> budget)
        : settled(loop)
        , m_loop(loop)
        , m_socket(std::move(socket))
        , m_budget(std::move(budget))
        , m_held(m_budget)
    {}

    Signal settled;                             //!< Notified when the connection holds less.
    std::optional<Utils::Instant> readingSince; //!< Set while a frame has arrived in part.
    Utils::Instant lastRequestAt;               //!< The epoch if there has been no request.

    auto socket() -> TcpSocket & { return m_socket; }
    auto budget() const -> const std::shared_ptr<Utils::ByteBudget> & { return m_budget; }

    auto send(std::string_view frame) -> void
    {
        if (!m_held.resize(m_held.held() + std::int64_t(frame.size())))
            return close();
        m_unsent += frame;
        if (!std::exchange(m_writing, true))
            AsyncNet::start(m_loop, "frame writer", write(), shared_from_this());
    }
    // Counts a request until it is answered. Returns false if it doesn't fit into the budget.
    auto beginRequest(std::int64_t bytes) -> bool
    {
        if (!m_held.resize(m_held.held() + bytes))
            return false;
        lastRequestAt = m_clock.now();
        ++m_requests;
        return true;
    }
    auto endRequest(std::int64_t bytes) -> void
    {
        --m_requests;
        m_held.resize(std::max<std::int64_t>(0, m_held.held() - bytes));
        settled.notify();
    }
    auto requests() const -> int { return m_requests; }
    // Returns whether the connection holds so much that its next requests have to wait.
    auto isFull() const -> bool
    {
        return m_socket.is_open() && m_held.held() > m_budget->bytes() / connectionShare;
    }
    auto isStalledAt(Utils::Instant now) const -> bool
    {
        return (readingSince && now - *readingSince > stallTimeout)
               || (m_writingSince && now - *m_writingSince > stallTimeout);
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
            m_writingSince = m_clock.now();
            co_await asio::async_write(
                m_socket, asio::buffer(bytes), asio::redirect_error(useAwaitable, error));
            m_writingSince.reset();
            m_held.resize(m_held.held() - std::int64_t(bytes.size()));
            settled.notify();
            if (error) {
                close();
                break;
            }
        }
        m_writing = false;
    }

    asio::io_context &m_loop;
    TcpSocket m_socket;
    std::shared_ptr<Utils::ByteBudget> m_budget;
    Utils::HeldBytes m_held; //!< Requests in progress and unsent replies.
    Utils::SystemClock m_clock;
    std::string m_unsent; //!< Frames that were queued since the last write began.
    std::optional<Utils::Instant> m_writingSince;
    int m_requests = 0;
    bool m_writing = false;
};

// Reads frames from a connection. Frames that have arrived together are read with one system call.
class FrameReader
{
public:
    explicit FrameReader(FrameWriter &connection)
        : m_connection(connection)
        , m_held(connection.budget())
    {}

    // Reads the next frame. Returns false if the connection was closed, or if the frame is too large
    // or doesn't fit into the budget.
    auto next() -> Task<bool>
    {
        m_received.consume(std::exchange(m_frameBytes, 0));
        if (m_received.size() == 0 && m_received.capacity() > minimumReadBytes)
            m_received = {};
        m_held.resize(countedBytes());
        for (;;) {
            const auto frame = frameBytes();
            if (frame && *frame > lengthBytes + maximumBodyBytes)
                co_return false;
            if (frame && m_received.size() >= *frame) {
                m_frameBytes = *frame;
                m_connection.readingSince.reset();
                co_return true;
            }
            if (m_received.size() > 0 && !m_connection.readingSince)
                m_connection.readingSince = m_clock.now();
            const auto missing = frame.value_or(lengthBytes) - m_received.size();
            // Memory grows with what has arrived, not with what is announced.
            const auto space =
                prepare(std::max(std::min(missing, m_received.size()), minimumReadBytes));
            if (!space)
                co_return false;
            boost::system::error_code error;
            const auto bytes = co_await m_connection.socket().async_read_some(
                *space, asio::redirect_error(useAwaitable, error));
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
    auto prepare(std::size_t bytes) -> std::optional<asio::mutable_buffer>
    {
        const auto grows = m_received.capacity() - m_received.size() < bytes;
        // A new buffer is held together with the one that is copied into it.
        if (grows && !m_held.resize(countedBytes() + std::int64_t(2 * m_received.size()))) {
            Utils::Log::warning("wire",
                                "closed a connection whose frame does not fit into the budget",
                                {{"received_bytes", m_received.size()}});
            return std::nullopt;
        }
        const auto space = m_received.prepare(bytes);
        m_held.resize(countedBytes());
        return space;
    }
    // The first buffer of each connection is part of the limit of connections.
    auto countedBytes() const -> std::int64_t
    {
        return std::int64_t(m_received.capacity()
                            - std::min(m_received.capacity(), minimumReadBytes));
    }
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

    FrameWriter &m_connection;
    Utils::HeldBytes m_held;
    Utils::SystemClock m_clock;
    boost::beast::flat_buffer m_received;
    std::size_t m_frameBytes = 0; //!< Size of the frame that next() has read.
};

} // namespace

class FrameServer::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &eventLoop, FrameHandler requestHandler)
        : loop(eventLoop)
        , handler(std::move(requestHandler))
        , acceptor(eventLoop)
        , closedLines("closed links", closedLinesPerSecond)
    {
        limits.budget = std::make_shared<Utils::ByteBudget>(defaultBudgetBytes);
    }

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
            take(std::move(socket));
            for (auto &waiting : acceptWaiting(acceptor))
                take(std::move(waiting));
        }
    }

    auto take(TcpSocket socket) -> void
    {
        std::erase_if(connections, [](const auto &item) { return item.expired(); });
        if (int(connections.size()) >= limits.connections && !makeRoom())
            return;
        boost::system::error_code error;
        socket.set_option(Tcp::no_delay(true), error);
        auto connection = std::make_shared<FrameWriter>(loop, std::move(socket), limits.budget);
        connections.push_back(connection);
        AsyncNet::start(loop, "frame connection", serve(std::move(connection)), shared_from_this());
    }

    // Closes the connection that has sent no request for longest and awaits no reply. Returns false
    // if there is none.
    auto makeRoom() -> bool
    {
        std::shared_ptr<FrameWriter> silent;
        for (const auto &item : connections) {
            auto connection = item.lock();
            if (connection && connection->requests() == 0 && connection->socket().is_open()
                && (!silent || connection->lastRequestAt < silent->lastRequestAt))
                silent = std::move(connection);
        }
        if (closedLines.allow(clock.now()))
            Utils::Log::warning("wire",
                                "the limit of connections is reached",
                                {{"connections", connections.size()},
                                 {"closed", silent ? "the most silent one" : "the new one"}});
        if (silent)
            silent->close();
        return silent != nullptr;
    }

    // Closes connections that have stalled within a frame or a reply.
    auto watch() -> Task<void>
    {
        while (!stopped) {
            co_await pause(stallCheckInterval);
            for (const auto &item : connections) {
                const auto connection = item.lock();
                if (!connection || !connection->isStalledAt(clock.now()))
                    continue;
                if (closedLines.allow(clock.now()))
                    Utils::Log::warning("wire", "closed a connection that has stalled");
                connection->close();
            }
        }
    }

    auto serve(std::shared_ptr<FrameWriter> connection) -> Task<void>
    {
        FrameReader reader(*connection);
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
            const auto bytes = requestBytes + std::int64_t(reader.body().size());
            if (!connection->beginRequest(bytes))
                break;
            AsyncNet::start(loop,
                            "frame request",
                            handleRequest(connection, std::move(request.value()), bytes),
                            shared_from_this());
            while (connection->isFull())
                co_await connection->settled.waitFor(stallCheckInterval);
        }
        connection->close();
    }

    auto handleRequest(std::shared_ptr<FrameWriter> connection,
                       Wire::ControlRequest request,
                       std::int64_t bytes) -> Task<void>
    {
        const auto sequence = request.sequence;
        auto reply = co_await handler(std::move(request));
        reply.sequence = sequence;
        connection->endRequest(bytes);
        connection->send(encode(reply));
    }

    asio::io_context &loop;
    FrameHandler handler;
    TcpAcceptor acceptor;
    FrameServerLimits limits;
    Utils::SystemClock clock;
    Utils::LogBudget closedLines;
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
    AsyncNet::start(m_d->loop, "frame watch", m_d->watch(), m_d);
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

auto FrameServer::setLimits(FrameServerLimits limits) -> void
{
    m_d->limits = std::move(limits);
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
        FrameReader reader(*link);
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
    d->connection = std::make_shared<FrameWriter>(
        d->loop, std::move(socket), std::make_shared<Utils::ByteBudget>(defaultBudgetBytes));
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
