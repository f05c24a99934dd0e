#include "error.h"

#include <algorithm>
#include <array>

namespace Utils {
namespace {

struct ErrorTypeName
{
    ErrorType type;
    std::string_view name;
};

constexpr std::array errorTypeNames{
    ErrorTypeName{ErrorType::InvalidInput, "invalid-input"},
    ErrorTypeName{ErrorType::NotFound, "not-found"},
    ErrorTypeName{ErrorType::Forbidden, "forbidden"},
    ErrorTypeName{ErrorType::Unauthorized, "unauthorized"},
    ErrorTypeName{ErrorType::Conflict, "conflict"},
    ErrorTypeName{ErrorType::Refused, "refused"},
    ErrorTypeName{ErrorType::LimitReached, "limit-reached"},
    ErrorTypeName{ErrorType::NotLeader, "not-leader"},
    ErrorTypeName{ErrorType::NoQuorum, "no-quorum"},
    ErrorTypeName{ErrorType::OutcomeUnknown, "outcome-unknown"},
    ErrorTypeName{ErrorType::Timeout, "timeout"},
    ErrorTypeName{ErrorType::Unavailable, "unavailable"},
    ErrorTypeName{ErrorType::IoFailure, "io-failure"},
    ErrorTypeName{ErrorType::Corruption, "corruption"},
    ErrorTypeName{ErrorType::ShuttingDown, "shutting-down"},
    ErrorTypeName{ErrorType::Mismatch, "mismatch"},
};

} // namespace

auto errorTypeName(ErrorType type) -> std::string_view
{
    const auto *entry = std::ranges::find(errorTypeNames, type, &ErrorTypeName::type);
    return entry == errorTypeNames.end() ? "outcome-unknown" : entry->name;
}

auto errorTypeFromName(std::string_view name) -> ErrorType
{
    const auto *entry = std::ranges::find(errorTypeNames, name, &ErrorTypeName::name);
    return entry == errorTypeNames.end() ? ErrorType::OutcomeUnknown : entry->type;
}

} // namespace Utils
