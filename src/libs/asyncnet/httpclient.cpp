#include "httpclient.h"

#include "tcpaddress.h"
#include "tcpstream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <vector>

namespace AsyncNet {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

// Maximum size of a response body. Only lists of hosts are large.
constexpr std::uint64_t maximumResponseBytes = 16 * 1024 * 1024;

// Counts the calls to one server that are in progress and wakes up those that wait.
struct HttpClient::Server
{
    explicit Server(asio::io_context &loop)
        : freed(loop)
    {}

    int calls = 0;
    Signal freed;
};

// A request that is sent at most twice.
struct HttpClient::Call
{
    std::string address;
    http::request<http::string_body> message;
    SteadyTime deadline;
    Introduction *introduction = nullptr;

    auto peer() const -> std::string
    {
        return introduction != nullptr ? introduction->peer() : std::string();
    }
    auto question() const -> std::optional<HttpRequest>
    {
        return introduction != nullptr ? introduction->request() : std::nullopt;
    }
};

namespace {

auto convert(const HttpRequest &request, const std::string &address)
    -> http::request<http::string_body>
{
    http::request<http::string_body> message;
    message.method_string(beast::string_view(request.method.data(), request.method.size()));
    message.target(beast::string_view(request.target.data(), request.target.size()));
    message.version(11);
    message.set(http::field::host, request.host.empty() ? address : request.host);
    if (!request.body.empty())
        message.set(http::field::content_type, "application/json");
    for (const auto &header : request.headers)
        message.set(header.name, header.value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

auto convert(http::response<http::string_body> &&message) -> HttpResponse
{
    HttpResponse response;
    response.status = int(message.result_int());
    response.body = std::move(message.body());
    return response;
}

auto connect(TcpStream &stream, const std::string &address, SteadyTime deadline)
    -> Task<Utils::Result<void>>
{
    const auto server = parseTcpAddress(address);
    if (!server)
        co_return server.error();
    boost::system::error_code error;
    stream.expires_at(deadline);
    co_await stream.async_connect(server.value(), asio::redirect_error(useAwaitable, error));
    if (error == asio::error::connection_refused)
        co_return Utils::failure(
            Utils::ErrorType::Unavailable, "the server refused the connection", address);
    if (error)
        co_return Utils::failure(Utils::ErrorType::Timeout, "cannot connect", error.message());
    stream.socket().set_option(Tcp::no_delay(true), error);
    co_return Utils::success();
}

// Returns whether the connection may be used again, or an error after which it must be closed.
auto exchange(TcpStream &stream,
              const http::request<http::string_body> &message,
              SteadyTime deadline,
              HttpResponse &response) -> Task<Utils::Result<bool>>
{
    boost::system::error_code error;
    stream.expires_at(deadline);
    co_await http::async_write(stream, message, asio::redirect_error(useAwaitable, error));
    if (error)
        co_return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                                 "the connection failed while the request was sent",
                                 error.message());
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumResponseBytes);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(useAwaitable, error));
    if (error)
        co_return Utils::failure(
            Utils::ErrorType::OutcomeUnknown, "no response to the request", error.message());
    const auto reusable = parser.get().keep_alive() && buffer.size() == 0;
    response = convert(parser.release());
    co_return reusable;
}

} // namespace

// Holds one of the concurrent calls to a server. The last slot removes the entry of the server.
class HttpClient::Slot
{
public:
    Slot(HttpClient &client, std::string address)
        : m_servers(client.m_servers)
        , m_address(std::move(address))
        , m_server((*m_servers)[m_address].lock())
    {
        if (!m_server) {
            m_server = std::make_shared<Server>(client.m_loop);
            (*m_servers)[m_address] = m_server;
        }
    }
    ~Slot()
    {
        if (m_taken) {
            --m_server->calls;
            m_server->freed.notify();
        }
        if (m_server.use_count() == 1)
            m_servers->erase(m_address);
    }
    Slot(const Slot &) = delete;
    auto operator=(const Slot &) -> Slot & = delete;

