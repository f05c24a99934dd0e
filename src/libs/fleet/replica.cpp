#include "replica.h"

#include "utils/cbor.h"
#include "utils/log.h"

namespace Fleet {

auto Replica::apply(const Replication::Entry &entry) -> std::string
{
    const std::unique_lock lock(m_mutex);
    if (entry.revision <= m_revision)
        return {};
    m_revision = entry.revision;
    m_changed.notify_all();
    if (entry.payload.empty())
        return {};
    auto command = decodeCommand(entry.payload);
    if (!command) {
        Utils::Log::error("fleet",
                          "an entry of the log cannot be decoded",
                          {{"revision", entry.revision}, {"reason", command.error().details}});
        // Decoding depends only on the bytes, so every replica refuses the same entries.
        return Utils::toCbor(CommandResult::refused(command.error(), entry.revision));
    }
    return Utils::toCbor(m_state.apply(std::move(command.value()), entry.revision));
}

auto Replica::snapshot() const -> std::string
{
    const std::shared_lock lock(m_mutex);
    return Utils::toCbor(m_state);
}

auto Replica::restore(std::string_view bytes, Revision revision) -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(state, Utils::fromCbor<State>(bytes));
    const std::unique_lock lock(m_mutex);
    if (revision <= m_revision)
        return Utils::success();
    m_state = std::move(state);
    m_revision = revision;
    m_changed.notify_all();
    return Utils::success();
}

auto Replica::revision() const -> Revision
{
    const std::shared_lock lock(m_mutex);
    return m_revision;
}

auto Replica::waitForChange(Revision revision, Utils::Milliseconds timeout) const -> bool
{
    std::shared_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [&] { return m_revision > revision; });
}

} // namespace Fleet
