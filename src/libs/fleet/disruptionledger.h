#pragma once

#include "types.h"

namespace Fleet {

/*! \brief Host-seconds that one planned stop holds back: drain, reboot and soak at their longest. */
constexpr std::int64_t plannedStopWorstCaseHostS = 1800;
/*! \brief Host-seconds kept free for each host of the rack that may fail next. */
constexpr std::int64_t failureReserveHostS = 1800;
/*! \brief For how long a host that came back after a failure still counts as unavailable. */
constexpr WallTimeMs failureSoakMs = 60'000;

/*! \brief A stretch of unavailability of one host. */
struct DisruptionCharge
{
    std::string host;
    WallTimeMs fromMs = 0;
    WallTimeMs untilMs = 0;     //!< 0 while it lasts.
    WallTimeMs soakUntilMs = 0; //!< Until then the host counts as unavailable.
};

/*! \brief What a customer's availability budget holds now. */
struct BudgetStatus
{
    std::int64_t unavailableHosts = 0;
    std::int64_t spentHostS = 0;
    std::int64_t escrowHostS = 0;
    std::string overrunningMove; //!< A stop past its worst case; empty if there is none.
};

/*! \brief The rule that decided about a planned stop. */
enum class BudgetRule { WithinLimits, MaxUnavailableHosts, BudgetHostS, OverrunningStop };

auto enumNames(BudgetRule) -> std::span<const Utils::EnumName<BudgetRule>>;

/*! \brief Whether one contract permits a planned stop, with the figures that decided. */
struct BudgetVerdict
{
    std::string customer;
    BudgetRule rule = BudgetRule::WithinLimits;
    BudgetStatus status;
    DisruptionTerms terms;
    std::int64_t worstCaseHostS = 0;
    std::int64_t rackHosts = 0;    //!< Hosts of the largest rack that may fail next.
    std::int64_t reserveHosts = 0; //!< Part of rackHosts kept free below max_unavailable_hosts.
    std::int64_t reserveHostS = 0;

    auto isGranted() const -> bool { return rule == BudgetRule::WithinLimits; }
    /*! \brief Returns one sentence with the figures. */
    auto explanation() const -> std::string;
};

/*! \brief Counts the available hosts of each rack, to find the largest failure that may come next. */
class RackIndex
{
public:
    explicit RackIndex(const std::map<std::string, Host> &hosts);

    /*! \brief Returns the most available hosts that \a contract's pools have in one rack, without \a stopping. */
    auto largestRack(const Contract &contract, const Host *stopping) const -> std::int64_t;

private:
    std::map<std::string, std::map<std::string, std::int64_t>> m_hostsByPoolAndRack;
};

/*! \brief Returns the name of \a host's rack, unique over all zones. */
auto rackOf(const Host &host) -> std::string;

/*!
    \brief Accounts for unavailable hosts against each contract's disruption terms.

    A planned stop takes a grant that holds its worst case back; failures are charged
    as they happen. Charges older than the contract's window no longer count.
*/
class DisruptionLedger
{
public:
    /*! \brief Weighs one more planned stop against \a contract. */
    auto weigh(const Contract &contract,
               std::int64_t worstCaseHostS,
               std::int64_t rackHosts,
               WallTimeMs nowMs) const -> BudgetVerdict;
    /*! \brief Grants the stop of \a move, or fails with Refused and the figures that forbid it. */
    auto grant(const Contract &contract,
               const Move &move,
               std::int64_t rackHosts,
               WallTimeMs nowMs) const -> Utils::Result<void>;
    auto open(const Move &move, WallTimeMs nowMs) -> void;
    /*! \brief Ends the grant of \a move and charges the host-seconds used. */
    auto close(const Move &move, WallTimeMs nowMs) -> void;
    /*! \brief Starts a charge at \a sinceMs, or where the host's last charge ended if that is later. */
    auto hostFailed(const Host &host, WallTimeMs sinceMs) -> void;
    auto hostReturned(const Host &host, WallTimeMs nowMs) -> void;
    /*! \brief Forgets charges that ended before \a oldestMs. */
    auto prune(WallTimeMs oldestMs) -> void;

    auto status(const Contract &contract, WallTimeMs nowMs) const -> BudgetStatus;
    auto grants() const -> const std::map<std::string, DisruptionGrant> & { return m_grants; }
    auto charges() const -> const std::map<std::string, std::vector<DisruptionCharge>> &
    {
        return m_charges;
    }

    template <typename Archive>
    friend auto describe(Archive &archive, DisruptionLedger &ledger) -> void
    {
        archive.optional("grants", ledger.m_grants);
        archive.optional("charges", ledger.m_charges);
    }

private:
    std::map<std::string, DisruptionGrant> m_grants;                //!< By move.
    std::map<std::string, std::vector<DisruptionCharge>> m_charges; //!< By pool.
};

template <typename Archive>
auto describe(Archive &archive, DisruptionCharge &charge) -> void
{
    archive.required("host", charge.host);
    archive.required("from_ms", charge.fromMs);
    archive.required("until_ms", charge.untilMs);
    archive.optional("soak_until_ms", charge.soakUntilMs);
}

template <typename Archive>
auto describe(Archive &archive, BudgetStatus &status) -> void
{
    archive.required("unavailable_hosts", status.unavailableHosts);
    archive.required("spent_host_s", status.spentHostS);
    archive.required("escrow_host_s", status.escrowHostS);
    archive.optional("overrunning_move", status.overrunningMove);
}

template <typename Archive>
auto describe(Archive &archive, BudgetVerdict &verdict) -> void
{
    archive.required("customer", verdict.customer);
    archive.required("rule", verdict.rule);
    archive.required("status", verdict.status);
    archive.required("terms", verdict.terms);
    archive.required("worst_case_host_s", verdict.worstCaseHostS);
    archive.required("rack_hosts", verdict.rackHosts);
    archive.required("reserve_hosts", verdict.reserveHosts);
    archive.required("reserve_host_s", verdict.reserveHostS);
}

} // namespace Fleet
