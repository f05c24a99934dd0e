#pragma once

#include "promises.h"

#include "asyncnet/httpclient.h"
#include "asyncnet/httplistener.h"
#include "utils/clock.h"
#include "utils/fields.h"

#include <deque>
#include <functional>
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
    std::function<void(const std::string &)> trace; //!< Takes what endpoints do, if it is set.

    auto nowMs() const -> std::int64_t { return (clock.now() - began).count(); }
    /*! \brief Returns a whole number from 0 to \a below - 1. */
    auto draw(std::int64_t below) -> std::int64_t;
};

/*! \brief What an endpoint says of itself. */
struct EndpointIdentity
{
    std::string id;
    std::string address; //!< Empty: where it listens.
    std::string host;
    std::int64_t cpu = 4000;
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
    StandInEndpoint(SoakContext &context,
                    EndpointIdentity identity,
                    std::vector<std::string> controls);

    /*! \brief Starts the endpoint, which announces itself after \a firstAnnouncement. */
    auto start(Utils::Milliseconds firstAnnouncement = Utils::Milliseconds(0)) -> void;
    auto crash() -> void;
    /*! \brief Makes the endpoint announce nothing while it is cut off. */
    auto setCutOff(bool cutOff) -> void { m_cutOff = cutOff; }
    /*! \brief Executes about half of the orders late for \a duration and replies 504 to them. */
    auto executeLate(Utils::Milliseconds duration) -> void;
    auto id() const -> const std::string & { return m_identity.id; }
    auto host() const -> const std::string & { return m_identity.host; }
    auto listensOn() const -> std::string;

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
    auto announce(Utils::Milliseconds first) -> AsyncNet::Task<void>;
    auto announcement(std::int64_t sequence) const -> Utils::Json;
    auto clockMs() const -> std::int64_t;
    auto trace(const std::string &what) const -> void;

    SoakContext &m_context;
    EndpointIdentity m_identity;
    std::int64_t m_bornMs;
    std::int64_t m_startedMs;
    std::vector<std::string> m_controls;
    AsyncNet::HttpListener m_listener;
    AsyncNet::HttpClient m_client;
    AsyncNet::Signal m_ended;
    bool m_alive = true;
    bool m_cutOff = false;
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
