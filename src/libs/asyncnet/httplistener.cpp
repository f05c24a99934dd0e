#include "httplistener.h"

#include "requestreader.h"
#include "tcpaddress.h"
#include "tcpstream.h"

#include "utils/log.h"
#include "utils/logbudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <list>

namespace AsyncNet {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

// Delay before the next accept after a failed one, for example when descriptors run out.
constexpr Utils::Milliseconds acceptRetryDelay{100};
// Time limit for discarding what a refused client still sends, so that it reads the response.
constexpr Utils::Milliseconds lingerTimeout{500};
constexpr int statusUnavailable = 503;
constexpr std::int64_t refusalRetryS = 1;
// Bytes that the kernel receives for a connection while nothing is read from it.
constexpr int receiveBufferBytes = 64 * 1024;
constexpr std::int64_t defaultBudgetBytes = 64 * 1024 * 1024;
constexpr std::int64_t refusalLinesPerSecond = 5;

namespace {

auto refusalResponse(const RequestRefusal &refusal) -> HttpResponse
{
    auto response = plainResponse(refusal.status);
    if (refusal.status == statusUnavailable)
        response.retryAfterS = refusalRetryS;
    return response;
}

auto convert(HttpResponse &&response, bool keepAlive) -> http::response<http::string_body>
{
    http::response<http::string_body> message(http::status(response.status), 11);
    message.keep_alive(keepAlive);
    if (!response.body.empty())
        message.set(http::field::content_type, response.contentType);
    if (!response.location.empty())
        message.set(http::field::location, response.location);
    if (response.retryAfterS)
        message.set(http::field::retry_after, std::to_string(*response.retryAfterS));
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

} // namespace

class HttpListener::Private : public std::enable_shared_from_this<Private>
{
public:
    struct Connection
    {
        explicit Connection(TcpSocket socket)
            : stream(std::move(socket))
        {}
        TcpStream stream;
        //! Position in idle, reading or busy.
        std::list<std::shared_ptr<Connection>>::iterator position;
        bool closing = false; //!< Set if it is closed to make room for a new one.
    };
    using Connections = std::list<std::shared_ptr<Connection>>;

    Private(asio::io_context &eventLoop, std::string listenerName, HttpHandler requestHandler)
        : loop(eventLoop)
        , name(std::move(listenerName))
        , handler(std::move(requestHandler))
        , acceptor(eventLoop)
        , refusalLines("refused requests", refusalLinesPerSecond)
    {}

    auto accept() -> Task<void>;
    auto take(TcpSocket socket) -> void;
    auto serve(std::shared_ptr<Connection> connection) -> Task<void>;
    auto makeRoom() -> bool;
    auto serveRequests(Connection &connection) -> Task<void>;
    auto receive(Connection &connection, RequestReader &reader) -> Task<bool>;
    auto receiveSome(Connection &connection, RequestReader &reader) -> Task<bool>;
    auto respond(Connection &connection, RequestReader &reader) -> Task<bool>;
    auto refuse(Connection &connection, RequestRefusal refusal) -> Task<void>;
    auto recordRefusal(std::string_view reason) -> void;
    auto sendResponse(Connection &connection, HttpResponse response, bool keepAlive) -> Task<bool>;

