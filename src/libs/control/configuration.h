#pragma once

#include "utils/fields.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Control {

/*! \brief How a queue's policy on endpoints is asked for. All 0: there is no such policy. */
struct AdvicePolicy
{
    std::int64_t decideMs = 0; //!< Time of one decision.
    std::int64_t perEndpointMs = 0;
    std::int64_t validMs = 0; //!< Lifetime of a ticket.

    auto isSet() const -> bool { return decideMs > 0 || perEndpointMs > 0 || validMs > 0; }
};

/*! \brief Where callers hand jobs in, and the terms that the jobs run on. */
struct Queue
{
    std::string name;
    std::string host; //!< Of the callers' requests.
    std::string pathPrefix;
    std::string pool;
    std::int64_t callTimeoutMs = 0;
    std::int64_t objectiveMs = 0;     //!< Time beyond the job's own work.
    std::int64_t priority = 0;        //!< 0 goes first.
    std::int64_t maximumAttempts = 0; //!< Failed runs of one task; 0: no limit.
    double stretch = 1;               //!< Allowed multiple of the job's longest chain of work.
    AdvicePolicy advice;
};

/*! \brief A pool of hosts, each of which serves one endpoint. */
struct Pool
{
    std::string name;
    bool rejectsOverload = false; //!< Endpoints refuse tasks that do not fit.
    bool spare = false;           //!< Its hosts are off and free of charge.
};

/*! \brief Limits of callers' requests. */
struct CallerLimits
{
    std::int64_t headerBytes = 16 * 1024;
    std::int64_t bodyBytes = 256 * 1024;
    std::int64_t headerTimeoutMs = 3000;
    std::int64_t idleTimeoutMs = 15000;
};

/*! \brief The operators' configuration. The highest version is in force. */
struct Configuration
{
    std::int64_t version = 0;  //!< 0: none has been put yet.
    std::vector<Queue> queues; //!< By name.
    std::vector<Pool> pools;
    CallerLimits limits;
    std::string document; //!< As the operator sent it.

    /*! \brief Puts the queues into the order in which findQueue() looks for them. */
    auto sortQueues() -> void;
    auto findQueue(std::string_view name) const -> const Queue *;
    auto findPool(std::string_view name) const -> const Pool *;
};

template <typename Archive>
auto describe(Archive &archive, AdvicePolicy &advice) -> void
{
    archive.optional("decide", advice.decideMs);
    archive.optional("perEndpoint", advice.perEndpointMs);
    archive.optional("valid", advice.validMs);
}

template <typename Archive>
auto describe(Archive &archive, Queue &queue) -> void
{
    archive.required("name", queue.name);
    archive.required("host", queue.host);
    archive.required("prefix", queue.pathPrefix);
    archive.required("pool", queue.pool);
    archive.optional("timeout", queue.callTimeoutMs);
    archive.optional("objective", queue.objectiveMs);
    archive.optional("priority", queue.priority);
    archive.optional("attempts", queue.maximumAttempts);
    archive.optional("stretch", queue.stretch);
    archive.optional("advice", queue.advice);
}

template <typename Archive>
auto describe(Archive &archive, Pool &pool) -> void
{
    archive.required("name", pool.name);
    archive.optional("rejectsOverload", pool.rejectsOverload);
    archive.optional("spare", pool.spare);
}

template <typename Archive>
auto describe(Archive &archive, CallerLimits &limits) -> void
{
    archive.optional("headerBytes", limits.headerBytes);
    archive.optional("bodyBytes", limits.bodyBytes);
    archive.optional("headerTimeout", limits.headerTimeoutMs);
    archive.optional("idleTimeout", limits.idleTimeoutMs);
}

template <typename Archive>
auto describe(Archive &archive, Configuration &configuration) -> void
{
    archive.required("version", configuration.version);
    archive.optional("queues", configuration.queues);
    archive.optional("pools", configuration.pools);
    archive.optional("limits", configuration.limits);
    archive.optional("document", configuration.document);
}

} // namespace Control
