#pragma once

#include "asyncnet/httplistener.h"
#include "platform/nodesettings.h"
#include "utils/metrics.h"

#include <boost/asio/signal_set.hpp>

#include <functional>

namespace App {

/*! \brief Event loop, signal handling, metrics and reloadable settings of a platform process. */
class PlatformProcess
{
public:
    explicit PlatformProcess(Platform::NodeSettings settings);

    auto loop() -> AsyncNet::asio::io_context & { return m_loop; }
    auto metrics() -> Utils::Metrics & { return m_metrics; }
    /*! \brief Returns the budget of the HTTP listeners for requests and responses. */
    auto clientBudget() const -> const std::shared_ptr<Utils::ByteBudget> &
    {
        return m_clientBudget;
    }
    /*! \brief Lets \a listener use the budget, and counts what it refuses. */
    auto confine(AsyncNet::HttpListener &listener) -> void;
    auto settings() const -> const Platform::NodeSettings & { return m_settings; }

    /*! \brief Sets the function that is called when a reload finds changed settings. */
    auto onReload(std::function<void(const Platform::NodeSettings &)> reloaded) -> void;
    /*! \brief Runs the loop until \a stop, which is called on SIGTERM or SIGINT, has finished. */
    auto run(std::function<AsyncNet::Task<void>()> stop) -> void;

private:
    auto awaitStop(std::function<AsyncNet::Task<void>()> stop) -> AsyncNet::Task<void>;
    auto awaitReloadSignals() -> AsyncNet::Task<void>;
    auto watchFile() -> AsyncNet::Task<void>;
    auto showMetrics(AsyncNet::HttpRequest request) -> AsyncNet::Task<AsyncNet::HttpResponse>;
    auto reload() -> void;

    AsyncNet::asio::io_context m_loop{1};
    Platform::NodeSettings m_settings;
    std::shared_ptr<Utils::ByteBudget> m_clientBudget;
    Utils::Metrics m_metrics;
    AsyncNet::HttpListener m_metricsListener;
    AsyncNet::asio::signal_set m_stopSignals{m_loop, SIGTERM, SIGINT};
    AsyncNet::asio::signal_set m_reloadSignals{m_loop, SIGHUP};
    std::function<void(const Platform::NodeSettings &)> m_reloaded;
};

} // namespace App
