#include "httpserver.h"

#include "connectionserver.h"

#include "utils/address.h"
#include "utils/log.h"
#include "utils/taskarena.h"

#include <array>
#include <thread>

namespace Entry {
namespace {

constexpr std::size_t keepAliveRequests = 1'000'000;
constexpr std::size_t maximumHeaderBytes = 64 * 1024;
constexpr std::chrono::milliseconds keptConnectionTimeout{60'000};
constexpr auto jsonType = "application/json";

// Runs each accepted connection as a task of an arena.
class ArenaTaskQueue final : public httplib::TaskQueue
{
public:
    ArenaTaskQueue(Internal::ConnectionServer &server, const std::string &name, int slots)
        : m_server(server)
        , m_arena(name, slots)
    {
        m_server.setHasWaiting([this] { return m_arena.running() > m_arena.slots(); });
    }
    ~ArenaTaskQueue() override { m_server.setHasWaiting({}); }
    auto enqueue(std::function<void()> task) -> void override
    {
        m_arena.enqueue(std::move(task));
        if (m_arena.running() > m_arena.slots())
            m_server.closeOldestIdle();
    }
    auto shutdown() -> void override { m_arena.waitForAll(); }

private:
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
                  keptConnectionTimeout,
                  std::size_t(options.bodyBytes) + maximumHeaderBytes})
    {}

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
    server.set_payload_max_length(std::size_t(m_d->options.bodyBytes));
    server.set_keep_alive_max_count(keepAliveRequests);
    server.set_tcp_nodelay(true);
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
    m_d->acceptor = std::jthread([this] { m_d->server.listen_after_bind(); });
    Utils::Log::info("entry", "listening", {{"listener", m_d->options.name}, {"port", m_d->port}});
    return Utils::success();
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

auto HttpServer::port() const -> int
{
    return m_d->port;
}

auto setError(httplib::Response &response, const Utils::Error &error) -> void
{
    response.status = statusOf(error.type);
    setJson(response,
            {{"error",
              {{"type", std::string(Utils::errorTypeName(error.type))},
               {"message", error.message},
               {"details", error.details}}}});
}

auto setJson(httplib::Response &response, const Utils::Json &json) -> void
{
    response.set_content(json.dump(-1, ' ', false, Utils::Json::error_handler_t::replace),
                         jsonType);
}

} // namespace Entry
