#pragma once

#include "httpserver.h"
#include "startgate.h"

#include "replication/replicatedlog.h"
#include "utils/metrics.h"

#include <atomic>
#include <vector>

namespace Entry {

/*! \brief Dependencies of ProbeInterface. */
struct ProbeContext
{
    std::string process;
    std::string zone;
    const Replication::ReplicatedLog &log;
    Utils::Metrics &metrics;
    const std::atomic<bool> &stopping;
    std::vector<const HttpServer *> listeners; //!< Listeners whose open connections are reported.
    StartGate *startGate = nullptr;            //!< Optional gate that must be open for readiness.
};

/*!
    \brief Serves /healthz, /readyz and /metrics.

    A process is ready if it is not stopping and its start gate is open. Without a start gate, it
    must have a quorum or have applied a revision. A process that loses the quorum later stays
    ready, since it still serves idempotent requests of its zone; the body of /readyz reports
    whether there is a quorum.
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
