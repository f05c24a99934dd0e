#pragma once

#include "types.h"

namespace Fleet {

/*! \brief Host-seconds reserved for one planned stop: the longest drain, reboot and soak. */
constexpr std::int64_t plannedStopWorstCaseHostS = 1800;
/*! \brief Host-seconds reserved for each host of the largest rack, in case the rack fails. */
constexpr std::int64_t failureReserveHostS = 1800;
/*! \brief Time for which a host still counts as unavailable after its return from a failure. */
constexpr WallTimeMs failureSoakMs = 60'000;

/*! \brief A period in which one host was unavailable. */
struct DisruptionCharge
{
    std::string host;
    WallTimeMs fromMs = 0;
    WallTimeMs untilMs = 0;     //!< End of the period; 0 while it lasts.
    WallTimeMs soakUntilMs = 0; //!< Time until which the host still counts as unavailable.
};

/*! \brief Current use of a customer's disruption budget. */
struct BudgetStatus
{
    std::int64_t unavailableHosts = 0;
    std::int64_t spentHostS = 0;
    std::int64_t escrowHostS = 0;
    std::string overrunningMove; //!< Move whose stop exceeds its worst case; empty if none.
};

/*! \brief The rule that permitted or forbade a planned stop. */
enum class BudgetRule { WithinLimits, MaxUnavailableHosts, BudgetHostS, OverrunningStop };

auto enumNames(BudgetRule) -> std::span<const Utils::EnumName<BudgetRule>>;

/*! \brief Whether one contract permits a planned stop, with the deciding figures. */
struct BudgetVerdict
{
    std::string customer;
    BudgetRule rule = BudgetRule::WithinLimits;
    BudgetStatus status;
    DisruptionTerms terms;
    std::int64_t worstCaseHostS = 0;
    std::int64_t rackHosts = 0;    //!< Available hosts in the contract's largest rack.
    std::int64_t reserveHosts = 0; //!< Part of rackHosts reserved within max_unavailable_hosts.
    std::int64_t reserveHostS = 0;

    auto isGranted() const -> bool { return rule == BudgetRule::WithinLimits; }
    /*! \brief Returns a text that states the rule and its figures. */
    auto explanation() const -> std::string;
};

/*! \brief Counts the available hosts of each rack, to find the largest loss by one rack failure. */
class RackIndex
{
public:
    explicit RackIndex(const std::map<std::string, Host> &hosts);

    /*!
        \brief Returns the number of available hosts in the largest rack of \a contract's pools.

        The host \a stopping, which may be nullptr, is not counted.
    */
    auto largestRack(const Contract &contract, const Host *stopping) const -> std::int64_t;

private:
    std::map<std::string, std::map<std::string, std::int64_t>> m_hostsByPoolAndRack;
};

/*! \brief Returns the name of \a host's rack, unique over all zones. */
auto rackOf(const Host &host) -> std::string;

/*!
    \brief Accounts for unavailable hosts against each contract's disruption terms.

    An open grant reserves the worst case of a planned stop, and the time that the stop took is
    charged when it ends. Failures are charged as they happen. Time before the start of the
    contract's window does not count.
*/
class DisruptionLedger
{
public:
    /*! \brief Checks one more planned stop against the terms of \a contract. */
    auto checkStop(const Contract &contract,
                   std::int64_t worstCaseHostS,
                   std::int64_t rackHosts,
                   WallTimeMs nowMs) const -> BudgetVerdict;
    /*! \brief Fails with Refused and the figures if \a contract forbids the stop of \a move. */
    auto checkGrant(const Contract &contract,
                    const Move &move,
                    std::int64_t rackHosts,
                    WallTimeMs nowMs) const -> Utils::Result<void>;
    /*! \brief Opens the grant of \a move, which reserves its worst case. */
    auto openGrant(const Move &move, WallTimeMs nowMs) -> void;
    /*! \brief Ends the grant of \a move and charges the host-seconds used. */
    auto closeGrant(const Move &move, WallTimeMs nowMs) -> void;
    /*!
        \brief Starts a charge for the failure of \a host.

        The charge starts at \a sinceMs, or at the end of the host's last charge in its pool if
        that is later. Does nothing while a charge of the host in its pool lasts.
    */
    auto hostFailed(const Host &host, WallTimeMs sinceMs) -> void;
    auto hostReturned(const Host &host, WallTimeMs nowMs) -> void;
    /*! \brief Removes charges that ended before \a oldestMs. */
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
    std::map<std::string, DisruptionGrant> m_grants;                //!< Open grants by move.
    std::map<std::string, std::vector<DisruptionCharge>> m_charges; //!< Charges by pool.
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
