#include "resulttable.h"

namespace Fleet {

auto ResultTable::find(const std::string &commandId) const -> const StoredResult *
{
    const auto found = m_results.find(commandId);
    return found == m_results.end() ? nullptr : &found->second;
}

auto ResultTable::store(const std::string &commandId, StoredResult stored) -> void
{
    const auto nowMs = stored.timeMs;
    m_order[stored.result.revision] = commandId;
    m_results[commandId] = std::move(stored);
    removeExcess(nowMs);
}

auto ResultTable::removeExcess(WallTimeMs nowMs) -> void
{
    while (!m_order.empty()) {
        const auto oldest = m_order.begin();
        const auto isExpired = m_results[oldest->second].timeMs + retentionMs < nowMs;
        if (!isExpired && m_order.size() <= maximumResults)
            return;
        m_results.erase(oldest->second);
        m_order.erase(oldest);
    }
}

auto ResultTable::rebuildOrder() -> void
{
    m_order.clear();
    for (const auto &[id, stored] : m_results)
        m_order[stored.result.revision] = id;
}

} // namespace Fleet
