#pragma once

#include "jobs/jobtypes.h"
#include "utils/fields.h"

#include <string>
#include <string_view>
#include <vector>

/*! Client accounts: their keys, quotas and shares. */
namespace Accounts {

/*! \brief An account on whose behalf callers submit jobs. */
struct ClientAccount
{
    std::string name;
    std::vector<std::string> keyDigests; //!< See digestOf(). No two accounts share one.
    double weight = 0;     //!< Jobs per second that the account is owed; 0 means no limit.
    Jobs::Resources quota; //!< What its running tasks may occupy; 0 of a resource means no limit.

    auto operator==(const ClientAccount &) const -> bool = default;
};

/*! \brief Returns the digest under which a key is kept, sent and compared. */
auto digestOf(std::string_view key) -> std::string;

template <typename Archive>
auto describe(Archive &archive, ClientAccount &account) -> void
{
    archive.required("name", account.name);
    archive.optional("keys", account.keyDigests);
    archive.optional("weight", account.weight);
    archive.optional("quota", account.quota);
}

} // namespace Accounts
