#include "httpserver.h"

#include "connectionserver.h"

#include "utils/address.h"
#include "utils/log.h"
#include "utils/taskarena.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <exception>
#include <thread>

namespace Entry {
namespace {

constexpr std::size_t keepAliveRequests = 1'000'000;
constexpr auto unauthorized = 401;
constexpr auto jsonType = "application/json";

// Serves each accepted connection in a task of an arena.
class ArenaTaskQueue final : public httplib::TaskQueue
{
public:
    ArenaTaskQueue(Internal::ConnectionServer &server, const std::string &name, int slots)
        : m_server(server)
        , m_arena(name, slots)
    {
        m_server.setHasPending([this] { return m_arena.running() > m_arena.slots(); });
    }
    ~ArenaTaskQueue() override { m_server.setHasPending({}); }
    auto enqueue(std::function<void()> task) -> void override
    {
        if (m_arena.running() >= m_arena.slots() * connectionsPerSlot) {
            m_server.setRefusing(true);
            task();
            m_server.setRefusing(false);
            return;
        }
        m_arena.enqueue(std::move(task));
        if (m_arena.running() > m_arena.slots())
            m_server.closeOldestIdle();
    }
    auto shutdown() -> void override { m_arena.waitForAll(); }

private:
    // Each slot allows one connection that is served and one that waits. Further ones are refused.
    static constexpr auto connectionsPerSlot = 2;

    Internal::ConnectionServer &m_server;
    Utils::TaskArena m_arena;
};

struct StatusOfError
{
    Utils::ErrorType type;
    int status;
};

constexpr std::array errorStatuses{
    StatusOfError{Utils::ErrorType::InvalidInput, 400},
    StatusOfError{Utils::ErrorType::Unauthorized, 401},
    StatusOfError{Utils::ErrorType::Forbidden, 403},
    StatusOfError{Utils::ErrorType::NotFound, 404},
    StatusOfError{Utils::ErrorType::Conflict, 409},
    StatusOfError{Utils::ErrorType::Refused, 409},
    StatusOfError{Utils::ErrorType::Mismatch, 422},
    StatusOfError{Utils::ErrorType::LimitReached, 429},
    StatusOfError{Utils::ErrorType::OutcomeUnknown, 504},
    StatusOfError{Utils::ErrorType::Timeout, 504},
};

// Errors that the HTTP library detects itself. The first entry applies to all other statuses.
struct LibraryError
{
    int status;
    Utils::ErrorType type;
    std::string_view reason;
    const char *message;
};

constexpr std::array libraryErrors{
    LibraryError{400,
                 Utils::ErrorType::InvalidInput,
                 "bad-request",
                 "the request is incomplete or not valid HTTP"},
    LibraryError{404,
                 Utils::ErrorType::NotFound,
                 "unknown-path",
                 "this listener has no such path or method"},
    LibraryError{413, Utils::ErrorType::LimitReached, "body-bytes", "the body is too large"},
    LibraryError{414, Utils::ErrorType::LimitReached, "path-bytes", "the path is too long"},
};

auto errorBody(const Utils::Error &error) -> std::string
{
    const Utils::Json json{{"error",
                            {{"type", std::string(Utils::errorTypeName(error.type))},
                             {"message", error.message},
                             {"details", error.details}}}};
    return json.dump(-1, ' ', false, Utils::Json::error_handler_t::replace);
}

auto statusOf(Utils::ErrorType type) -> int
{
    constexpr auto serviceUnavailable = 503;
    for (const auto &entry : errorStatuses) {
        if (entry.type == type)
            return entry.status;
    }
    return serviceUnavailable;
}

} // namespace

class HttpServer::Private
{
public:
    explicit Private(HttpServerOptions serverOptions)
        : options(std::move(serverOptions))
        , server({options.slowClientTimeout,
                  options.idleConnectionTimeout,
                  std::size_t(options.headerBytes),
                  std::size_t(options.bodyBytes),
                  options.heldBytes},
                 [this](const Internal::Refusal &refusal) { return refuse(refusal); })
    {}

    auto count(std::string_view reason) const -> void
    {
        if (options.metrics) {
            options.metrics->count("trefoilshelf_http_refused_total",
                                   {{"listener", options.name}, {"reason", std::string(reason)}});
        }
    }

