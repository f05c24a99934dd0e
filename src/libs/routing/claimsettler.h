#pragma once

#include "fleet/gateway.h"

#include <atomic>
#include <deque>
#include <mutex>

namespace Routing {

/*!
    \brief Commits the ends of claims that could not be committed at once. Thread-safe.

    Until then a resend waits or gets unknown; it never runs a second time.
*/
class ClaimSettler
{
public:
    /*! \brief Pending ends at which no new claim may be made. */
    static constexpr std::size_t maximumPending = 1024;

    ClaimSettler(Fleet::Gateway &gateway, std::string process);

    /*! \brief Tries to commit \a command now, and keeps it for later if that fails. */
    auto settle(Fleet::SettleClaim command) -> void;
    auto settleLater(Fleet::SettleClaim command) -> void;
    /*! \brief Tries each pending end once. */
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
