#pragma once

#include "fleet/gateway.h"

#include <atomic>
#include <deque>
#include <mutex>

namespace Routing {

/*!
    \brief Commits the outcomes of claims, with retries after failures. Thread-safe.

    Until the outcome is committed, a resend of the request waits or gets the outcome unknown; the
    request never runs a second time.
*/
class ClaimSettler
{
public:
    /*! \brief Number of pending outcomes from which on no new claim may be made. */
    static constexpr std::size_t maximumPending = 1024;

    ClaimSettler(Fleet::Gateway &gateway, std::string process);

    /*! \brief Tries to commit \a command now, and queues it for runOnce() if that fails. */
    auto settle(Fleet::SettleClaim command) -> void;
    auto settleLater(Fleet::SettleClaim command) -> void;
    /*! \brief Commits the pending outcomes in order, up to the first that fails again. */
    auto runOnce() -> void;
    auto hasRoom() const -> bool;

private:
    auto commit(const Fleet::SettleClaim &command) -> bool;

    Fleet::Gateway &m_gateway;
    std::string m_process;
    mutable std::mutex m_mutex;
    std::deque<Fleet::SettleClaim> m_pending;
};

} // namespace Routing
