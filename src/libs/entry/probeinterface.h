#pragma once

#include "httpserver.h"

#include "replication/replicatedlog.h"
#include "utils/metrics.h"

#include <atomic>
#include <vector>

namespace Entry {

/*! \brief What the probes report about. */
struct ProbeContext
{
    std::string process;
    std::string zone;
    const Replication::ReplicatedLog &log;
    Utils::Metrics &metrics;
    const std::atomic<bool> &stopping;
    std::vector<const HttpServer *> listeners; //!< Whose connections are counted.
};

/*!
    \brief Serves /healthz, /readyz and, to operators, /metrics.

    A process is ready while it is not stopping and has applied some state. It stays ready
    without a quorum, since it then still answers idempotent requests of its zone; the body says so.
*/
class ProbeInterface
{
public:
    explicit ProbeInterface(ProbeContext context);

    auto addProbes(HttpServer &server) -> void;
    auto addMetrics(HttpServer &server) -> void;

private:
    auto showReadiness(httplib::Response &response) const -> void;
    auto showMetrics(httplib::Response &response) const -> void;

    ProbeContext m_context;
};

} // namespace Entry
