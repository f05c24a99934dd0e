#pragma once

#include "soakkeys.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Soak {

/*! \brief A job that a caller submits. Its steps run one after the other. */
struct SoakJob
{
    std::string id;
    std::vector<std::int64_t> widths; //!< Number of tasks in each step.
    std::int64_t taskMs = 100;
};

/*!
    \brief Records what callers and endpoints observe and reports violated guarantees of the system.

    Times are in milliseconds since the start of the soak.
*/
class GuaranteeChecker
{
public:
    explicit GuaranteeChecker(std::int64_t accountTasks = quotaTasks)
        : m_accountTasks(accountTasks)
    {}

    auto submitted(const SoakJob &job) -> void;
    auto accepted(const std::string &id) -> void;
    /*! \brief Records that all attempts to submit the job were refused. */
    auto refused(const std::string &id) -> void;
    auto cancelSent(const std::string &id) -> void;
    auto cancelled(const std::string &id, std::int64_t nowMs) -> void;
    auto stateReported(const std::string &id, const std::string &state) -> void;
    auto reportedUnknown(const std::string &id, std::int64_t acceptedMs, std::int64_t nowMs)
        -> void;

    /*! \brief Records the start of a run; \a task has the form JOB.OCCURRENCE.STEP.INDEX. */
    auto started(const std::string &task, std::int64_t nowMs) -> void;
    /*! \brief Records that a run has ended, for whatever reason. */
    auto ended(const std::string &task) -> void;
    auto done(const std::string &task) -> void;
    /*! \brief Records that the system has acknowledged the end \c done of the task. */
    auto doneRecorded(const std::string &task) -> void;

    auto configurationAccepted(std::int64_t version, std::int64_t nowMs) -> void;
    /*! \brief Records that a read sent at \a sentMs returned this version. */
    auto configurationRead(std::int64_t version, std::int64_t sentMs) -> void;
    /*! \brief Records that a request with \a key, sent at \a sentMs, was answered with success. */
    auto served(const SoakKey &key, std::int64_t sentMs) -> void;
    auto newestAcceptedVersion() const -> std::int64_t;

    auto processEnded(const std::string &id, const std::string &how) -> void;
    auto fail(std::string text) -> void;

    auto job(const std::string &id) const -> const SoakJob *;
    /*! \brief Returns the accepted jobs that were neither cancelled nor reported as done. */
    auto unfinishedJobs() const -> std::vector<std::string>;
    auto violations() const -> const std::vector<std::string> & { return m_violations; }
    auto starts() const -> std::int64_t { return m_starts; }
    auto doneJobs() const -> std::size_t { return m_doneJobs.size(); }

private:
    std::int64_t m_accountTasks; //!< Tasks that may run at the same time.
    std::map<std::string, SoakJob> m_jobs;
    std::set<std::string> m_accepted;
    std::set<std::string> m_refused;
    std::set<std::string> m_cancelSent;
    std::map<std::string, std::int64_t> m_cancelledMs;
    std::set<std::string> m_doneJobs;
    std::set<std::string> m_startedJobs;
    std::map<std::string, int> m_running; //!< Number of current runs of each task.
    std::map<std::string, std::set<std::string>>
        m_doneTasks; //!< Done tasks by JOB.OCCURRENCE.STEP.
    std::set<std::string> m_recordedTasks;
    std::map<std::int64_t, std::int64_t> m_acceptedVersions; //!< Time of acceptance by version.
    std::vector<std::string> m_violations;
    std::int64_t m_starts = 0;
    std::int64_t m_runningTasks = 0;
};

} // namespace Soak
