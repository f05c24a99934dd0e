#include "probeinterface.h"

#include "utils/processusage.h"

#include <httplib.h>

#include <array>

namespace Entry {

namespace {

struct MetricHelp
{
    const char *name;
    const char *help;
};

constexpr std::array metricHelps{
    MetricHelp{"trefoilshelf_applied_revision", "The last revision applied here."},
    MetricHelp{"trefoilshelf_has_quorum", "1 if this process is in contact with a majority."},
    MetricHelp{"trefoilshelf_http_refused_total",
               "Requests that a listener refused before a handler ran, by reason."},
    MetricHelp{"trefoilshelf_open_connections", "Connections that a listener serves."},
    MetricHelp{"trefoilshelf_open_files", "Open files and sockets of the process."},
    MetricHelp{"trefoilshelf_request_seconds", "Time from a request's head to its answer."},
    MetricHelp{"trefoilshelf_requests_total", "Callers' requests by outcome."},
    MetricHelp{"trefoilshelf_resident_memory_bytes", "Resident memory of the process."},
    MetricHelp{"trefoilshelf_routing_events_total", "Events of routing by kind and service."},
    MetricHelp{"trefoilshelf_threads", "Threads of the process."},
};

} // namespace

ProbeInterface::ProbeInterface(ProbeContext context)
    : m_context(std::move(context))
{
    for (const auto &entry : metricHelps)
        m_context.metrics.describe(entry.name, entry.help);
}

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
    const auto started = m_context.startGate ? m_context.startGate->isOpen()
                                             : status.hasQuorum || status.appliedRevision > 0;
    const auto ready = !stopping && started;
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
