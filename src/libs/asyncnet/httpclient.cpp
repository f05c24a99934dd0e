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

auto HttpClient::call(std::string address,
                      HttpRequest request,
                      Utils::Milliseconds timeout,
                      bool repeatable) -> Task<Utils::Result<HttpResponse>>
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    Slot slot(*this, address);
    const auto hasSlot = co_await slot.take(m_connectionsPerServer, deadline);
    if (!hasSlot)
        co_return Utils::failure(
            Utils::ErrorType::Timeout, "too many calls to the server are in progress", address);
    const auto message = convert(request, address);
    HttpResponse response;
    auto sentBefore = false;
    if (auto idle = m_connections->takeIdle(address)) {
        sentBefore = true;
        const auto result = co_await exchange(*idle, message, deadline, response);
        if (result && result.value())
            m_connections->putBack(address, std::move(idle));
        if (result)
            co_return response;
        if (!repeatable || std::chrono::steady_clock::now() >= deadline)
            co_return result.error();
        // The server has probably closed its other idle connections as well.
        m_connections->closeIdle(address);
    }
    auto stream = co_await m_connections->makeConnection(deadline);
    if (!stream) {
        if (!sentBefore)
            co_return Utils::failure(
                Utils::ErrorType::Timeout, "too many connections are in use", address);
        co_return Utils::failure(Utils::ErrorType::OutcomeUnknown, "no response to the request");
    }
    const auto connected = co_await connect(*stream, address, deadline);
    if (!connected) {
        if (!sentBefore)
            co_return connected.error();
        co_return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                                 "no response to the request",
                                 connected.error().message);
    }
    const auto result = co_await exchange(*stream, message, deadline, response);
    if (!result)
        co_return result.error();
    if (result.value())
        m_connections->putBack(address, std::move(stream));
    response.repeated = sentBefore;
    co_return response;
}

} // namespace AsyncNet
