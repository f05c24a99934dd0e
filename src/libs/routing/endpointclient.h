#pragma once

#include "request.h"

#include <map>
#include <memory>
#include <mutex>

namespace httplib {
class Client;
}

namespace Routing {

/*! \brief One attempt to run a request at an endpoint. */
struct Attempt
{
    std::string address;
    std::int64_t assignmentEpoch = 0;
    int number = 1;
};

/*! \brief Ways in which an attempt can fail. */
enum class AttemptFailure {
    None,          //!< The endpoint responded with a status below 500.
    Busy,          //!< The endpoint refused the request, or the deadline passed before sending.
    Unreachable,   //!< No connection was made, so no byte of the request was sent.
    Broken,        //!< The connection failed, or the response is incomplete or not valid.
    TimedOut,      //!< No complete response before the deadline.
    ShortDeadline, //!< Time-out within twice the mean run time.
    ServerError,   //!< The endpoint responded with a status of 500 or above.
};

auto enumNames(AttemptFailure) -> std::span<const Utils::EnumName<AttemptFailure>>;

struct AttemptResult
{
    Reply reply;
    AttemptFailure failure = AttemptFailure::None;
};

/*!
    \brief Sends requests to endpoints over keep-alive connections. Thread-safe.

    A connection is closed instead of reused after a time-out or an incomplete response, after two
    seconds without a request, and when the endpoint closed it or sent data without a request.
*/
class EndpointClient
{
public:
    explicit EndpointClient(const Utils::Clock &clock);
    ~EndpointClient();

    auto send(const Request &request, const Attempt &attempt) -> AttemptResult;

private:
    struct IdleConnection;

    auto takeConnection(const std::string &address) -> std::unique_ptr<httplib::Client>;
    auto keepConnection(const std::string &address, std::unique_ptr<httplib::Client> client)
        -> void;

    const Utils::Clock &m_clock;
    std::mutex m_mutex;
    std::map<std::string, std::vector<IdleConnection>> m_idle;
};

} // namespace Routing
