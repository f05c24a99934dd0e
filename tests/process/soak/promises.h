#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Soak {

/*! \brief A job that a caller hands in: steps that follow each other. */
struct SoakJob
{
    std::string id;
    std::vector<std::int64_t> widths; //!< Tasks of each step.
    std::int64_t taskMs = 100;
};

/*!
    \brief What callers and endpoints have seen, and what of it breaks a promise of the system.

    Times are milliseconds of the soak.
*/
class Promises
{
public:
    auto submitted(const SoakJob &job) -> void;
    auto accepted(const std::string &id) -> void;
    /*! \brief All tries of the job were answered with a refusal. */
    auto refused(const std::string &id) -> void;
    auto cancelSent(const std::string &id) -> void;
    auto cancelled(const std::string &id, std::int64_t nowMs) -> void;
    auto shown(const std::string &id, const std::string &state) -> void;
    auto notKnown(const std::string &id, std::int64_t acceptedMs, std::int64_t nowMs) -> void;

    /*! \brief A run has begun on an endpoint; \a task has the form JOB.OCCURRENCE.STEP.INDEX. */
    auto started(const std::string &task, std::int64_t nowMs) -> void;
    /*! \brief A run has ended for good, in whatever way. */
    auto ended(const std::string &task) -> void;
    auto done(const std::string &task) -> void;
    /*! \brief The system has taken note of an end \c done. */
    auto doneNoted(const std::string &task) -> void;

    auto configurationAccepted(std::int64_t version, std::int64_t nowMs) -> void;
    /*! \brief A read that was sent at \a sentMs showed this version. */
    auto configurationRead(std::int64_t version, std::int64_t sentMs) -> void;
    auto newestAccepted() const -> std::int64_t;

    auto processEnded(const std::string &id, const std::string &how) -> void;
    auto fail(std::string text) -> void;

    auto job(const std::string &id) const -> const SoakJob *;
    /*! \brief Returns the jobs that were accepted, not cancelled, and not shown as done. */
    auto owedJobs() const -> std::vector<std::string>;
    auto broken() const -> const std::vector<std::string> & { return m_broken; }
    auto starts() const -> std::int64_t { return m_starts; }
    auto doneJobs() const -> std::size_t { return m_doneJobs.size(); }

private:
    std::map<std::string, SoakJob> m_jobs;
    std::set<std::string> m_accepted;
    std::set<std::string> m_refused;
    std::set<std::string> m_cancelSent;
    std::map<std::string, std::int64_t> m_cancelledMs;
    std::set<std::string> m_doneJobs;
    std::set<std::string> m_startedJobs;
    std::map<std::string, int> m_running;                     //!< Runs of each task.
    std::map<std::string, std::set<std::string>> m_doneTasks; //!< By JOB.OCCURRENCE.STEP.
    std::set<std::string> m_notedTasks;
    std::map<std::int64_t, std::int64_t> m_acceptedVersions; //!< When, by version.
    std::vector<std::string> m_broken;
    std::int64_t m_starts = 0;
};

} // namespace Soak
