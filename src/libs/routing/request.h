#pragma once

#include "utils/clock.h"
#include "utils/fields.h"

#include <string>
#include <vector>

/*! Routes callers' requests to endpoints: admission, queues, balancing, retries and ejection. */
namespace Routing {

enum class Priority { Urgent, Normal, Deferrable };

auto enumNames(Priority) -> std::span<const Utils::EnumName<Priority>>;

/*! \brief Whether a request ran. Ran and NotRun are certain, so the caller may rely on them. */
enum class Outcome { Ran, NotRun, Unknown };

auto enumNames(Outcome) -> std::span<const Utils::EnumName<Outcome>>;

struct Header
{
    std::string name;
    std::string value;
};

/*! \brief A caller's request as it is sent to an endpoint. */
struct Request
{
    std::string id;
    std::string customer;
    std::string service;
    std::string method;
    std::string path; //!< Path and query, relative to the service.
    std::vector<Header> headers;
    std::string body;
    bool idempotent = false;
    std::string idempotencyKey;
    Priority priority = Priority::Normal;
    Utils::Instant deadline;
};

/*! \brief The result of a request: the endpoint's response, or an error. */
struct Reply
{
    Outcome outcome = Outcome::NotRun;
    int status = 503;
    std::vector<Header> headers;
    std::string contentType;
    std::string body;
    std::optional<Utils::Error> error; //!< Set if there is no response of an endpoint.
    Utils::Milliseconds retryAfter{0};

    static auto notRun(Utils::ErrorType type, std::string message, std::string details = {})
        -> Reply;
    static auto unknown(std::string message) -> Reply;
};

} // namespace Routing
