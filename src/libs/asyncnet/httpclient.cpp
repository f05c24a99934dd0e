#include "httpclient.h"

#include "tcpaddress.h"

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

// Answers of servers are small but for lists of hosts.
constexpr std::uint64_t answerBytes = 16 * 1024 * 1024;

class HttpClient::Server
{
public:
    explicit Server(asio::io_context &loop)
        : freed(loop)
    {}

    std::vector<std::unique_ptr<beast::tcp_stream>> idle;
    int inUse = 0;
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

// Takes the place of a connection in use for the time of a call.
class Slot
{
public:
    Slot(int &inUse, Signal &freed)
        : m_inUse(inUse)
        , m_freed(freed)
    {
        ++m_inUse;
    }
    ~Slot()
    {
        --m_inUse;
        m_freed.notify();
    }
    Slot(const Slot &) = delete;
    auto operator=(const Slot &) -> Slot & = delete;

private:
    int &m_inUse;
    Signal &m_freed;
};

auto connect(beast::tcp_stream &stream, const std::string &address, SteadyTime deadline)
    -> Task<Utils::Result<void>>
{
    const auto server = parseTcpAddress(address);
    if (!server)
        co_return server.error();
    boost::system::error_code error;
    stream.expires_at(deadline);
    co_await stream.async_connect(server.value(), asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::connection_refused)
        co_return Utils::failure(
            Utils::ErrorType::Unavailable, "the connection was refused", address);
    if (error)
        co_return Utils::failure(Utils::ErrorType::Timeout, "cannot connect", error.message());
    stream.socket().set_option(Tcp::no_delay(true), error);
    co_return Utils::success();
}

// Returns whether the connection may be used again, or an error after which it must be closed.
auto exchange(beast::tcp_stream &stream,
              const http::request<http::string_body> &message,
              SteadyTime deadline,
              HttpResponse &response) -> Task<Utils::Result<bool>>
{
    boost::system::error_code error;
    stream.expires_at(deadline);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return Utils::failure(
            Utils::ErrorType::OutcomeUnknown, "the request was cut off", error.message());
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(answerBytes);
    co_await http::async_read(
        stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return Utils::failure(
            Utils::ErrorType::OutcomeUnknown, "no answer to the request", error.message());
    const auto keeps = parser.get().keep_alive() && buffer.size() == 0;
    response = convert(parser.release());
    co_return keeps;
}

} // namespace

HttpClient::HttpClient(asio::io_context &loop, int connectionsPerServer)
    : m_loop(loop)
    , m_connectionsPerServer(connectionsPerServer)
{}

HttpClient::~HttpClient() = default;

auto HttpClient::serverAt(const std::string &address) -> std::shared_ptr<Server>
{
    auto &server = m_servers[address];
    if (!server)
        server = std::make_shared<Server>(m_loop);
    return server;
}

auto HttpClient::call(std::string address,
                      HttpRequest request,
                      Utils::Milliseconds timeout,
                      bool repeatable) -> Task<Utils::Result<HttpResponse>>
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto server = serverAt(address);
    while (server->inUse >= m_connectionsPerServer) {
        co_await server->freed.waitFor(timeout);
        if (std::chrono::steady_clock::now() >= deadline)
            co_return Utils::failure(
                Utils::ErrorType::Timeout, "too many calls to the server are in progress", address);
    }
    const Slot slot(server->inUse, server->freed);
    const auto message = convert(request, address);
    HttpResponse response;
    auto sentBefore = false;
    if (!server->idle.empty()) {
        sentBefore = true;
        auto stream = std::move(server->idle.back());
        server->idle.pop_back();
        const auto kept = co_await exchange(*stream, message, deadline, response);
        if (kept && kept.value())
            server->idle.push_back(std::move(stream));
        if (kept)
            co_return response;
        if (!repeatable || std::chrono::steady_clock::now() >= deadline)
            co_return kept.error();
        // Others of the kept connections are likely to be closed too.
        server->idle.clear();
    }
    auto stream = std::make_unique<beast::tcp_stream>(m_loop);
    if (const auto connected = co_await connect(*stream, address, deadline); !connected) {
        if (!sentBefore)
            co_return connected.error();
        co_return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                                 "no answer to the request",
                                 connected.error().message);
    }
    const auto kept = co_await exchange(*stream, message, deadline, response);
    if (!kept)
        co_return kept.error();
    if (kept.value())
        server->idle.push_back(std::move(stream));
    co_return response;
}

} // namespace AsyncNet
