#pragma once

#include "replication/replicatedlog.h"
#include "utils/fields.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/*! The replicated state of the fleet: its types, its commands and their invariants. */
namespace Fleet {

using Replication::Revision;
using Utils::WallTimeMs;

/*! \brief Terms of one service in a customer's contract. */
struct ServiceTerms
{
    std::string service;
    std::string pool;
    std::int64_t guaranteedSlots = 0;
    std::int64_t maxSlots = 0;
    std::int64_t requestsPerS = 0; //!< Limit in requests per second; 0 means no limit.
};

/*! \brief How much disruption by unavailable hosts a customer tolerates. */
struct DisruptionTerms
{
    std::int64_t maxUnavailableHosts = 1;
    std::int64_t budgetHostS = 0;
    std::int64_t windowS = 2'419'200;
};

struct Contract
{
    std::string customer;
    std::vector<ServiceTerms> services;
    DisruptionTerms disruption;
    std::int64_t spareHosts = 0;
    Revision revision = 0; //!< Revision of the last change; State sets it.

    auto findService(std::string_view service) const -> const ServiceTerms *;
    auto usesPool(std::string_view pool) const -> bool;
};

/*! \brief Weights of the criteria by which plans are compared. */
struct Objective
{
    double buffer = 1;
    double rollout = 1;
    double moves = 1;
};

struct Pool
{
    std::string pool;
    bool spare = false;
    Objective objective;
    Revision revision = 0;
};

enum class HostState { Serving, Draining, InMaintenance, Soaking, Failed };

auto enumNames(HostState) -> std::span<const Utils::EnumName<HostState>>;

struct Host
{
    std::string id;
    std::string pool;
    std::string zone;
    std::string rack;
    std::int64_t slots = 0;
    std::int64_t assignmentEpoch = 1;
    HostState state = HostState::Serving;
    WallTimeMs lastMaintainedMs = 0;
    std::string move; //!< Id of the host's open move; empty if there is none.
    Revision revision = 0;
};

/*! \brief One record of the audit trail. */
struct AuditRecord
{
    Revision revision = 0;
    WallTimeMs timeMs = 0;
    std::string actor; //!< Name of the operator, policy or process that gave the command.
    std::string cause;
    std::string command;
    std::string subject;
    std::string customer;
    std::string host;
    Utils::Json before;
    Utils::Json after;
};

template <typename Archive>
auto describe(Archive &archive, ServiceTerms &terms) -> void
{
    constexpr Utils::Range slotsRange{0, 1'000'000};
    archive.required("service", terms.service);
    archive.required("pool", terms.pool);
    archive.required("guaranteed_slots", terms.guaranteedSlots, slotsRange);
    archive.required("max_slots", terms.maxSlots, slotsRange);
    archive.optional("requests_per_s", terms.requestsPerS, slotsRange);
}

template <typename Archive>
auto describe(Archive &archive, DisruptionTerms &terms) -> void
{
    archive.required("max_unavailable_hosts", terms.maxUnavailableHosts, Utils::Range{0, 100'000});
    archive.required("budget_host_s", terms.budgetHostS, Utils::Range{0, INT64_MAX});
    archive.required("window_s", terms.windowS, Utils::Range{1, 315'360'000});
}

template <typename Archive>
auto describe(Archive &archive, Contract &contract) -> void
{
    archive.required("customer", contract.customer);
    archive.required("services", contract.services);
    archive.required("disruption", contract.disruption);
    archive.optional("spare_hosts", contract.spareHosts, Utils::Range{0, 100'000});
    archive.optional("revision", contract.revision);
}

template <typename Archive>
auto describe(Archive &archive, Objective &objective) -> void
{
    archive.optional("buffer", objective.buffer);
    archive.optional("rollout", objective.rollout);
    archive.optional("moves", objective.moves);
}

template <typename Archive>
auto describe(Archive &archive, Pool &pool) -> void
{
    archive.required("pool", pool.pool);
    archive.optional("spare", pool.spare);
    archive.optional("objective", pool.objective);
    archive.optional("revision", pool.revision);
}

template <typename Archive>
auto describe(Archive &archive, Host &host) -> void
{
    archive.required("id", host.id);
    archive.required("pool", host.pool);
    archive.optional("zone", host.zone);
    archive.optional("rack", host.rack);
    archive.optional("slots", host.slots, Utils::Range{0, 100'000});
    archive.optional("assignment_epoch", host.assignmentEpoch);
    archive.optional("state", host.state);
    archive.optional("last_maintained_ms", host.lastMaintainedMs);
    archive.optional("move", host.move);
    archive.optional("revision", host.revision);
}

template <typename Archive>
auto describe(Archive &archive, AuditRecord &record) -> void
{
    archive.required("revision", record.revision);
    archive.required("time_ms", record.timeMs);
    archive.required("actor", record.actor);
    archive.optional("cause", record.cause);
    archive.required("command", record.command);
    archive.optional("subject", record.subject);
    archive.optional("customer", record.customer);
    archive.optional("host", record.host);
    archive.optional("before", record.before);
    archive.optional("after", record.after);
}

} // namespace Fleet
