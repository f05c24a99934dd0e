#pragma once

#include "configuration.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Control {

/*! \brief What the check of a request's key has found. */
enum class KeyCheck {
    NotNeeded, //!< The configuration has no client accounts, so that any caller may do anything.
    Public,    //!< The request has no key, and its queue needs none.
    Known,     //!< The key is one of a client account.
    Missing,   //!< The request has no key, and its queue needs one.
    Unknown,   //!< The key is not one of a client account.
};

/*! \brief What a caller may do at a queue. */
struct Authorization
{
    KeyCheck check = KeyCheck::Missing;
    std::string account;    //!< Client account of the key; empty without one.
    std::uint64_t term = 0; //!< Term in which the leader has checked the key.

    auto isAllowed() const -> bool
    {
        return check != KeyCheck::Missing && check != KeyCheck::Unknown;
    }
    /*!
        \brief Returns true if the caller may know of the job.

        Jobs without an account were accepted before there were accounts, or at a public queue.
    */
    auto shows(const Jobs::JobSpec &job) const -> bool
    {
        return check == KeyCheck::NotNeeded || job.account.empty() || job.account == account;
    }
};

/*!
    \brief Decides what a request with the key digest \a keyDigest may do at \a queue.

    The digest is empty if the request has no key. A \a queue of nullptr is one that the
    configuration does not have (any more); it is not public.

    Answers the abuse of queues by callers without a key, or with one that was taken away. It is only
    as young as \a configuration, so the caller has to know that its process leads.
*/
auto authorize(const Configuration &configuration, const Queue *queue, std::string_view keyDigest)
    -> Authorization;

} // namespace Control
