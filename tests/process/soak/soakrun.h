#pragma once

#include "faultrelay.h"
#include "promises.h"
#include "standinendpoint.h"
#include "systemprocess.h"

#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Soak {

/*! \brief Of the soak's callers and operators, to all processes together. */
inline constexpr std::size_t mostConnections = 512;

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::int64_t seconds = 20; //!< With faults; the system then has time to recover.
    int controls = 3;
    int entries = 2;
    int endpoints = 6;
    std::int64_t jobsPerS = 8;
    bool faults = true;
    std::filesystem::path folder;
};

/*!
    \brief One soak: real processes behind relays, stand-in endpoints, callers and an operator.

    Faults come at random, overlap and go on while clients keep their connections. Then all is
    healed, and what was accepted has to be done.
*/
class SoakRun
{
public:
    explicit SoakRun(SoakOptions options);

    /*! \brief Plays the soak; returns what broke a promise. */
    auto play() -> std::vector<std::string>;
    auto promises() const -> const Promises & { return m_promises; }

private:
    struct Fault
    {
        std::string_view name;
        auto(SoakRun::*strike)() -> AsyncNet::Task<void>;
    };

    auto createProcesses() -> void;
    auto addProcess(const std::string &role, int index) -> void;
    auto direct() -> AsyncNet::Task<void>;
    auto strikeFaults() -> AsyncNet::Task<void>;
    auto strike(Fault fault) -> AsyncNet::Task<void>;
    auto killProcess() -> AsyncNet::Task<void>;
    auto stopProcess() -> AsyncNet::Task<void>;
    auto pauseProcess() -> AsyncNet::Task<void>;
    auto wipeControl() -> AsyncNet::Task<void>;
    auto killAllControls() -> AsyncNet::Task<void>;
    auto disturbLink() -> AsyncNet::Task<void>;
    auto resetLink() -> AsyncNet::Task<void>;
    auto crashEndpoint() -> AsyncNet::Task<void>;
    auto delayOrders() -> AsyncNet::Task<void>;
    auto serveHosts(AsyncNet::HttpRequest request) -> AsyncNet::Task<AsyncNet::HttpResponse>;
    auto callers() -> AsyncNet::Task<void>;
    auto callJob(std::string id, bool cancels) -> AsyncNet::Task<void>;
    auto submitJob(std::string id) -> AsyncNet::Task<bool>;
    auto follow(std::string id, std::int64_t acceptedMs, bool cancels) -> AsyncNet::Task<void>;
    auto cancel(std::string id) -> AsyncNet::Task<void>;
    auto callEntry(std::string method, std::string id, std::string body)
        -> AsyncNet::Task<Utils::Result<AsyncNet::HttpResponse>>;
    auto operate() -> AsyncNet::Task<void>;
    auto putConfiguration(std::int64_t version) -> AsyncNet::Task<bool>;
    auto readConfiguration() -> AsyncNet::Task<std::int64_t>;
    auto watchProcesses() -> AsyncNet::Task<void>;
    auto addEndpoint(const std::string &host) -> void;
    auto pickProcess() -> SystemProcess &;
    auto heal() -> void;
    auto checkEnd() -> AsyncNet::Task<void>;

    SoakOptions m_options;
    std::mt19937_64 m_engine;
    AsyncNet::asio::io_context m_loop;
    Promises m_promises;
    SoakWorld m_world{m_loop, m_promises, m_engine};
    AsyncNet::HttpClient m_client{
        m_loop, 64, std::make_shared<AsyncNet::ConnectionPool>(m_loop, mostConnections)};
    AsyncNet::HttpListener m_hosts;
    std::vector<std::string> m_controls; //!< Addresses for operators and endpoints.
    std::vector<std::string> m_entries;  //!< Addresses for callers.
    std::vector<std::unique_ptr<SystemProcess>> m_processes; //!< Controls first.
    std::vector<std::shared_ptr<FaultRelay>> m_links;        //!< To the processes, several each.
    std::vector<std::shared_ptr<StandInEndpoint>> m_endpoints;
    std::vector<std::shared_ptr<StandInEndpoint>> m_crashed;
    std::int64_t m_lastWipeMs = -1'000'000;
    int m_faultsInProgress = 0;
    int m_jobsInProgress = 0;
    bool m_healed = false;
    bool m_ended = false;
    std::string m_network; //!< First half of the addresses.
    int m_subnet;          //!< Third number of the processes' own addresses.
};

} // namespace Soak
