#pragma once

#include "types.h"

namespace Fleet {

/*! \brief A past stretch of unavailability of one host. */
struct DisruptionCharge
{
    std::string host;
    std::string pool;
    WallTimeMs fromMs = 0;
    WallTimeMs untilMs = 0; //!< 0 while it lasts.
};

/*! \brief What a customer's availability budget holds now. */
struct BudgetStatus
{
    std::int64_t unavailableHosts = 0;
    std::int64_t spentHostS = 0;
    std::int64_t escrowHostS = 0;
};

/*!
    \brief Accounts for unavailable hosts against each contract's disruption terms.

    A planned stop takes a grant that holds its worst case back; failures are charged
    as they happen. Charges older than the contract's window no longer count.
*/
class DisruptionLedger
{
public:
    /*! \brief Grants the stop of \a move, or fails with Refused and the figures that forbid it. */
    auto grant(const Contract &contract, const Move &move, WallTimeMs nowMs) const
        -> Utils::Result<void>;
    auto open(const Move &move, WallTimeMs nowMs) -> void;
    /*! \brief Ends the grant of \a move and charges the host-seconds used. */
    auto close(const Move &move, WallTimeMs nowMs) -> void;
    auto hostFailed(const Host &host, WallTimeMs nowMs) -> void;
    auto hostReturned(const Host &host, WallTimeMs nowMs) -> void;

    auto status(const Contract &contract, WallTimeMs nowMs) const -> BudgetStatus;
    auto grants() const -> const std::map<std::string, DisruptionGrant> & { return m_grants; }

    template <typename Archive>
    friend auto describe(Archive &archive, DisruptionLedger &ledger) -> void
    {
        archive.optional("grants", ledger.m_grants);
        archive.optional("charges", ledger.m_charges);
    }

private:
    std::map<std::string, DisruptionGrant> m_grants; //!< By move.
    std::vector<DisruptionCharge> m_charges;
};

template <typename Archive>
auto describe(Archive &archive, DisruptionCharge &charge) -> void
{
    archive.required("host", charge.host);
    archive.required("pool", charge.pool);
    archive.required("from_ms", charge.fromMs);
    archive.required("until_ms", charge.untilMs);
}

} // namespace Fleet
