#pragma once

#include "promises.h"

#include "asyncnet/httpclient.h"
#include "asyncnet/httplistener.h"
#include "utils/clock.h"
#include "utils/fields.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Soak {

/*! \brief What the parts of a soak share. All outlive them. */
struct SoakWorld
{
    SoakWorld(AsyncNet::asio::io_context &eventLoop,
              Promises &seenPromises,
              std::mt19937_64 &randomEngine);

    AsyncNet::asio::io_context &loop;
    Promises &promises;
    std::mt19937_64 &engine;
    Utils::SystemClock clock;
    Utils::Instant began;

    auto nowMs() const -> std::int64_t { return (clock.now() - began).count(); }
    /*! \brief Returns a whole number from 0 to \a below - 1. */
    auto draw(std::int64_t below) -> std::int64_t;
};

/*!
    \brief One life of a stand-in endpoint of the platform.

    It runs tasks under leases and fencing tokens, announces itself to one of the control processes,
    and can be made to answer nothing, to carry out orders late, or to crash.
*/
class StandInEndpoint : public std::enable_shared_from_this<StandInEndpoint>
{
public:
    StandInEndpoint(SoakWorld &world, std::string host, std::vector<std::string> controls);

    auto start() -> void;
    auto crash() -> void;
    /*! \brief For \a duration orders get no answer and are carried out late. */
    auto answerLate(Utils::Milliseconds duration) -> void;
    auto id() const -> const std::string & { return m_id; }
    auto host() const -> const std::string & { return m_host; }

private:
    using Response = AsyncNet::Task<AsyncNet::HttpResponse>;
    struct Run
    {
        std::int64_t number = 0;
        std::int64_t endsMs = 0;
        std::int64_t stopsMs = 0; //!< 0: not told to stop.
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    auto handle(AsyncNet::HttpRequest request) -> Response;
    auto carryOut(const std::string &target, const Utils::Json &body) -> AsyncNet::HttpResponse;
    auto startRun(const Utils::Json &body) -> AsyncNet::HttpResponse;
    auto stopRun(const Utils::Json &body) -> AsyncNet::HttpResponse;
    auto poll(Utils::Json body) -> Response;
    auto lists() const -> AsyncNet::HttpResponse;
    auto takeToken(const Utils::Json &body) -> bool;
    auto prolong(const Utils::Json &body) -> void;
    auto forgetEnds(std::int64_t lastSeen) -> void;
    auto endRun(const std::string &task, const std::string &how) -> void;
    auto endDueRuns() -> void;
    auto work() -> AsyncNet::Task<void>;
    auto announce() -> AsyncNet::Task<void>;

    SoakWorld &m_world;
    std::string m_host;
    std::string m_id;
    std::int64_t m_bornMs;
    std::vector<std::string> m_controls;
    AsyncNet::HttpListener m_listener;
    AsyncNet::HttpClient m_client;
    AsyncNet::Signal m_ended;
    bool m_alive = true;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEndMs = 0;
    std::int64_t m_ends = 0;
    std::int64_t m_lateUntilMs = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_highest; //!< Highest run ended or stopped, by task.
    std::deque<End> m_unseen;
};

} // namespace Soak
