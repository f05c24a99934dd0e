#include "state.h"

#include "contractcheck.h"
#include "statelookup.h"

#include <algorithm>

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

auto State::createPool(const std::string &pool, Revision revision) -> void
{
    if (m_pools.contains(pool))
        return;
    Pool created;
    created.pool = pool;
    created.revision = revision;
    m_pools[pool] = created;
}

auto State::poolOfService(std::string_view service) const -> const std::string *
{
    for (const auto &[customer, contract] : m_contracts) {
        if (const auto *terms = contract.findService(service))
            return &terms->pool;
    }
    return nullptr;
}

auto State::run(const PutContract &body, const Context &context) -> Utils::Result<Change>
{
    const auto &customer = body.contract.customer;
    if (customer.empty())
        return failure(ErrorType::InvalidInput, "customer must not be empty");
    const auto *existing = findIn(m_contracts, customer);
    BOOST_OUTCOME_TRY(
        checkRevision(context.command.expectedRevision, existing ? existing->revision : 0));
    BOOST_OUTCOME_TRY(
        checkContract(body.contract, {m_contracts, m_pools, m_hosts}, body.acceptWarnings));
    Change change{customer, customer, {}, jsonOrNull(existing), {}, true};
    auto &contract = m_contracts[customer] = body.contract;
    contract.revision = context.revision;
    for (const auto &terms : contract.services)
        createPool(terms.pool, context.revision);
    change.after = Utils::toJson(contract);
    return change;
}

auto State::run(const PutPool &body, const Context &context) -> Utils::Result<Change>
{
    const auto &name = body.pool.pool;
    const auto *existing = findIn(m_pools, name);
    BOOST_OUTCOME_TRY(
        checkRevision(context.command.expectedRevision, existing ? existing->revision : 0));
    Change change{name, {}, {}, jsonOrNull(existing), {}, true};
    auto &pool = m_pools[name] = body.pool;
    pool.revision = context.revision;
    change.after = Utils::toJson(pool);
    return change;
}

auto State::run(const RegisterHost &body, const Context &context) -> Utils::Result<Change>
{
    if (m_hosts.contains(body.host))
        return failure(ErrorType::Conflict, "the host is already registered", body.host);
    const auto *pool = poolOfService(body.service);
    if (!pool)
        return failure(ErrorType::NotFound, "no contract names the service", body.service);
    auto &host = m_hosts[body.host];
    host.id = body.host;
    host.pool = *pool;
    host.zone = body.zone;
    host.rack = body.rack;
    host.slots = body.slots;
    host.revision = context.revision;
    return Change{body.host, {}, body.host, {}, Utils::toJson(host), true};
}

} // namespace Fleet
