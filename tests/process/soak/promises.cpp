#include "promises.h"

namespace Soak {
namespace {

// A start may be under way while its job's cancelling is acknowledged.
constexpr std::int64_t cancelMs = 3000;
// An accepted job is known everywhere after this time.
constexpr std::int64_t visibleMs = 3000;
// A change is in force everywhere after this time.
constexpr std::int64_t inForceMs = 2000;

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

auto Promises::submitted(const SoakJob &job) -> void
{
    m_jobs[job.id] = job;
}

auto Promises::accepted(const std::string &id) -> void
{
    m_accepted.insert(id);
}

auto Promises::refused(const std::string &id) -> void
{
    m_refused.insert(id);
    if (m_startedJobs.contains(id))
        fail(id + " was refused although a task of it had started");
}

auto Promises::cancelSent(const std::string &id) -> void
{
    m_cancelSent.insert(id);
}

auto Promises::cancelled(const std::string &id, std::int64_t nowMs) -> void
{
    m_cancelledMs.try_emplace(id, nowMs);
}

auto Promises::shown(const std::string &id, const std::string &state) -> void
{
    if (m_doneJobs.contains(id) && state != "done")
        fail(id + " is shown as " + state + " after it was shown as done");
    if ((state == "failed" || state == "cancelled") && !m_cancelSent.contains(id))
        fail(id + " is shown as " + state + " without cause");
    if (state != "done" || !m_doneJobs.insert(id).second)
        return;
    const auto &widths = m_jobs[id].widths;
    for (std::size_t step = 0; step < widths.size(); ++step) {
        const auto done = m_doneTasks[id + ".0." + std::to_string(step)].size();
        if (std::int64_t(done) != widths[step])
            fail(id + " is shown as done, but tasks of step " + std::to_string(step) + " are not");
    }
}

auto Promises::notKnown(const std::string &id, std::int64_t acceptedMs, std::int64_t nowMs) -> void
{
    if (nowMs - acceptedMs > visibleMs && !m_cancelSent.contains(id))
        fail(id + " was accepted and is not known any more");
}

auto Promises::started(const std::string &task, std::int64_t nowMs) -> void
{
    ++m_starts;
    const auto name = parse(task);
    m_startedJobs.insert(name.job);
    if (!m_jobs.contains(name.job))
        fail(task + " starts, but nobody has handed it in");
    if (m_refused.contains(name.job))
        fail(task + " starts, but its job was refused");
    if (++m_running[task] > 1)
        fail(task + " runs twice at the same time");
    if (m_notedTasks.contains(task))
        fail(task + " starts after its end was noted");
    const auto cancelled = m_cancelledMs.find(name.job);
    if (cancelled != m_cancelledMs.end() && nowMs - cancelled->second > cancelMs)
        fail(task + " starts long after its job was cancelled");
    if (name.stepNumber == 0)
        return;
    const auto before = name.stepNumber - 1;
    const auto step = name.job + ".0." + std::to_string(before);
    if (std::int64_t(m_doneTasks[step].size()) != m_jobs[name.job].widths[std::size_t(before)])
        fail(task + " starts before the step before it is done");
}

auto Promises::ended(const std::string &task) -> void
{
    --m_running[task];
}

auto Promises::done(const std::string &task) -> void
{
    m_doneTasks[parse(task).step].insert(task);
}

auto Promises::doneNoted(const std::string &task) -> void
{
    m_notedTasks.insert(task);
}

auto Promises::configurationAccepted(std::int64_t version, std::int64_t nowMs) -> void
{
    m_acceptedVersions.try_emplace(version, nowMs);
}

auto Promises::configurationRead(std::int64_t version, std::int64_t sentMs) -> void
{
    for (const auto &[accepted, atMs] : m_acceptedVersions) {
        if (accepted > version && sentMs - atMs > inForceMs)
            fail("version " + std::to_string(version) + " is read, but " + std::to_string(accepted)
                 + " was accepted before");
    }
}

auto Promises::newestAccepted() const -> std::int64_t
{
    return m_acceptedVersions.empty() ? 0 : m_acceptedVersions.rbegin()->first;
}

auto Promises::processEnded(const std::string &id, const std::string &how) -> void
{
    fail("process " + id + " ended by itself: " + how);
}

auto Promises::fail(std::string text) -> void
{
    m_broken.push_back(std::move(text));
}

auto Promises::job(const std::string &id) const -> const SoakJob *
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() ? &found->second : nullptr;
}

auto Promises::owedJobs() const -> std::vector<std::string>
{
    std::vector<std::string> owed;
    for (const auto &id : m_accepted) {
        if (!m_cancelSent.contains(id) && !m_doneJobs.contains(id))
            owed.push_back(id);
    }
    return owed;
}

} // namespace Soak
