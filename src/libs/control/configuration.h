#pragma once

#include "accounts/clientaccount.h"
#include "jobs/jobtypes.h"
#include "utils/fields.h"
#include "utils/sealedtext.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Control {

/*!
    \brief Times of a queue's policy for the choice of endpoints. All are 0 without such a policy.
*/
struct AdvicePolicy
{
    std::int64_t decideMs = 0; //!< Time for one decision.
    std::int64_t perEndpointMs = 0;
    std::int64_t validMs = 0; //!< Lifetime of a ticket.

    auto isSet() const -> bool { return decideMs > 0 || perEndpointMs > 0 || validMs > 0; }
};

/*! \brief A queue to which callers submit jobs, with the parameters of its jobs. */
struct Queue
{
    std::string name;
    std::string host; //!< Host name in the callers' requests.
    std::string pathPrefix;
    std::string pool;
    std::int64_t callTimeoutMs = 0;
    std::int64_t objectiveMs = 0;     //!< Time added to the stretched critical path.
    std::int64_t priority = 0;        //!< 0 is the highest priority.
    std::int64_t maximumAttempts = 0; //!< Limit of failed runs of one task; 0 if none.
    double stretch = 1;               //!< Allowed multiple of the job's critical path.
    AdvicePolicy advice;
    bool isPublic = false; //!< Callers need no key.

    auto address() const -> Jobs::QueueAddress { return {host, pathPrefix}; }
    auto terms() const -> Jobs::QueueTerms;
};

/*! \brief A pool of hosts, each of which serves one endpoint. */
struct Pool
{
    std::string name;
    bool rejectsOverload = false; //!< True if endpoints refuse tasks that exceed their capacity.
    bool spare = false;           //!< True if the hosts are switched off and cost nothing.
};

/*! \brief Limits for the requests of callers. */
struct CallerLimits
{
    std::int64_t headerBytes = 16 * 1024;
    std::int64_t bodyBytes = 256 * 1024;
    std::int64_t headerTimeoutMs = 3000;
    std::int64_t idleTimeoutMs = 15000;
};

/*! \brief Configuration set by operators. The highest version is in force. */
struct Configuration
{
    std::int64_t version = 0;  //!< 0 if no configuration has been set yet.
    std::vector<Queue> queues; //!< Queues sorted by name.
    std::vector<Pool> pools;
    CallerLimits limits;
    //! Client accounts sorted by name. None if callers need no keys.
    std::optional<std::vector<Accounts::ClientAccount>> accounts;
    std::string document; //!< The text that the operator sent; empty once it is sealed.
    std::optional<Utils::SealedText> sealedDocument;

    /*!
        \brief Seals the document if it has keys of accounts, so that no file has them in plain text.

        To be called before the commit, since it uses randomness.
    */
    auto sealDocument() -> Utils::Result<void>;
    /*! \brief Returns the text that the operator sent, byte for byte. */
    auto openDocument() const -> Utils::Result<std::string>;
    /*! \brief Sorts queues and accounts by name, which findQueue() and findAccount() require. */
    auto sortByName() -> void;
    auto findQueue(std::string_view name) const -> const Queue *;
    /*!
        \brief Returns the queue of a job or request, or nullptr if there is none any more.

        Its name may have changed since, so the address counts if it is known. \a name is that of the
        queue at that time.
    */
    auto findQueue(const Jobs::QueueAddress &address, std::string_view name) const -> const Queue *;
    /*! \brief Returns the terms of the job's queue; those at its submission once the queue is gone. */
    auto termsOf(const Jobs::JobSpec &job) const -> Jobs::QueueTerms;
    /*!
        \brief Returns true if callers find \a job at the queue that a request names.

        Older builds know the names of queues alone: they record jobs without an address, and send
        requests without one.
    */
    auto holdsJob(const Jobs::QueueAddress &address,
                  std::string_view name,
                  const Jobs::JobSpec &job) const -> bool;
    auto findPool(std::string_view name) const -> const Pool *;
    auto findAccount(std::string_view name) const -> const Accounts::ClientAccount *;
    /*! \brief Returns the account that has a key with this digest, or nullptr. */
    auto findAccountByKey(std::string_view digest) const -> const Accounts::ClientAccount *;
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
    // Older builds reject keys that they do not know, so it is written only where it is used.
    auto isPublic = queue.isPublic ? std::optional(true) : std::nullopt;
    archive.optional("public", isPublic);
    queue.isPublic = isPublic.value_or(false);
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
    archive.optional("accounts", configuration.accounts);
    archive.optional("document", configuration.document);
    archive.optional("sealed", configuration.sealedDocument);
}

} // namespace Control
