#include "probeinterface.h"

#include "utils/processusage.h"

#include <httplib.h>

namespace Entry {

ProbeInterface::ProbeInterface(ProbeContext context)
    : m_context(std::move(context))
{}

auto ProbeInterface::addProbes(HttpServer &server) -> void
{
    server.routes().Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        setJson(response, {{"alive", true}});
    });
    server.routes().Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        showReadiness(response);
    });
}

auto ProbeInterface::addMetrics(HttpServer &server) -> void
{
    server.routes().Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        showMetrics(response);
    });
}

auto ProbeInterface::showReadiness(httplib::Response &response) const -> void
{
    constexpr auto serviceUnavailable = 503;
    const auto status = m_context.log.status();
    const auto stopping = m_context.stopping.load();
    const auto ready = !stopping && (status.hasQuorum || status.appliedRevision > 0);
    setJson(response,
            {{"ready", ready},
             {"stopping", stopping},
             {"has_quorum", status.hasQuorum},
             {"applied_revision", status.appliedRevision},
             {"process", m_context.process},
             {"zone", m_context.zone}});
    if (ready)
        return;
    response.status = serviceUnavailable;
    response.set_header("Trefoilshelf-Outcome", "not-run");
}

auto ProbeInterface::showMetrics(httplib::Response &response) const -> void
{
    const auto usage = Utils::processUsage();
    const auto status = m_context.log.status();
    auto &metrics = m_context.metrics;
    metrics.set("trefoilshelf_resident_memory_bytes", {}, double(usage.residentBytes));
    metrics.set("trefoilshelf_threads", {}, double(usage.threads));
    metrics.set("trefoilshelf_open_files", {}, double(usage.openFiles));
    metrics.set("trefoilshelf_applied_revision", {}, double(status.appliedRevision));
    metrics.set("trefoilshelf_has_quorum", {}, status.hasQuorum ? 1 : 0);
    for (const auto *listener : m_context.listeners) {
        metrics.set("trefoilshelf_open_connections",
                    {{"listener", listener->name()}},
                    double(listener->openConnections()));
    }
    response.set_content(metrics.toPrometheusText(), "text/plain; version=0.0.4");
}

} // namespace Entry
