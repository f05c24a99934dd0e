// Implements the part of LeaderSession that tells which accounts are at their quotas.
#include "leadersession.h"

#include "utils/log.h"

namespace Execution {

auto LeaderSession::reportQuotas() -> void
{
    const auto &accounts = m_ledger.accounts();
    const auto &waits = m_ledger.quotaWaits();
    const auto now = m_parts.clock.now();
    const auto changes = m_quotas.update(waits, now);
    if (accounts.hasQuotas() || !changes.empty()) {
        m_parts.metrics.set(
            "trefoilshelf_accounts_at_quota", {}, double(m_quotas.accountsAtQuota()));
        m_parts.metrics.set("trefoilshelf_tasks_waiting_for_quota", {}, double(waits.total));
    }
    for (const auto &change : changes) {
        if (!m_quotaLines.allow(now))
            continue;
        const auto use = accounts.useOf(change.account);
        const auto quota = accounts.quotaOf(change.account);
        Utils::Log::info("execution",
                         change.reached ? "an account reached its quota"
                                        : "an account left its quota",
                         {{"account", accounts.nameOf(change.account)},
                          {"waiting_tasks", waits.of(change.account)},
                          {"use_millicores", use.cpuMillicores},
                          {"quota_millicores", quota.cpuMillicores},
                          {"use_memory_mb", use.memoryMb},
                          {"quota_memory_mb", quota.memoryMb},
                          {"use_gpus", use.gpus},
                          {"quota_gpus", quota.gpus}});
    }
}

} // namespace Execution
