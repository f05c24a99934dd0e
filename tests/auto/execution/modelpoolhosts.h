#pragma once

#include "randomsource.h"
#include "runwatch.h"
#include "virtualtime.h"

#include "execution/ports.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ExecutionTest {

/*! \brief What a host does with a task that it is told to start. */
struct ModelPoolTask
{
    Jobs::StepSpec step;
    std::int64_t durationMs = 0; //!< 0 for a task that runs on.
};

/*!
    \brief The hosts of several pools and their provider, which answer at once.

    A host of the spare pool is turned off. A host that moves or is maintained ends its runs, and starts an
    endpoint under a new id afterwards.
*/
class ModelPoolHosts
{
public:
    static constexpr Jobs::Resources capacity{4000, 8000, 0}; //!< Capacity of each host.

    struct Run
    {
        std::int64_t number = 0;
        ModelPoolTask task;
        std::int64_t readyAtUs = 0;
        bool stops = false;
    };
    struct Host
    {
        std::string name;
        std::string pool;
        Execution::HostState state = Execution::HostState::Up;
        Control::EndpointIncarnation incarnation; //!< Its id is empty while there is no endpoint.
        std::map<Jobs::TaskId, Run> runs;
        std::vector<Execution::EndedTask> ended;
        std::int64_t ends = 0;
        std::int64_t polledAtUs = 0;

        auto serves() const -> bool { return !incarnation.id.empty(); }
        /*! \brief Returns what is free once all short tasks have ended. */
        auto freeOfShortTasks() const -> Jobs::Resources;
        auto countOfStep(const Jobs::TaskId &task) const -> std::int64_t;
    };
    using Announce = std::function<void(const Control::EndpointRecord &)>;

    ModelPoolHosts(VirtualTime &time, RandomSource &random, RunWatch &watch, Announce announce);

    auto add(const std::string &pool, bool on) -> void;
    auto hosts() const -> const std::vector<Host> & { return m_hosts; }
    auto list() const -> Execution::HostList;
    auto isReady(const Jobs::TaskId &task) const -> bool;
    /*! \brief Returns true if a poll of the host would tell something new. */
    auto hasNews(const Host &host) const -> bool;

    auto start(const Execution::StartOrder &order, const ModelPoolTask &task)
        -> Execution::StartReply;
    auto stop(const Execution::StopOrder &order) -> Execution::OrderResult;
    auto poll(const Execution::PollOrder &order) -> Execution::PollReply;

    auto crash(std::size_t host) -> void;
    auto move(const std::string &host, const std::string &pool, bool on) -> void;
    auto maintain(std::size_t host) -> void;

private:
    auto find(const std::string &endpoint) -> Host *;
    auto clockMs() const -> std::int64_t;
    auto end(const std::string &endpoint,
             const Jobs::TaskId &task,
             std::int64_t number,
             Execution::EndKind kind) -> void;
    auto endAll(Host &host, const std::string &how) -> void;
    auto startEndpoint(Host &host) -> void;

    VirtualTime &m_time;
    RandomSource &m_random;
    RunWatch &m_watch;
    Announce m_announce;
    std::vector<Host> m_hosts;
    std::int64_t m_endpoints = 0;
};

} // namespace ExecutionTest
