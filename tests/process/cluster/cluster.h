#pragma once

#include "relay.h"

#include "utils/fields.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>

/*! \brief Waits until \a condition holds; returns false after 60 s. */
auto waitUntil(const std::function<bool()> &condition) -> bool;

/*! \brief One process of a test cluster. */
struct ClusterProcess
{
    std::string id;
    int zone = 0;
    bool voter = false;
    int callers = 0;
    int endpoints = 0;
    int operators = 0;
    int peers = 0;
    int pid = 0;
};

/*!
    \brief Nine processes of the product in three zones, with one voter in each.

    Processes of different zones reach each other over relays, one for each pair of calling
    zone and called process.
*/
class Cluster
{
public:
    static constexpr auto zones = 3;
    static constexpr auto processesPerZone = 3;

    explicit Cluster(const std::string &name);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    auto operator=(const Cluster &) -> Cluster & = delete;

    auto start(int process) -> void;
    /*!
        \brief Sends \a signal to the process and waits for its end.

        Returns the exit code, or -1 if a signal ended the process.
    */
    auto stop(int process, int signal) -> int;
    /*! \brief Cuts, in both directions, the connections that \a zone opens to other zones. */
    auto cutFrom(int zone) -> void;
    /*! \brief Cuts, in both directions, the connections that other zones open to \a zone. */
    auto cutTo(int zone) -> void;
    auto heal() -> void;

    auto process(int index) const -> const ClusterProcess & { return m_processes[index]; }
    auto size() const -> int { return int(m_processes.size()); }
    /*! \brief Returns the index of the leader that process \a asked reports, or -1. */
    auto leader(int asked) const -> int;
    auto leader() const -> int;
    /*! \brief Returns the JSON response to an operator's GET, or null. */
    auto read(int process, const std::string &path) const -> Utils::Json;
    /*! \brief Puts the contract; returns the acknowledged revision, or 0 on failure. */
    auto putContract(int process, int maxSlots) const -> std::int64_t;
    /*! \brief Returns the contract's revision at \a process, or -1 without a response. */
    auto contractRevision(int process) const -> std::int64_t;

private:
    auto writeSettings(const ClusterProcess &process) const -> void;
    auto settingsPath(const ClusterProcess &process) const -> std::string;
    auto peerAddress(const ClusterProcess &from, const ClusterProcess &to) const -> std::string;

    std::filesystem::path m_folder;
    std::vector<ClusterProcess> m_processes;
    std::vector<std::unique_ptr<Relay>> m_relays; //!< Indexed by calling zone, then called process.
};
