#pragma once

#include "httpserver.h"
#include "startgate.h"

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
    StartGate *startGate = nullptr;            //!< Not ready while it is closed, if set.
};

/*!
    \brief Serves /healthz, /readyz and, to operators, /metrics.

    A process is ready while it is not stopping and its start gate is open. It stays ready
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
