#include "promises.h"

namespace Soak {
namespace {

// A start that was sent before the cancellation was acknowledged may arrive this much later.
constexpr std::int64_t cancelDelayMs = 3000;
// Every process must know an accepted job after this time.
constexpr std::int64_t visibilityDelayMs = 3000;
// Every process must use an accepted configuration after this time.
constexpr std::int64_t configurationDelayMs = 2000;
// No process may serve a key this long after a configuration that lacks it was accepted.
constexpr std::int64_t revocationDelayMs = 5000;

struct TaskName
{
    std::string job;
    std::string step; // JOB.OCCURRENCE.STEP
    std::int64_t stepNumber = 0;
};

auto parse(const std::string &task) -> TaskName
{
    const auto index = task.rfind('.');
    const auto step = task.rfind('.', index - 1);
    TaskName name;
    name.job = task.substr(0, task.find('.'));
    name.step = task.substr(0, index);
    name.stepNumber = std::stoll(task.substr(step + 1, index - step - 1));
    return name;
}

} // namespace

auto GuaranteeChecker::submitted(const SoakJob &job) -> void
{
    m_jobs[job.id] = job;
}

auto GuaranteeChecker::accepted(const std::string &id) -> void
{
    m_accepted.insert(id);
}

auto GuaranteeChecker::refused(const std::string &id) -> void
{
    m_refused.insert(id);
    if (m_startedJobs.contains(id))
        fail(id + " was refused, but one of its tasks had started");
}

auto GuaranteeChecker::cancelSent(const std::string &id) -> void
{
    m_cancelSent.insert(id);
}

auto GuaranteeChecker::cancelled(const std::string &id, std::int64_t nowMs) -> void
{
    m_cancelledMs.try_emplace(id, nowMs);
}

auto GuaranteeChecker::stateReported(const std::string &id, const std::string &state) -> void
{
    if (m_doneJobs.contains(id) && state != "done")
        fail(id + " is reported as " + state + " after it was reported as done");
    if ((state == "failed" || state == "cancelled") && !m_cancelSent.contains(id))
        fail(id + " is reported as " + state + " although it was not cancelled");
    if (state != "done" || !m_doneJobs.insert(id).second)
        return;
    const auto &widths = m_jobs[id].widths;
    for (std::size_t step = 0; step < widths.size(); ++step) {
        const auto done = m_doneTasks[id + ".0." + std::to_string(step)].size();
        if (std::int64_t(done) != widths[step])
            fail(id + " is reported as done, but tasks of step " + std::to_string(step)
                 + " are not");
    }
}

auto GuaranteeChecker::reportedUnknown(const std::string &id,
                                       std::int64_t acceptedMs,
                                       std::int64_t nowMs) -> void
{
    if (nowMs - acceptedMs > visibilityDelayMs && !m_cancelSent.contains(id))
        fail(id + " was accepted, but the system no longer knows it");
}

auto GuaranteeChecker::started(const std::string &task, std::int64_t nowMs) -> void
{
    ++m_starts;
    const auto name = parse(task);
    m_startedJobs.insert(name.job);
    if (!m_jobs.contains(name.job))
        fail(task + " starts, but its job was not submitted");
    if (m_refused.contains(name.job))
        fail(task + " starts, but its job was refused");
    if (++m_runningTasks > m_accountTasks + m_accountTasks / 10 + 1)
        fail(task + " starts, and " + std::to_string(m_runningTasks) + " tasks of its account run");
    if (++m_running[task] > 1)
        fail(task + " runs twice at the same time");
    if (m_recordedTasks.contains(task))
        fail(task + " starts after its end was recorded");
    const auto cancelled = m_cancelledMs.find(name.job);
    if (cancelled != m_cancelledMs.end() && nowMs - cancelled->second > cancelDelayMs)
        fail(task + " starts too long after its job was cancelled");
    if (name.stepNumber == 0)
        return;
    const auto before = name.stepNumber - 1;
    const auto step = name.job + ".0." + std::to_string(before);
    if (std::int64_t(m_doneTasks[step].size()) != m_jobs[name.job].widths[std::size_t(before)])
        fail(task + " starts before the previous step is done");
}

auto GuaranteeChecker::ended(const std::string &task) -> void
{
    --m_runningTasks;
    --m_running[task];
}

auto GuaranteeChecker::done(const std::string &task) -> void
{
    m_doneTasks[parse(task).step].insert(task);
}

auto GuaranteeChecker::doneRecorded(const std::string &task) -> void
{
    m_recordedTasks.insert(task);
}

auto GuaranteeChecker::configurationAccepted(std::int64_t version, std::int64_t nowMs) -> void
{
    m_acceptedVersions.try_emplace(version, nowMs);
}

auto GuaranteeChecker::configurationRead(std::int64_t version, std::int64_t sentMs) -> void
{
    for (const auto &[accepted, atMs] : m_acceptedVersions) {
        if (accepted > version && sentMs - atMs > configurationDelayMs)
            fail("configuration version " + std::to_string(version) + " is read, but "
                 + std::to_string(accepted) + " was accepted before");
    }
}

auto GuaranteeChecker::served(const SoakKey &key, std::int64_t sentMs) -> void
{
    if (key.version < 0)
        fail("a request with a key that no configuration has was served");
    if (key.version <= 0)
        return;
    for (const auto &[accepted, atMs] : m_acceptedVersions) {
        if (accepted > key.version && sentMs - atMs > revocationDelayMs)
            fail("a request with the key of configuration version " + std::to_string(key.version)
                 + " is served, but " + std::to_string(accepted) + " was accepted before");
    }
}

auto GuaranteeChecker::newestAcceptedVersion() const -> std::int64_t
{
    return m_acceptedVersions.empty() ? 0 : m_acceptedVersions.rbegin()->first;
}

auto GuaranteeChecker::processEnded(const std::string &id, const std::string &how) -> void
{
    fail("process " + id + " exited unexpectedly: " + how);
}

auto GuaranteeChecker::fail(std::string text) -> void
{
    m_violations.push_back(std::move(text));
}

auto GuaranteeChecker::job(const std::string &id) const -> const SoakJob *
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() ? &found->second : nullptr;
}

auto GuaranteeChecker::unfinishedJobs() const -> std::vector<std::string>
{
    std::vector<std::string> unfinished;
    for (const auto &id : m_accepted) {
        if (!m_cancelSent.contains(id) && !m_doneJobs.contains(id))
            unfinished.push_back(id);
    }
    return unfinished;
}

} // namespace Soak
