// Implements the part of LeaderSession that decides on submissions.
#include "leadersession.h"

#include "utils/log.h"

namespace Execution {
namespace {

// The backlog is summed up over all jobs; submissions in between are added to it at once.
constexpr Utils::Milliseconds backlogInterval{200};
constexpr double millisecondsPerSecond = 1000;
constexpr auto admissionMetric = "trefoilshelf_admissions_total";
constexpr auto backlogMetric = "trefoilshelf_backlog_seconds";

auto nameOf(Scheduling::AdmissionRefusal refusal) -> std::string
{
    switch (refusal) {
    case Scheduling::AdmissionRefusal::BeyondRate:
        return "beyond the rate";
    case Scheduling::AdmissionRefusal::TooMuch:
        return "too much accepted";
    }
    return "unknown";
}

} // namespace

auto LeaderSession::admit(Jobs::JobSpec &job) -> Scheduling::Admission
{
    job.beyondRate = false;
    if (job.account.empty())
        return {};
    const auto durationsMs = m_ledger.expectedDurations(job);
    const auto decision = m_parts.state.read([&](const Control::State &state) {
        return m_submissions.decide(
            job, durationsMs, state.configuration, m_parts.clock.now(), m_parts.clock.wallTime());
    });
    job.beyondRate = decision.beyondRate;
    reportAdmission(job, decision.admission);
    return decision.admission;
}

auto LeaderSession::submissionSettled(const std::string &job, CommitResult result) -> void
{
    m_submissions.settled(job, result);
}

auto LeaderSession::reportAdmission(const Jobs::JobSpec &job,
                                    const Scheduling::Admission &admission) -> void
{
    const auto refused = admission.refusal.has_value();
    const std::string accepted = job.beyondRate ? "beyond the rate" : "owed";
    const auto reason = refused ? nameOf(*admission.refusal) : accepted;
    m_parts.metrics.count(admissionMetric,
                          {{"outcome", refused ? "refused" : "accepted"}, {"reason", reason}});
    if (!refused || !m_refusalLines.allow(m_parts.clock.now()))
        return;
    Utils::Log::info("execution",
                     "refused a job at its submission",
                     {{"job", job.id},
                      {"queue", job.queue},
                      {"pool", job.pool},
                      {"account", job.account},
                      {"reason", reason},
                      {"backlog_ms", admission.backlogMs},
                      {"retry_after_ms", admission.retryAfterMs}});
}

// Deployments without client accounts need no backlog.
auto LeaderSession::updateBacklog() -> void
{
    const auto now = m_parts.clock.now();
    if (now - m_backlogUpdatedAt < backlogInterval)
        return;
    const auto hosts =
        m_parts.state.read([this](const Control::State &state) -> std::optional<HostOutlook> {
            const auto &configuration = state.configuration;
            return configuration.accounts ? std::optional(HostOutlook{m_moves.arrivingHosts()})
                                          : std::nullopt;
        });
    if (!hosts)
        return;
    const LeaderLoad::Timer timer(m_load, LeaderWork::Hosts);
    m_backlogUpdatedAt = now;
    m_parts.state.read([&](const Control::State &state) {
        m_submissions.update(
            m_ledger.backlog(state, now, m_parts.clock.wallTime()), *hosts, state.jobs, now);
    });
    for (const auto &[pool, backlog] : m_submissions.pools()) {
        for (const auto withBeyondRate : {false, true})
            m_parts.metrics.set(backlogMetric,
                                {{"pool", pool}, {"work", withBeyondRate ? "all" : "owed"}},
                                m_submissions.backlogMs(pool, withBeyondRate)
                                    / millisecondsPerSecond);
    }
}

} // namespace Execution