    // Waits until fewer than "limit" calls are in progress; returns false after the deadline.
    auto take(int limit, SteadyTime deadline) -> Task<bool>
    {
        while (m_server->calls >= limit) {
            const auto now = std::chrono::steady_clock::now();
            if (now >= deadline)
                co_return false;
            co_await m_server->freed.waitFor(
                std::chrono::ceil<Utils::Milliseconds>(deadline - now));
        }
        ++m_server->calls;
        m_taken = true;
        co_return true;
    }

private:
    std::shared_ptr<Servers> m_servers;
    std::string m_address;
    std::shared_ptr<Server> m_server;
    bool m_taken = false;
};

HttpClient::HttpClient(asio::io_context &loop,
                       int connectionsPerServer,
                       std::shared_ptr<ConnectionPool> connections)
    : m_loop(loop)
    , m_connectionsPerServer(connectionsPerServer)
    , m_connections(std::move(connections))
    , m_servers(std::make_shared<Servers>())
{}

HttpClient::~HttpClient() = default;

Introduction::~Introduction() = default;

auto HttpClient::call(std::string address,
                      HttpRequest request,
                      Utils::Milliseconds timeout,
                      bool repeatable,
                      Introduction *introduction) -> Task<Utils::Result<HttpResponse>>
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    Slot slot(*this, address);
    const auto hasSlot = co_await slot.take(m_connectionsPerServer, deadline);
    if (!hasSlot)
        co_return Utils::failure(
            Utils::ErrorType::Timeout, "too many calls to the server are in progress", address);
    const Call call{address, convert(request, address), deadline, introduction};
    const auto peer = call.peer();
    auto idle = m_connections->takeIdle(address, peer);
    if (!idle)
        co_return co_await callOnNewConnection(call);
    const auto first = co_await exchangeOn(std::move(idle), call, peer);
    if (first || !repeatable || std::chrono::steady_clock::now() >= deadline)
        co_return first;
    // The server has probably closed its other idle connections as well.
    m_connections->closeIdle(address);
    auto second = co_await callOnNewConnection(call);
    if (!second)
        co_return Utils::failure(
            Utils::ErrorType::OutcomeUnknown, "no response to the request", second.error().message);
    second.value().repeated = true;
    co_return second;
}

auto HttpClient::callOnNewConnection(const Call &call) -> Task<Utils::Result<HttpResponse>>
{
    auto connection = co_await m_connections->makeConnection(call.deadline);
    if (!connection)
        co_return Utils::failure(
            Utils::ErrorType::Timeout, "too many connections are in use", call.address);
    const auto connected = co_await connect(*connection, call.address, call.deadline);
    if (!connected)
        co_return connected.error();
    std::string peer;
    const auto question = call.question();
    if (!question)
        co_return co_await exchangeOn(std::move(connection), call, peer);
    const auto message = convert(*question, call.address);
    HttpResponse response;
    const auto reusable = co_await exchange(*connection, message, call.deadline, response);
    response.introductory = true;
    if (!reusable)
        co_return Utils::failure(
            Utils::ErrorType::Timeout, "no response to the introduction", reusable.error().details);
    peer = call.introduction->identify(response, peer);
    if (peer != call.peer()) {
        if (reusable.value())
            keep(std::move(connection), call, peer);
        co_return response;
    }
    if (!reusable.value())
        co_return Utils::failure(
            Utils::ErrorType::Timeout, "the server keeps no connection open", call.address);
    co_return co_await exchangeOn(std::move(connection), call, peer);
}

// Sends the request on a connection on which "peer" has answered; empty if it is new.
auto HttpClient::exchangeOn(ConnectionPool::Connection connection,
                            const Call &call,
                            std::string peer) -> Task<Utils::Result<HttpResponse>>
{
    HttpResponse response;
    const auto reusable = co_await exchange(*connection, call.message, call.deadline, response);
    if (!reusable)
        co_return reusable.error();
    if (call.introduction != nullptr)
        peer = call.introduction->identify(response, peer);
    if (reusable.value())
        keep(std::move(connection), call, peer);
    co_return response;
}

auto HttpClient::keep(ConnectionPool::Connection connection,
                      const Call &call,
                      const std::string &peer) -> void
{
    if (call.introduction == nullptr || !peer.empty())
        m_connections->putBack(call.address, std::move(connection), peer);
}

} // namespace AsyncNet