    auto refuse(const Internal::Refusal &refusal) const -> std::string
    {
        count(refusal.reason);
        const auto body = errorBody({Utils::ErrorType::LimitReached,
                                     "the request exceeds a limit of the listener",
                                     std::string(refusal.reason)});
        auto text = "HTTP/1.1 " + std::to_string(refusal.status) + " Refused\r\n";
        if (options.tellsOutcome)
            text += "Trefoilshelf-Outcome: not-run\r\nRetry-After: 1\r\n";
        return text + "Connection: close\r\nContent-Type: " + jsonType
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Adds the body to errors that the HTTP library detects. Errors of handlers already have one.
    auto completeError(const httplib::Request &request, httplib::Response &response) const -> void
    {
        if (response.status == unauthorized)
            count("unauthorized");
        if (!response.body.empty() || response.has_header("Trefoilshelf-Outcome"))
            return;
        const auto status = response.status;
        const auto error = std::ranges::find(libraryErrors, status, &LibraryError::status);
        const auto &found = error == libraryErrors.end() ? libraryErrors.front() : *error;
        count(found.reason);
        setError(response, {found.type, found.message, request.path});
        response.status = status;
        if (options.tellsOutcome) {
            response.set_header("Trefoilshelf-Outcome", "not-run");
            response.set_header("Retry-After", "1");
        }
    }

    // Reports an unknown outcome, since the handler may have changed state before it threw.
    auto reportException(const httplib::Request &request,
                         httplib::Response &response,
                         std::exception_ptr exception) const -> void
    {
        constexpr auto internalServerError = 500;
        std::string reason = "unknown";
        try {
            std::rethrow_exception(std::move(exception));
        } catch (const std::exception &caught) {
            reason = caught.what();
        } catch (...) {
        }
        Utils::Log::error("entry",
                          "a request handler threw an exception",
                          {{"listener", options.name}, {"path", request.path}, {"reason", reason}});
        count("internal-error");
        setError(
            response,
            {Utils::ErrorType::OutcomeUnknown, "the request failed with an internal error", {}});
        response.status = internalServerError;
        if (options.tellsOutcome)
            response.set_header("Trefoilshelf-Outcome", "unknown");
    }

    HttpServerOptions options;
    Internal::ConnectionServer server;
    int port = 0;
    std::jthread acceptor;
};

HttpServer::HttpServer(HttpServerOptions options)
    : m_d(std::make_unique<Private>(std::move(options)))
{
    auto &server = m_d->server;
    server.new_task_queue = [this] {
        return new ArenaTaskQueue(m_d->server, m_d->options.name, m_d->options.connections);
    };
    const httplib::Server::Handler errorHandler = [this](const auto &request, auto &response) {
        m_d->completeError(request, response);
    };
    server.set_error_handler(errorHandler);
    server.set_exception_handler([this](const httplib::Request &request,
                                        httplib::Response &response,
                                        std::exception_ptr exception) {
        m_d->reportException(request, response, std::move(exception));
    });
    server.set_keep_alive_timeout(
        std::chrono::duration_cast<std::chrono::seconds>(m_d->options.idleConnectionTimeout)
            .count());
    server.set_payload_max_length(std::size_t(m_d->options.bodyBytes));
    server.set_keep_alive_max_count(keepAliveRequests);
    server.set_tcp_nodelay(true);
    // The library sets SO_REUSEPORT by default, which would let a second process accept connections
    // on the same port.
    server.set_socket_options([](socket_t socket) {
        const auto enabled = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    });
}

HttpServer::~HttpServer()
{
    stop();
}

auto HttpServer::routes() -> httplib::Server &
{
    return m_d->server;
}

auto HttpServer::start() -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(address, Utils::parseAddress(m_d->options.address));
    if (address.port == 0)
        m_d->port = m_d->server.bind_to_any_port(address.host);
    else
        m_d->port = m_d->server.bind_to_port(address.host, address.port) ? address.port : -1;
    if (m_d->port < 0) {
        return Utils::failure(Utils::ErrorType::IoFailure,
                              "cannot listen for " + m_d->options.name,
                              m_d->options.address);
    }
    m_d->server.enlargeBacklog();
    m_d->acceptor = std::jthread([this] { m_d->server.listen_after_bind(); });
    Utils::Log::info("entry", "listening", {{"listener", m_d->options.name}, {"port", m_d->port}});
    return Utils::success();
}

auto HttpServer::endConnections() -> void
{
    m_d->server.endConnections();
}

auto HttpServer::openConnections() const -> int
{
    return m_d->server.openConnections();
}

auto HttpServer::stop() -> void
{
    if (!m_d->acceptor.joinable())
        return;
    while (!m_d->server.is_running())
        std::this_thread::yield();
    m_d->server.stop();
    m_d->server.closeIdle();
    m_d->acceptor.join();
}

auto HttpServer::name() const -> const std::string &
{
    return m_d->options.name;
}

auto HttpServer::port() const -> int
{
    return m_d->port;
}

auto setError(httplib::Response &response, const Utils::Error &error) -> void
{
    response.status = statusOf(error.type);
    response.set_content(errorBody(error), jsonType);
}

auto setJson(httplib::Response &response, const Utils::Json &json) -> void
{
    response.set_content(json.dump(-1, ' ', false, Utils::Json::error_handler_t::replace),
                         jsonType);
}

} // namespace Entry
