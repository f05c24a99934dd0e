#include "platformprocess.h"

#include "service/memorybudget.h"
#include "utils/log.h"

#include <csignal>

namespace App {
namespace {

// The settings file is checked periodically, because it may change without a SIGHUP.
constexpr Utils::Milliseconds fileCheckInterval{3000};
constexpr std::string_view metricsPath = "/metrics";
constexpr int statusNotFound = 404;

} // namespace

PlatformProcess::PlatformProcess(Platform::NodeSettings settings)
    : m_settings(std::move(settings))
    , m_clientBudget(
          std::make_shared<Utils::ByteBudget>(Service::divideMemory(m_settings.memoryMb).clients))
    , m_metricsListener(m_loop, "metrics", [this](AsyncNet::HttpRequest request) {
        return showMetrics(std::move(request));
    })
{
    std::signal(SIGPIPE, SIG_IGN);
    confine(m_metricsListener);
}

auto PlatformProcess::confine(AsyncNet::HttpListener &listener) -> void
{
    listener.shareBudget(m_clientBudget);
    listener.countRefusals(m_metrics);
}

auto PlatformProcess::onReload(std::function<void(const Platform::NodeSettings &)> reloaded) -> void
{
    m_reloaded = std::move(reloaded);
}

auto PlatformProcess::run(std::function<AsyncNet::Task<void>()> stop) -> void
{
    AsyncNet::start(m_loop, "stop signal", awaitStop(std::move(stop)));
    AsyncNet::start(m_loop, "reload signal", awaitReloadSignals());
    AsyncNet::start(m_loop, "settings file", watchFile());
    if (!m_settings.listen.metrics.empty()) {
        // A process that cannot serve metrics still serves its callers.
        if (const auto started = m_metricsListener.start(m_settings.listen.metrics); !started)
            Utils::Log::error("app", "cannot serve metrics", {{"reason", started.error().details}});
    }
    m_loop.run();
}

auto PlatformProcess::showMetrics(AsyncNet::HttpRequest request)
    -> AsyncNet::Task<AsyncNet::HttpResponse>
{
    if (request.target != metricsPath)
        co_return AsyncNet::plainResponse(statusNotFound);
    AsyncNet::HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = m_metrics.toPrometheusText();
    co_return response;
}

auto PlatformProcess::awaitStop(std::function<AsyncNet::Task<void>()> stop) -> AsyncNet::Task<void>
{
    boost::system::error_code error;
    const auto signal = co_await m_stopSignals.async_wait(
        AsyncNet::asio::redirect_error(AsyncNet::useAwaitable, error));
    Utils::Log::info("app", "stopping", {{"signal", signal}});
    co_await stop();
    Utils::Log::info("app", "stopped");
    m_loop.stop();
}

auto PlatformProcess::awaitReloadSignals() -> AsyncNet::Task<void>
{
    for (;;) {
        boost::system::error_code error;
        co_await m_reloadSignals.async_wait(
            AsyncNet::asio::redirect_error(AsyncNet::useAwaitable, error));
        if (error)
            co_return;
        reload();
    }
}

auto PlatformProcess::watchFile() -> AsyncNet::Task<void>
{
    for (;;) {
        co_await AsyncNet::pause(fileCheckInterval);
        reload();
    }
}

auto PlatformProcess::reload() -> void
{
    auto loaded = Platform::loadNodeSettings();
    if (!loaded) {
        Utils::Log::error(
            "app",
            "cannot read valid settings from the file; keeping the current settings",
            {{"reason", loaded.error().message}, {"details", loaded.error().details}});
        return;
    }
    if (loaded.value() == m_settings)
        return;
    m_settings = std::move(loaded.value());
    Utils::Log::info("app", "applied changed settings", {{"seeds", m_settings.seeds.size()}});
    if (m_reloaded)
        m_reloaded(m_settings);
}

} // namespace App
