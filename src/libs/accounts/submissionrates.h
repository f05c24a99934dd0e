#pragma once

#include "clientaccount.h"

#include "utils/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Accounts {

/*! \brief How many submissions an account is owed in any span of a length. */
struct RateTerms
{
    // Not explicit: a plain window has no allowance.
    RateTerms(Utils::Milliseconds length = Utils::Milliseconds(5000))
        : window(length)
    {}

    Utils::Milliseconds window;
    double excess = 0;   //!< Share of its rate by which an account may exceed it.
    double slack = 0;    //!< Jobs in a window that an account may submit beyond that.
    bool refuses = true; //!< Jobs beyond the rate that are expected to end too late are refused.
};

/*!
    \brief Tells which submissions exceed the rate that their account is owed.

    Answers the load of an account that submits in bursts: what it is owed can be told from what it
    submits beyond that. An account is owed weight jobs a second, over a window that slides, and what
    the terms allow beyond that. Only jobs
    that are owed count, so that an account that keeps submitting too much still gets its rate. A
    fraction of a job counts as a whole one, and the part of a slice of time that has left the window
    does not count: no account is owed less than its rate. The memory is bounded by the number of
    accounts. Has no I/O and reads no clock.
*/
class SubmissionRates
{
public:
    explicit SubmissionRates(RateTerms terms);

    /*! \brief Forgets all accounts that are not in \a accounts. */
    auto keepOnly(std::span<const ClientAccount> accounts) -> void;
    /*! \brief Returns true if one more job at \a now exceeds the rate of \a account. */
    auto isExceeded(const ClientAccount &account, Utils::Instant now) const -> bool;
    /*! \brief Counts a job that the account is owed. */
    auto count(const ClientAccount &account, Utils::Instant now) -> void;
    /*! \brief Takes back what count() counted at \a countedAt. */
    auto takeBack(std::string_view account, Utils::Instant countedAt) -> void;
    /*! \brief Returns the number of accounts of which something is kept. */
    auto accounts() const -> std::size_t { return m_accounts.size(); }

private:
    static constexpr std::int64_t slices = 50;

    /*! \brief The counted jobs of one account in the slices of its window. */
    struct Window
    {
        std::array<std::int64_t, slices> jobs{}; //!< By number of the slice, modulo their count.
        std::int64_t newest = 0;                 //!< Number of the newest slice.
    };

    auto sliceOf(Utils::Instant at) const -> std::int64_t;
    static auto jobsIn(const Window &window, std::int64_t slice) -> std::int64_t;
    static auto advance(Window &window, std::int64_t slice) -> void;

    const RateTerms m_terms;
    const Utils::Milliseconds m_window;
    std::map<std::string, Window, std::less<>> m_accounts;
};

} // namespace Accounts
