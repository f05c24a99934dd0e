#include "zoneendpoint.h"

namespace {
constexpr std::chrono::milliseconds announceInterval{300};
constexpr std::chrono::milliseconds runTime{5};
} // namespace

auto RunRecord::add(const std::string &requestId, const std::string &body) -> void
{
    const std::scoped_lock lock(m_mutex);
    ++m_runs[body];
    m_requests.insert(requestId);
}

auto RunRecord::runsOf(const std::string &body) const -> int
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_runs.find(body);
    return found == m_runs.end() ? 0 : found->second;
}

auto RunRecord::reached(const std::string &requestId) const -> bool
{
    const std::scoped_lock lock(m_mutex);
    return m_requests.contains(requestId);
}

ZoneEndpoint::ZoneEndpoint(const Cluster &cluster, int zone, RunRecord &record)
    : m_cluster(cluster)
    , m_zone(zone)
    , m_record(record)
{
    const auto run = [this](const httplib::Request &http, httplib::Response &response) {
        const auto requestId = http.get_header_value("Trefoilshelf-Request-Id");
        m_record.add(requestId, http.body);
        std::this_thread::sleep_for(runTime);
        response.set_header("Trefoilshelf-Request-Id", requestId);
        response.set_content("ran " + http.body, "text/plain");
    };
    m_server.Post("/.*", run).Get("/.*", run);
    m_port = m_server.bind_to_any_port("127.0.0.1");
    m_serving = std::jthread([this] { m_server.listen_after_bind(); });
    m_announcing = std::jthread([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            announce();
            std::this_thread::sleep_for(announceInterval);
        }
    });
}

ZoneEndpoint::~ZoneEndpoint()
{
    m_announcing.request_stop();
    m_announcing.join();
    m_server.stop();
}

auto ZoneEndpoint::announce() -> void
{
    const auto name = std::to_string(m_zone);
    for (auto index = 0; index < m_cluster.size(); ++index) {
        const auto &process = m_cluster.process(index);
        if (process.zone != m_zone)
            continue;
        const Utils::Json body{{"service", "dispatch"},
                               {"address", "127.0.0.1:" + std::to_string(m_port)},
                               {"host", "host-" + name},
                               {"rack", "rack-" + name},
                               {"zone", "z" + name},
                               {"slots", 64},
                               {"connections", 64},
                               {"incarnation", 1},
                               {"sequence", ++m_sequence},
                               {"state", "serving"},
                               {"in_flight", 0}};
        httplib::Client client("127.0.0.1", process.endpoints);
        client.set_connection_timeout(std::chrono::seconds(1));
        client.set_read_timeout(std::chrono::seconds(1));
        client.Post("/v1/endpoints/e-" + name + "/announce", body.dump(), "application/json");
    }
}
