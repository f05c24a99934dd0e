#pragma once

#include "cluster.h"

#include <httplib.h>

#include <map>
#include <set>

/*! \brief Records, thread-safe, the requests that reached the endpoints of a test. */
class RunRecord
{
public:
    auto add(const std::string &requestId, const std::string &body) -> void;
    auto runsOf(const std::string &body) const -> int;
    auto reached(const std::string &requestId) const -> bool;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs; //!< Number of runs by body, which is the caller's key.
    std::set<std::string> m_requests;
};

/*! \brief An endpoint of one zone that announces itself and echoes request bodies. */
class ZoneEndpoint
{
public:
    ZoneEndpoint(const Cluster &cluster, int zone, RunRecord &record);
    ~ZoneEndpoint();
    ZoneEndpoint(const ZoneEndpoint &) = delete;
    auto operator=(const ZoneEndpoint &) -> ZoneEndpoint & = delete;

private:
    auto announce() -> void;

    const Cluster &m_cluster;
    int m_zone;
    RunRecord &m_record;
    httplib::Server m_server;
    int m_port = 0;
    std::int64_t m_sequence = 0;
    std::jthread m_serving;
    std::jthread m_announcing;
};
