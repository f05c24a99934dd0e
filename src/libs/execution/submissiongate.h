#pragma once

#include "poolbacklog.h"
#include "ports.h"

#include "accounts/submissionrates.h"
#include "control/configuration.h"
#include "jobs/jobtable.h"
#include "scheduling/admission.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace Execution {

/*! \brief The hosts of each pool beyond those that serve it. */
struct HostOutlook
{
    std::map<std::string, std::int64_t> arriving; //!< Hosts on their way to a pool.
};

/*! \brief The decision on one submission. */
struct SubmissionDecision
{
    Scheduling::Admission admission;
    bool beyondRate = false;
};

/*!
    \brief Decides on the submissions of client accounts, for one term of a leader.

    Answers the load of accounts that submit more than they are owed, or more than can be done. Between
    two updates, accepted jobs count at once, so that a burst within the interval is seen. A decision
    takes a time that depends on the number of priorities and steps, and not on that of the jobs. What is
    kept is bounded by the number of accounts and pools and by the memory that accepted jobs may occupy. Acts only where the
    configuration has client accounts. Has no I/O and reads no clock.
*/
class SubmissionGate
{
public:
    explicit SubmissionGate(Accounts::RateTerms rates);

    /*!
        \brief Decides on a job whose steps are expected to take \a durationsMs.

        An accepted job counts from now on; settled() is to be called with the result of its commit.
        Jobs that are repeated or long-running and those of public queues are never refused, and neither
        use up the rate of their account nor exceed it. A job
        that is being committed, or whose commit has no known outcome, gets the same decision again and
        counts once: an earlier submission of it may still take effect.
    */
    auto decide(const Jobs::JobSpec &job,
                std::span<const std::int64_t> durationsMs,
                const Control::Configuration &configuration,
                Utils::Instant now,
                std::int64_t wallMs) -> SubmissionDecision;
    /*! \brief Handles the result of a commit. A job does not count if none of its commits took effect. */
    auto settled(const std::string &job, CommitResult result) -> void;
    /*! \brief Takes over the work and the hosts as of \a now, when \a jobs were committed. */
    auto update(Backlog backlog,
                const HostOutlook &hosts,
                const Jobs::JobTable &jobs,
                Utils::Instant now) -> void;

    /*! \brief Returns the time until the work of a pool is worked off, in milliseconds. */
    auto backlogMs(const std::string &pool, bool withBeyondRate) const -> double;
    auto pools() const -> const std::map<std::string, PoolBacklog> & { return m_backlog.pools; }

private:
    /*! \brief An accepted job that is being committed, or was since the last update, or may be yet. */
    struct Pending
    {
        std::string account;
        Utils::Instant countedAt;
        bool beyondRate = false;
        bool counted = false;   //!< It uses up the rate of its account.
        int commits = 1;        //!< Commits in progress; copies of a submission have their own.
        bool committed = false; //!< A commit took effect.
        bool mayBeCommitted = false; //!< The outcome of a commit is unknown.
        std::string pool;
        WorkClass workClass;
        std::int64_t objectiveAtMs = 0;
        Utils::Milliseconds objective{0}; //!< Time from countedAt until objectiveAtMs.
        double workMs = 0;
        Jobs::Resources firstTasks;
        std::int64_t bytes = 0;
    };
    struct Inflow
    {
        double workMs = 0; //!< Owed work that was accepted since the last update.
        double hosts = 0;  //!< Hosts that such work has occupied, on average over the rate window.
    };

    auto pendingOf(const Jobs::JobSpec &job,
                   std::span<const std::int64_t> durationsMs,
                   const Jobs::QueueTerms &terms,
                   std::int64_t chainMs,
                   std::int64_t wallMs) const -> Pending;
    auto loadFor(const Jobs::JobSpec &job, const Pending &pending) const
        -> Scheduling::AdmissionLoad;
    auto count(const Pending &pending) -> void;
    auto countPending(const Jobs::JobTable &jobs, Utils::Instant now) -> void;
    auto syncAccounts(const Control::Configuration &configuration) -> void;
    auto updateInflows(Utils::Instant now) -> void;

    const Utils::Milliseconds m_rateWindow;
    const bool m_refuses; //!< See RateTerms::refuses.
    Accounts::SubmissionRates m_rates;
    std::int64_t m_accountsVersion = -1; //!< Version of the configuration that m_rates reflects.
    Backlog m_backlog;
    HostOutlook m_hosts;
    std::map<std::string, Inflow> m_inflows;  //!< By pool.
    std::map<std::string, Pending> m_pending; //!< By id of the job.
    Utils::Instant m_updatedAt;
};

} // namespace Execution
