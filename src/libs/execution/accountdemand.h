#pragma once

#include "pooldemand.h"

#include "accounts/accountuse.h"

#include <array>
#include <map>
#include <string>
#include <utility>

namespace Execution {

/*! \brief The demand of jobs in one pool, with all resources that quotas may limit. */
struct JobDemand
{
    PoolDemand pool;
    Jobs::Resources longRunning;
    std::array<double, 3>
        batch{}; //!< CPU, memory and GPUs that finish the batch work by its objectives.

    auto operator+=(const JobDemand &other) -> JobDemand &;
};

/*! \brief Adds \a demand to that of its pool. */
auto addTo(PoolDemand &pool, const PoolDemand &demand) -> void;

/*!
    \brief Sums the demand of accounts with a quota, and bounds it by their quotas.

    Answers a backlog that its account's quota keeps from running: a pool must not ask for hosts for it.
*/
class AccountDemands
{
public:
    auto add(Accounts::AccountId account, const std::string &pool, const JobDemand &demand) -> void;
    /*! \brief Adds what the accounts may run of their demand; what they run already counts in any case. */
    auto addBounded(const Accounts::AccountUse &accounts,
                    std::map<std::string, PoolDemand> &pools) const -> void;

private:
    std::map<Accounts::AccountId, std::map<std::string, JobDemand>> m_demands;
};

} // namespace Execution
