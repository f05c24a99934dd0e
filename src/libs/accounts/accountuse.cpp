#include "accountuse.h"

#include <algorithm>

namespace Accounts {

auto AccountParts::find(AccountId account) -> std::vector<AccountPart>::iterator
{
    return std::ranges::find(m_parts, account, &AccountPart::account);
}

auto AccountParts::add(AccountId account, const Jobs::Resources &use) -> void
{
    if (account == noAccount)
        return;
    const auto found = find(account);
    if (found != m_parts.end())
        found->use += use;
    else
        m_parts.push_back({account, use});
}

auto AccountParts::remove(AccountId account, const Jobs::Resources &use) -> void
{
    const auto found = find(account);
    if (found == m_parts.end())
        return;
    found->use -= use;
    if (found->use == Jobs::Resources())
        m_parts.erase(found);
}

auto AccountUse::configure(const std::optional<std::vector<ClientAccount>> &accounts) -> void
{
    m_hasAccounts = accounts.has_value();
    m_hasQuotas = false;
    m_meanWeight = 1;
    for (auto &account : m_accounts) {
        account.weight = 0;
        account.quota = {};
    }
    if (!accounts)
        return;
    double weights = 0;
    std::int64_t weighted = 0;
    for (const auto &configured : *accounts) {
        auto &account = m_accounts[std::size_t(idOf(configured.name))];
        account.weight = configured.weight;
        account.quota = configured.quota;
        m_hasQuotas = m_hasQuotas || account.hasQuota();
        weights += std::max(0.0, account.weight);
        weighted += account.weight > 0 ? 1 : 0;
    }
    if (weighted > 0)
        m_meanWeight = weights / double(weighted);
}

auto AccountUse::idOf(std::string_view name) -> AccountId
{
    if (name.empty())
        return noAccount;
    if (const auto known = m_ids.find(name); known != m_ids.end())
        return known->second;
    const auto id = AccountId(m_accounts.size());
    m_accounts.emplace_back().name = name;
    m_ids.emplace(name, id);
    return id;
}

auto AccountUse::find(AccountId account) const -> const Account *
{
    return account != noAccount ? &m_accounts[std::size_t(account)] : nullptr;
}

auto AccountUse::nameOf(AccountId account) const -> const std::string &
{
    static const std::string none;
    const auto *found = find(account);
    return found != nullptr ? found->name : none;
}

auto AccountUse::weightOf(AccountId account) const -> double
{
    const auto *found = find(account);
    return found != nullptr && found->weight > 0 ? found->weight : m_meanWeight;
}

auto AccountUse::hasQuota(AccountId account) const -> bool
{
    const auto *found = find(account);
    return found != nullptr && found->hasQuota();
}

auto AccountUse::quotaOf(AccountId account) const -> Jobs::Resources
{
    const auto *found = find(account);
    return found != nullptr ? found->quota : Jobs::Resources();
}

auto AccountUse::useOf(AccountId account) const -> Jobs::Resources
{
    const auto *found = find(account);
    return found != nullptr ? found->use : Jobs::Resources();
}

auto AccountUse::clear() -> void
{
    for (auto &account : m_accounts)
        account.use = {};
}

auto AccountUse::add(AccountId account, const Jobs::Resources &use) -> void
{
    if (account != noAccount)
        m_accounts[std::size_t(account)].use += use;
}

auto AccountUse::mayStart(AccountId account, const Jobs::Resources &demand) const -> bool
{
    const auto *found = find(account);
    return found == nullptr || !found->hasQuota()
           || Accounts::mayStart(found->quota, found->use, demand);
}

auto AccountUse::tasksAllowed(AccountId account, const Jobs::Resources &demand) const
    -> std::int64_t
{
    const auto *found = find(account);
    if (found == nullptr || !found->hasQuota())
        return unlimitedTasks;
    return Accounts::tasksAllowed(found->quota, found->use, demand);
}

auto AccountUse::gangAllowed(AccountId account,
                             const Jobs::Resources &demand,
                             std::int64_t count) const -> bool
{
    const auto *found = find(account);
    if (found == nullptr || !found->hasQuota())
        return true;
    return Accounts::gangAllowed(found->quota, found->use, demand, count);
}

} // namespace Accounts
