// Implements the part of ControlService that checks the keys of callers.
#include "controlservice.h"

#include "utils/log.h"

namespace Service {
namespace {

// Digits of a key's digest in log lines. They tell an operator which key it was, and nobody else.
constexpr std::size_t loggedDigestDigits = 8;

// A configuration that takes a key away is in force at the leader once it is confirmed. A process that
// led this long ago may not know of it yet. It adds to the time for which a key that was taken away is
// served, which operators accept for some seconds.
constexpr Utils::Milliseconds maximumProofAge{1000};

auto reasonOf(Control::KeyCheck check) -> std::string_view
{
    return check == Control::KeyCheck::Missing ? "missing" : "unknown";
}

} // namespace

auto ControlService::checkCaller(const Wire::ControlRequest &request) -> CheckedCaller
{
    CheckedCaller checked;
    const auto queueKnown = m_parts.state.read([&](const Control::State &state) {
        const auto &configuration = state.configuration;
        const auto *queue =
            configuration.findQueue({request.host, request.pathPrefix}, request.queue);
        checked.caller = Control::authorize(configuration, queue, request.keyDigest);
        return queue != nullptr;
    });
    checked.caller.term = std::uint64_t(m_session->term());
    if (checked.caller.check == Control::KeyCheck::NotNeeded)
        return checked;
    if (!isLeadershipProven()) {
        recordRefusedKey(request, "not confirmed");
        checked.refusal = notLeader();
        return checked;
    }
    if (checked.caller.isAllowed())
        return checked;
    auto &refusal = checked.refusal.emplace();
    refusal.outcome =
        queueKnown ? Wire::ControlOutcome::UNAUTHORIZED : Wire::ControlOutcome::UNKNOWN_NAME;
    if (queueKnown)
        recordRefusedKey(request, reasonOf(checked.caller.check));
    return checked;
}

auto ControlService::isLeadershipProven() const -> bool
{
    const auto proof = m_parts.log.leadershipProof();
    return proof && proof->term == std::uint64_t(m_session->term())
           && proof->age <= maximumProofAge;
}

auto ControlService::commitFor(const Control::Authorization &caller, Control::Command command)
    -> AsyncNet::Task<Execution::CommitResult>
{
    std::vector<Control::Command> commands;
    commands.push_back(std::move(command));
    if (caller.check == Control::KeyCheck::NotNeeded)
        return m_committer.commit(std::move(commands));
    return m_committer.commitInTerm(std::move(commands), caller.term);
}

auto ControlService::recordRefusedKey(const Wire::ControlRequest &request, std::string_view reason)
    -> void
{
    m_parts.metrics.count("trefoilshelf_key_refusals_total", {{"reason", std::string(reason)}});
    if (!m_refusedKeyLines.allow(m_parts.clock.now()))
        return;
    Utils::Log::info("service",
                     "refused the key of a request",
                     {{"queue", request.queue},
                      {"reason", reason},
                      {"key_digest", request.keyDigest.substr(0, loggedDigestDigits)}});
}

} // namespace Service
