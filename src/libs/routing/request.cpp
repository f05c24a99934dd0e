#include "request.h"

#include <array>

namespace Routing {
namespace {

using Utils::EnumName;

constexpr Utils::Milliseconds defaultRetryAfter{1000};

constexpr std::array priorityNames{
    EnumName<Priority>{Priority::Urgent, "urgent"},
    EnumName<Priority>{Priority::Normal, "normal"},
    EnumName<Priority>{Priority::Deferrable, "deferrable"},
};

constexpr std::array outcomeNames{
    EnumName<Outcome>{Outcome::Ran, "ran"},
    EnumName<Outcome>{Outcome::NotRun, "not-run"},
    EnumName<Outcome>{Outcome::Unknown, "unknown"},
};

struct StatusOfError
{
    Utils::ErrorType type;
    int status;
};

constexpr std::array notRunStatuses{
    StatusOfError{Utils::ErrorType::InvalidInput, 400},
    StatusOfError{Utils::ErrorType::Forbidden, 403},
    StatusOfError{Utils::ErrorType::NotFound, 404},
    StatusOfError{Utils::ErrorType::Mismatch, 422},
    StatusOfError{Utils::ErrorType::LimitReached, 429},
};

auto notRunStatus(Utils::ErrorType type) -> int
{
    constexpr auto serviceUnavailable = 503;
    for (const auto &entry : notRunStatuses) {
        if (entry.type == type)
            return entry.status;
    }
    return serviceUnavailable;
}

} // namespace

auto enumNames(Priority) -> std::span<const EnumName<Priority>>
{
    return priorityNames;
}

auto enumNames(Outcome) -> std::span<const EnumName<Outcome>>
{
    return outcomeNames;
}

auto Reply::notRun(Utils::ErrorType type, std::string message, std::string details) -> Reply
{
    Reply reply;
    reply.outcome = Outcome::NotRun;
    reply.status = notRunStatus(type);
    reply.error = Utils::Error{type, std::move(message), std::move(details)};
    reply.retryAfter = defaultRetryAfter;
    return reply;
}

auto Reply::unknown(std::string message) -> Reply
{
    constexpr auto gatewayTimeout = 504;
    Reply reply;
    reply.outcome = Outcome::Unknown;
    reply.status = gatewayTimeout;
    reply.error = Utils::Error{Utils::ErrorType::OutcomeUnknown, std::move(message), {}};
    return reply;
}

} // namespace Routing
