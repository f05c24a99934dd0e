#include "httpserver.h"

#include "utils/address.h"
#include "utils/log.h"
#include "utils/taskarena.h"

#include <httplib.h>

#include <array>
#include <thread>

namespace Entry {
namespace {

constexpr std::size_t keepAliveRequests = 1'000'000;
constexpr auto jsonType = "application/json";

// Runs each accepted connection as a task of an arena.
class ArenaTaskQueue final : public httplib::TaskQueue
{
public:
    ArenaTaskQueue(const std::string &name, int slots)
        : m_arena(name, slots)
    {}
    auto enqueue(std::function<void()> task) -> void override { m_arena.enqueue(std::move(task)); }
    auto shutdown() -> void override { m_arena.waitForAll(); }

private:
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
    HttpServerOptions options;
    httplib::Server server;
    int port = 0;
    std::jthread acceptor;
};

HttpServer::HttpServer(HttpServerOptions options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
    auto &server = d->server;
    server.new_task_queue = [this] {
        return new ArenaTaskQueue(d->options.name, d->options.connections);
    };
    server.set_payload_max_length(std::size_t(d->options.bodyBytes));
    server.set_read_timeout(d->options.slowClientTimeout);
    server.set_write_timeout(d->options.slowClientTimeout);
    server.set_keep_alive_max_count(keepAliveRequests);
    server.set_tcp_nodelay(true);
}

HttpServer::~HttpServer()
{
    stop();
}

auto HttpServer::routes() -> httplib::Server &
{
    return d->server;
}

auto HttpServer::start() -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(address, Utils::parseAddress(d->options.address));
    if (address.port == 0)
        d->port = d->server.bind_to_any_port(address.host);
    else
        d->port = d->server.bind_to_port(address.host, address.port) ? address.port : -1;
    if (d->port < 0) {
        return Utils::failure(Utils::ErrorType::IoFailure,
                              "cannot listen for " + d->options.name,
                              d->options.address);
    }
    d->acceptor = std::jthread([this] { d->server.listen_after_bind(); });
    Utils::Log::info("entry", "listening", {{"listener", d->options.name}, {"port", d->port}});
    return Utils::success();
}

auto HttpServer::stop() -> void
{
    if (!d->acceptor.joinable())
        return;
    while (!d->server.is_running())
        std::this_thread::yield();
    d->server.stop();
    d->acceptor.join();
}

auto HttpServer::port() const -> int
{
    return d->port;
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
