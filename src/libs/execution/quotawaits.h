#pragma once

#include "accounts/accountuse.h"

#include <cstddef>
#include <map>

namespace Execution {

/*! \brief The tasks that could start but for the quotas of their accounts. */
struct QuotaWaits
{
    std::map<Accounts::AccountId, std::size_t>
        tasks; //!< By account; those without waiting tasks are left out.
    std::size_t total = 0;
};

} // namespace Execution
