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

/*! \brief What an attempt tells about its endpoint. */
enum class AttemptFailure {
    None,          //!< The endpoint answered.
    Busy,          //!< The endpoint refused the request without running it.
    Unreachable,   //!< No connection; no byte of the request was sent.
    Broken,        //!< The connection ended or the answer is not whole.
    TimedOut,      //!< No whole answer before the deadline.
    ShortDeadline, //!< The deadline passed within the usual run time.
    ServerError,   //!< The endpoint answered with a status of 500 or above.
};

auto enumNames(AttemptFailure) -> std::span<const Utils::EnumName<AttemptFailure>>;

struct AttemptResult
{
    Reply reply;
    AttemptFailure failure = AttemptFailure::None;
};

/*!
    \brief Sends requests to endpoints over kept connections. Thread-safe.

    A connection is closed, never used again, after a time-out or an incomplete answer, when it
    was idle for long, and when the endpoint closed it or sent something unasked.
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
