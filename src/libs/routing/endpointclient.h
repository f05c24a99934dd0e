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

/*!
    \brief Sends requests to endpoints over kept connections. Thread-safe.

    A connection is closed, never used again, after a time-out or an incomplete answer.
*/
class EndpointClient
{
public:
    explicit EndpointClient(const Utils::Clock &clock);
    ~EndpointClient();

    auto send(const Request &request, const Attempt &attempt) -> Reply;

private:
    auto takeConnection(const std::string &address) -> std::unique_ptr<httplib::Client>;
    auto keepConnection(const std::string &address, std::unique_ptr<httplib::Client> client)
        -> void;

    const Utils::Clock &m_clock;
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> m_idle;
};

} // namespace Routing
