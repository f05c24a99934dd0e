#include "claimsettler.h"

#include "utils/log.h"

namespace Routing {
namespace {

// Returns whether the command may be submitted again after an error of this type. With any other
// type the replicated state has rejected the command.
auto isRetryable(Utils::ErrorType type) -> bool
{
    using Utils::ErrorType;
    return type == ErrorType::NoQuorum || type == ErrorType::NotLeader
           || type == ErrorType::OutcomeUnknown || type == ErrorType::Timeout
           || type == ErrorType::Unavailable || type == ErrorType::IoFailure
           || type == ErrorType::ShuttingDown;
}

} // namespace

ClaimSettler::ClaimSettler(Fleet::Gateway &gateway, std::string process)
    : m_gateway(gateway)
    , m_process(std::move(process))
{}

auto ClaimSettler::settle(Fleet::SettleClaim command) -> void
{
    if (!commit(command))
        settleLater(std::move(command));
}

auto ClaimSettler::settleLater(Fleet::SettleClaim command) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_pending.push_back(std::move(command));
}

auto ClaimSettler::runOnce() -> void
{
    std::deque<Fleet::SettleClaim> pending;
    {
        const std::scoped_lock lock(m_mutex);
        pending.swap(m_pending);
    }
    while (!pending.empty() && commit(pending.front()))
        pending.pop_front();
    const std::scoped_lock lock(m_mutex);
    m_pending.insert(m_pending.begin(),
                     std::make_move_iterator(pending.begin()),
                     std::make_move_iterator(pending.end()));
}

auto ClaimSettler::hasRoom() const -> bool
{
    const std::scoped_lock lock(m_mutex);
    return m_pending.size() < maximumPending;
}

auto ClaimSettler::commit(const Fleet::SettleClaim &command) -> bool
{
    const auto result = m_gateway.execute(command, {m_process, "end of a claim", {}, {}});
    if (result || !isRetryable(result.error().type)) {
        if (!result) {
            Utils::Log::warning("routing",
                                "the replicated state rejected the outcome of a claim",
                                {{"reason", result.error().message}});
        }
        return true;
    }
    return false;
}

} // namespace Routing
