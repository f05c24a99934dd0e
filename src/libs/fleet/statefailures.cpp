#include "state.h"

#include "statelookup.h"

#include <algorithm>

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

auto State::run(const ReportHost &body, const Context &context) -> Utils::Result<Change>
{
    auto *host = findIn(m_hosts, body.host);
    if (!host)
        return failure(ErrorType::NotFound, "unknown host", body.host);
    Change change{host->id, {}, host->id, Utils::toJson(*host), {}, true};
    const auto nowMs = context.command.timeMs;
    const auto sinceMs = body.observedMs > 0 ? std::min(body.observedMs, nowMs) : nowMs;
    // A host in maintenance is expected not to answer; only its move changes its state.
    const auto canFail =
        host->state != HostState::Failed && host->state != HostState::InMaintenance;
    if (body.failed && canFail) {
        if (auto *move = findIn(m_moves, host->move))
            enterState(*move,
                       *host,
                       host->state == HostState::Serving ? MoveState::Expired : MoveState::Failed,
                       context);
        failHost(*host, sinceMs, context);
    } else if (!body.failed && host->state == HostState::Failed) {
        m_ledger.hostReturned(*host, nowMs);
        host->state = HostState::Serving;
        host->revision = context.revision;
    } else {
        change.audited = false; // The report does not change the state of the host.
    }
    change.after = Utils::toJson(*host);
    return change;
}

auto State::failHost(Host &host, WallTimeMs sinceMs, const Context &context) -> void
{
    host.state = HostState::Failed;
    host.revision = context.revision;
    m_ledger.hostFailed(host, sinceMs);
}

} // namespace Fleet