    asio::io_context &loop;
    std::string name;
    HttpHandler handler;
    TcpAcceptor acceptor;
    HttpListenerLimits limits;
    std::vector<std::string> keptHeaders;
    std::shared_ptr<Utils::ByteBudget> budget =
        std::make_shared<Utils::ByteBudget>(defaultBudgetBytes);
    Utils::Metrics *metrics = nullptr;
    Utils::SystemClock clock;
    Utils::LogBudget refusalLines;
    Connections idle;    //!< Connections that wait for a request, the longest idle first.
    Connections reading; //!< Those that have begun to send a request, the longest of them first.
    Connections busy;
    int requests = 0;
    bool closesConnections = false;
    bool stopped = false;
};

auto HttpListener::Private::accept() -> Task<void>
{
    while (!stopped) {
        boost::system::error_code error;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(useAwaitable, error));
        if (stopped || error == asio::error::operation_aborted)
            co_return;
        if (error) {
            Utils::Log::warning("http",
                                "cannot accept a connection",
                                {{"listener", name}, {"reason", error.message()}});
            co_await pause(acceptRetryDelay);
            continue;
        }
        take(std::move(socket));
        for (auto &waiting : acceptWaiting(acceptor))
            take(std::move(waiting));
    }
}

auto HttpListener::Private::take(TcpSocket socket) -> void
{
    if (!makeRoom()) {
        recordRefusal("connections");
        return;
    }
    boost::system::error_code error;
    socket.set_option(Tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket));
    connection->position = busy.insert(busy.end(), connection);
    AsyncNet::start(loop, name, serve(std::move(connection)), shared_from_this());
}

// Closes the connection that has been idle the longest if the limit is reached, or else the one
// that has taken the longest to send its request, so that slow clients can't keep all connections.
// Returns false if all connections wait for a response.
auto HttpListener::Private::makeRoom() -> bool
{
    if (int(idle.size() + reading.size() + busy.size()) < limits.connections)
        return true;
    auto &closable = idle.empty() ? reading : idle;
    if (closable.empty())
        return false;
    if (idle.empty())
        recordRefusal("slow-client");
    const auto oldest = closable.front();
    oldest->closing = true;
    oldest->stream.close();
    // The connection counts as busy until its coroutine ends.
    busy.splice(busy.end(), closable, oldest->position);
    return true;
}

auto HttpListener::Private::serve(std::shared_ptr<Connection> connection) -> Task<void>
{
    co_await serveRequests(*connection);
    busy.erase(connection->position);
    boost::system::error_code error;
    // A half-close lets the peer read the last response even if it has sent more data.
    connection->stream.socket().shutdown(TcpSocket::shutdown_send, error);
}

auto HttpListener::Private::serveRequests(Connection &connection) -> Task<void>
{
    RequestReader reader(keptHeaders, budget);
    for (;;) {
        reader.startRequest({limits.headerBytes, limits.bodyBytes});
        const auto received = co_await receive(connection, reader);
        if (reader.refusal()) {
            co_await refuse(connection, *reader.refusal());
            co_return;
        }
        if (!received)
            co_return;
        const auto staysOpen = co_await respond(connection, reader);
        if (!staysOpen)
            co_return;
    }
}

// Returns false if the connection has ended or the request is refused.
auto HttpListener::Private::receive(Connection &connection, RequestReader &reader) -> Task<bool>
{
    if (!reader.hasBegun()) {
        idle.splice(idle.end(), busy, connection.position);
        connection.stream.expires_after(limits.idleTimeout);
        const auto received = co_await receiveSome(connection, reader);
        if (connection.closing)
            co_return false;
        busy.splice(busy.end(), idle, connection.position);
        if (!received)
            co_return false;
    }
    reading.splice(reading.end(), busy, connection.position);
    connection.stream.expires_after(limits.requestTimeout);
    auto received = true;
    while (received && !reader.isComplete())
        received = co_await receiveSome(connection, reader);
    if (connection.closing)
        co_return false;
    busy.splice(busy.end(), reading, connection.position);
    co_return received;
}

auto HttpListener::Private::receiveSome(Connection &connection, RequestReader &reader) -> Task<bool>
{
    if (reader.refusal())
        co_return false;
    const auto space = reader.prepare();
    if (reader.refusal())
        co_return false;
    boost::system::error_code error;
    const auto bytes = co_await connection.stream.async_read_some(
        space, asio::redirect_error(useAwaitable, error));
    if (error)
        co_return false;
    reader.commit(bytes);
    co_return !reader.refusal();
}

