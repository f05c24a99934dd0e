#pragma once

#include "clientaccount.h"
#include "quota.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Accounts {

/*! \brief Short name of an account within one AccountUse. */
using AccountId = std::int32_t;

inline constexpr AccountId noAccount = -1;

/*! \brief What one account occupies. */
struct AccountPart
{
    AccountId account = noAccount;
    Jobs::Resources use;
};

/*! \brief What runs occupy by account; most places hold few accounts. */
class AccountParts
{
public:
    /*! \brief Adds to the use of \a account; does nothing for noAccount. */
    auto add(AccountId account, const Jobs::Resources &use) -> void;
    /*! \brief Subtracts what add() has added. */
    auto remove(AccountId account, const Jobs::Resources &use) -> void;
    auto begin() const { return m_parts.begin(); }
    auto end() const { return m_parts.end(); }

private:
    auto find(AccountId account) -> std::vector<AccountPart>::iterator;

    std::vector<AccountPart> m_parts;
};

/*!
    \brief Tells what each account occupies and may still start.

    The use is counted anew for each decision from what is known to run, so it can't drift.
*/
class AccountUse
{
public:
    /*! \brief Takes over the quotas and weights of the configured accounts. */
    auto configure(const std::optional<std::vector<ClientAccount>> &accounts) -> void;
    /*! \brief Returns the id of the account, also of one that is not configured; noAccount for an empty name. */
    auto idOf(std::string_view name) -> AccountId;
    /*! \brief Returns the number of ids. */
    auto count() const -> std::size_t { return m_accounts.size(); }
    auto nameOf(AccountId account) const -> const std::string &;
    /*! \brief Returns true if accounts are configured. */
    auto hasAccounts() const -> bool { return m_hasAccounts; }
    /*!
        \brief Returns the weight by which the account gets room in a full pool; above 0.

        Callers without a key share the mean weight, and so does each account whose rate is not limited.
    */
    auto weightOf(AccountId account) const -> double;
    /*! \brief Returns true if an account has a quota. */
    auto hasQuotas() const -> bool { return m_hasQuotas; }
    auto hasQuota(AccountId account) const -> bool;
    /*! \brief Returns the quota of the account; zeros if there is none. */
    auto quotaOf(AccountId account) const -> Jobs::Resources;
    auto useOf(AccountId account) const -> Jobs::Resources;

    /*! \brief Sets all use to zero. */
    auto clear() -> void;
    auto add(AccountId account, const Jobs::Resources &use) -> void;

    /*! \brief Returns true if the account may start a task that needs \a demand. */
    auto mayStart(AccountId account, const Jobs::Resources &demand) const -> bool;
    /*! \brief Returns how many tasks the account may start that need \a demand each. */
    auto tasksAllowed(AccountId account, const Jobs::Resources &demand) const -> std::int64_t;
    auto gangAllowed(AccountId account, const Jobs::Resources &demand, std::int64_t count) const
        -> bool;

private:
    struct Account
    {
        std::string name;
        double weight = 0;
        Jobs::Resources quota;
        Jobs::Resources use;

        auto hasQuota() const -> bool { return quota != Jobs::Resources(); }
    };

    auto find(AccountId account) const -> const Account *;

    std::vector<Account> m_accounts; //!< By id.
    std::map<std::string, AccountId, std::less<>> m_ids;
    double m_meanWeight = 1; //!< Of the accounts that have one.
    bool m_hasAccounts = false;
    bool m_hasQuotas = false;
};

} // namespace Accounts
