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

/*! \brief State shared by the parts of a soak. The referenced objects must outlive it. */
struct SoakContext
{
    SoakContext(AsyncNet::asio::io_context &eventLoop,
                GuaranteeChecker &guaranteeChecker,
                std::mt19937_64 &randomEngine);

    AsyncNet::asio::io_context &loop;
    GuaranteeChecker &guarantees;
    std::mt19937_64 &engine;
    Utils::SystemClock clock;
    Utils::Instant began;

    auto nowMs() const -> std::int64_t { return (clock.now() - began).count(); }
    /*! \brief Returns a whole number from 0 to \a below - 1. */
    auto draw(std::int64_t below) -> std::int64_t;
};

/*!
    \brief One incarnation of a stand-in endpoint of the platform.

    The endpoint runs tasks under leases and fencing tokens and announces itself to the control
    processes, each time to a random one. It can be made to execute orders late or to crash.
*/
class StandInEndpoint : public std::enable_shared_from_this<StandInEndpoint>
{
public:
    StandInEndpoint(SoakContext &context, std::string host, std::vector<std::string> controls);

    auto start() -> void;
    auto crash() -> void;
    /*! \brief Executes about half of the orders late for \a duration and replies 504 to them. */
    auto executeLate(Utils::Milliseconds duration) -> void;
    auto id() const -> const std::string & { return m_id; }
    auto host() const -> const std::string & { return m_host; }

private:
    using Response = AsyncNet::Task<AsyncNet::HttpResponse>;
    struct Run
    {
        std::int64_t number = 0;
        std::int64_t endsMs = 0;
        std::int64_t stopsMs = 0; //!< Time at which the run stops; 0: no stop was ordered.
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    auto handle(AsyncNet::HttpRequest request) -> Response;
    auto executeOrder(const std::string &target, const Utils::Json &body) -> AsyncNet::HttpResponse;
    auto startRun(const Utils::Json &body) -> AsyncNet::HttpResponse;
    auto stopRun(const Utils::Json &body) -> AsyncNet::HttpResponse;
    auto poll(Utils::Json body) -> Response;
    auto statusReply() const -> AsyncNet::HttpResponse;
    auto acceptToken(const Utils::Json &body) -> bool;
    auto extendLease(const Utils::Json &body) -> void;
    auto removeRecordedEnds(std::int64_t lastSeen) -> void;
    auto endRun(const std::string &task, const std::string &how) -> void;
    auto endDueRuns() -> void;
    auto work() -> AsyncNet::Task<void>;
    auto announce() -> AsyncNet::Task<void>;

    SoakContext &m_context;
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
    std::map<std::string, std::int64_t>
        m_highestRun; //!< Highest number of an ended or stopped run, by task.
    std::deque<End> m_unrecordedEnds;
};

} // namespace Soak
