#include "types.h"

#include "claimcommands.h"
#include "jobcommands.h"
#include "movecommands.h"

#include <algorithm>
#include <array>

namespace Fleet {
namespace {

using Utils::EnumName;

constexpr std::array hostStateNames{
    EnumName<HostState>{HostState::Serving, "serving"},
    EnumName<HostState>{HostState::Draining, "draining"},
    EnumName<HostState>{HostState::InMaintenance, "in-maintenance"},
    EnumName<HostState>{HostState::Soaking, "soaking"},
    EnumName<HostState>{HostState::Failed, "failed"},
};

constexpr std::array moveKindNames{
    EnumName<MoveKind>{MoveKind::Maintenance, "maintenance"},
    EnumName<MoveKind>{MoveKind::Reassign, "reassign"},
};

constexpr std::array moveStateNames{
    EnumName<MoveState>{MoveState::Proposed, "proposed"},
    EnumName<MoveState>{MoveState::Approved, "approved"},
    EnumName<MoveState>{MoveState::Draining, "draining"},
    EnumName<MoveState>{MoveState::InMaintenance, "in-maintenance"},
    EnumName<MoveState>{MoveState::Soaking, "soaking"},
    EnumName<MoveState>{MoveState::Done, "done"},
    EnumName<MoveState>{MoveState::Rejected, "rejected"},
    EnumName<MoveState>{MoveState::Expired, "expired"},
    EnumName<MoveState>{MoveState::Failed, "failed"},
};

constexpr std::array autonomyLevelNames{
    EnumName<AutonomyLevel>{AutonomyLevel::Manual, "manual"},
    EnumName<AutonomyLevel>{AutonomyLevel::Guarded, "guarded"},
    EnumName<AutonomyLevel>{AutonomyLevel::Full, "full"},
};

constexpr std::array overrideActionNames{
    EnumName<OverrideAction>{OverrideAction::CancelMove, "cancel-move"},
    EnumName<OverrideAction>{OverrideAction::ExtendDrain, "extend-drain"},
};

constexpr std::array claimStateNames{
    EnumName<ClaimState>{ClaimState::Claimed, "claimed"},
    EnumName<ClaimState>{ClaimState::Answered, "answered"},
    EnumName<ClaimState>{ClaimState::ResponseNotStored, "answered-not-kept"},
    EnumName<ClaimState>{ClaimState::Unknown, "unknown"},
};

constexpr std::array claimOutcomeNames{
    EnumName<ClaimOutcome>{ClaimOutcome::Answered, "answered"},
    EnumName<ClaimOutcome>{ClaimOutcome::NotRun, "not-run"},
    EnumName<ClaimOutcome>{ClaimOutcome::Unknown, "unknown"},
};

constexpr std::array jobStateNames{
    EnumName<JobState>{JobState::Queued, "queued"},
    EnumName<JobState>{JobState::Running, "running"},
    EnumName<JobState>{JobState::Committed, "committed"},
    EnumName<JobState>{JobState::Cancelled, "cancelled"},
    EnumName<JobState>{JobState::Failed, "failed"},
    EnumName<JobState>{JobState::NeedsOperator, "needs-operator"},
};

constexpr std::array jobOutcomeNames{
    EnumName<JobOutcome>{JobOutcome::Done, "done"},
    EnumName<JobOutcome>{JobOutcome::Failed, "failed"},
    EnumName<JobOutcome>{JobOutcome::NotRun, "not-run"},
};

} // namespace

auto enumNames(HostState) -> std::span<const EnumName<HostState>>
{
    return hostStateNames;
}

auto enumNames(MoveKind) -> std::span<const EnumName<MoveKind>>
{
    return moveKindNames;
}

auto enumNames(MoveState) -> std::span<const EnumName<MoveState>>
{
    return moveStateNames;
}

auto enumNames(AutonomyLevel) -> std::span<const EnumName<AutonomyLevel>>
{
    return autonomyLevelNames;
}

auto enumNames(OverrideAction) -> std::span<const EnumName<OverrideAction>>
{
    return overrideActionNames;
}

auto enumNames(ClaimState) -> std::span<const EnumName<ClaimState>>
{
    return claimStateNames;
}

auto enumNames(ClaimOutcome) -> std::span<const EnumName<ClaimOutcome>>
{
    return claimOutcomeNames;
}

auto enumNames(JobOutcome) -> std::span<const EnumName<JobOutcome>>
{
    return jobOutcomeNames;
}

auto enumNames(JobState) -> std::span<const EnumName<JobState>>
{
    return jobStateNames;
}

auto StoredResponse::size() const -> std::int64_t
{
    auto size = contentType.size() + body.data.size();
    for (const auto &header : headers)
        size += header.name.size() + header.value.size();
    return std::int64_t(size);
}

auto Contract::findService(std::string_view service) const -> const ServiceTerms *
{
    const auto found = std::ranges::find(services, service, &ServiceTerms::service);
    return found == services.end() ? nullptr : &*found;
}

auto Contract::usesPool(std::string_view pool) const -> bool
{
    return std::ranges::find(services, pool, &ServiceTerms::pool) != services.end();
}

auto Job::isEnded() const -> bool
{
    return state == JobState::Committed || state == JobState::Cancelled
           || state == JobState::Failed;
}

auto Move::isOpen() const -> bool
{
    return state <= MoveState::Soaking;
}

auto Autonomy::levelFor(const std::string &pool) const -> AutonomyLevel
{
    const auto found = pools.find(pool);
    if (found == pools.end())
        return level;
    return Utils::valueOf<AutonomyLevel>(found->second).value_or(level);
}

} // namespace Fleet
