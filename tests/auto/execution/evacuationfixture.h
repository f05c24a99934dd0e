#pragma once

#include "ledgerfixture.h"

#include "execution/hostmoveplan.h"
#include "execution/maintenanceplan.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ExecutionTest {

/*! \brief Hosts whose endpoints report the runs that the test puts there, and the plans that concern them. */
class EvacuationFixture
{
public:
    static constexpr std::int64_t wallMs = 1'700'000'000'000;
    static constexpr auto otherPool = "other";
    //! A stop is over after this time, also one of a former leader.
    static constexpr Utils::Milliseconds longerThanAStop{600};
    static constexpr Utils::Milliseconds passInterval{100};

    auto addEndpoint(const std::string &id, const std::string &pool = LedgerFixture::defaultPool)
        -> void;
    auto addHostInMaintenance(const std::string &pool) -> void;
    /*! \brief Lets the task run on the endpoint, ready since before the first poll. */
    auto run(const std::string &endpoint, const Jobs::TaskId &task) -> void;
    auto run(const std::string &endpoint, const Jobs::TaskId &task, std::int64_t number) -> void;
    auto begin() -> void;
    /*! \brief Lets all endpoints that are not silent reply to a poll. */
    auto pollAll() -> void;
    /*! \brief Lets the newest run on the endpoint end as done. */
    auto endNewest(const std::string &endpoint) -> void;
    /*! \brief Closes the endpoint and has it evacuated for the maintenance of its host. */
    auto evacuate(const std::string &endpoint) -> void;
    auto stops() -> std::vector<Execution::StopOrder> { return ledger.schedule().stops; }
    /*! \brief Lets the stop end its run, and all endpoints reply to a poll once it is over. */
    auto carryOut(const Execution::StopOrder &stop) -> void;
    /*! \brief Lets the pending stops end their runs that are due. */
    auto carryOutDue() -> void;
    auto unplacedHosts() -> double;
    /*! \brief Plans moves, and carries out what concerns the ledger. */
    auto planMoves() -> Execution::HostMoves;
    /*! \brief Lets the host join its new pool at once, with another endpoint. */
    auto move(const Execution::MoveStep &step) -> void;
    auto addWave(const std::vector<std::string> &endpoints, std::int64_t atOnce) -> void;
    /*! \brief Plans maintenance, and carries out what concerns the ledger, as the leader does. */
    auto planMaintenance() -> Execution::MaintenanceWork;

    LedgerFixture ledger;
    Execution::HostList hosts;
    std::set<std::string> silent;
    std::vector<std::pair<Utils::Instant, Execution::StopOrder>> pending; //!< Stops on their way.

private:
    static constexpr std::int64_t mostMoves = 10;

    auto endRun(const Execution::StopOrder &stop) -> void;

    std::map<std::string, std::vector<Execution::RunningTask>> m_runs; //!< By endpoint.
    std::map<std::string, std::int64_t> m_ends;
    std::int64_t m_lastRun = 0;
    std::int64_t m_moved = 0;
    Execution::HostMovePlan m_plan;
    Execution::MaintenancePlan m_maintenance;
    Utils::Instant m_waveBegan;
};

} // namespace ExecutionTest
