#include "quotawaits.h"

namespace Execution {
namespace {

constexpr Utils::Milliseconds timeToLeave{2000};

} // namespace

auto QuotaWaits::add(Accounts::AccountId account, std::size_t count) -> void
{
    const auto place = std::size_t(account);
    if (account == Accounts::noAccount)
        return;
    if (tasks.size() <= place)
        tasks.resize(place + 1);
    tasks[place] += count;
    total += count;
}

auto QuotaWaits::of(Accounts::AccountId account) const -> std::size_t
{
    const auto place = std::size_t(account);
    return place < tasks.size() ? tasks[place] : 0;
}

auto QuotaWatch::update(const QuotaWaits &waits, Utils::Instant now) -> std::vector<QuotaChange>
{
    std::vector<QuotaChange> changes;
    for (std::size_t place = 0; place < waits.tasks.size(); ++place) {
        const auto account = Accounts::AccountId(place);
        if (waits.tasks[place] > 0 && m_lastWaits.insert_or_assign(account, now).second)
            changes.push_back({account, true});
    }
    std::erase_if(m_lastWaits, [&](const auto &item) {
        const auto left = now - item.second >= timeToLeave;
        if (left)
            changes.push_back({item.first, false});
        return left;
    });
    return changes;
}

} // namespace Execution