// Returns whether the connection stays open.
auto HttpListener::Private::respond(Connection &connection, RequestReader &reader) -> Task<bool>
{
    const auto keepAlive = reader.keepAlive();
    ++requests;
    connection.stream.expires_never();
    auto request = reader.takeRequest();
    // What only reads may be refused after it has run.
    const auto reads = request.method == "GET";
    auto response = co_await handler(std::move(request));
    if (!reader.holdResponse(response.body.size()) && reads) {
        recordRefusal("response-memory");
        response = refusalResponse({statusUnavailable, {}});
    }
    const auto staysOpen = keepAlive && !closesConnections;
    const auto written = co_await sendResponse(connection, std::move(response), staysOpen);
    --requests;
    co_return written &&staysOpen;
}

auto HttpListener::Private::refuse(Connection &connection, RequestRefusal refusal) -> Task<void>
{
    recordRefusal(refusal.reason);
    const auto written = co_await sendResponse(connection, refusalResponse(refusal), false);
    boost::system::error_code error;
    connection.stream.socket().shutdown(TcpSocket::shutdown_send, error);
    connection.stream.expires_after(lingerTimeout);
    std::array<char, 4096> unread{};
    auto left = limits.headerBytes + limits.bodyBytes;
    while (written && !error && left > 0) {
        left -= std::int64_t(co_await connection.stream.async_read_some(
            asio::buffer(unread), asio::redirect_error(useAwaitable, error)));
    }
}

auto HttpListener::Private::recordRefusal(std::string_view reason) -> void
{
    if (metrics)
        metrics->count("trefoilshelf_http_refused_total",
                       {{"listener", name}, {"reason", std::string(reason)}});
    if (refusalLines.allow(clock.now()))
        Utils::Log::warning("http",
                            "refused a request or a connection",
                            {{"listener", name},
                             {"reason", reason},
                             {"connections", idle.size() + reading.size() + busy.size()},
                             {"held_bytes", budget->held()}});
}

auto HttpListener::Private::sendResponse(Connection &connection,
                                         HttpResponse response,
                                         bool keepAlive) -> Task<bool>
{
    const auto message = convert(std::move(response), keepAlive);
    boost::system::error_code error;
    connection.stream.expires_after(limits.requestTimeout);
    co_await http::async_write(
        connection.stream, message, asio::redirect_error(useAwaitable, error));
    co_return !error;
}

HttpListener::HttpListener(asio::io_context &loop, std::string name, HttpHandler handler)
    : m_d(std::make_shared<Private>(loop, std::move(name), std::move(handler)))
{}

HttpListener::~HttpListener()
{
    stopAccepting();
}

auto HttpListener::start(const std::string &address) -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(listenOn(m_d->acceptor, address));
    boost::system::error_code error;
    m_d->acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
    AsyncNet::start(m_d->loop, m_d->name, m_d->accept(), m_d);
    return Utils::success();
}

auto HttpListener::setLimits(const HttpListenerLimits &limits) -> void
{
    m_d->limits = limits;
}

auto HttpListener::keepHeaders(std::vector<std::string> names) -> void
{
    m_d->keptHeaders = std::move(names);
}

auto HttpListener::shareBudget(std::shared_ptr<Utils::ByteBudget> budget) -> void
{
    m_d->budget = std::move(budget);
}

auto HttpListener::countRefusals(Utils::Metrics &metrics) -> void
{
    m_d->metrics = &metrics;
}

auto HttpListener::endConnections() -> void
{
    m_d->closesConnections = true;
}

auto HttpListener::stopAccepting() -> void
{
    m_d->stopped = true;
    m_d->closesConnections = true;
    boost::system::error_code error;
    m_d->acceptor.close(error);
    for (const auto &connection : m_d->idle)
        connection->stream.cancel();
}

auto HttpListener::requestsInProgress() const -> int
{
    return m_d->requests;
}

auto HttpListener::port() const -> int
{
    boost::system::error_code error;
    return m_d->acceptor.local_endpoint(error).port();
}

} // namespace AsyncNet
