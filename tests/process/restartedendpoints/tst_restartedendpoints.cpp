#include "smallsystem.h"

#include "../soak/faultrelay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace {

using AsyncNet::Task;
using Utils::Milliseconds;

constexpr std::int64_t cpu = 12'000; // Of an endpoint.
constexpr int crashingCount = 4;
constexpr int rounds = 3;
constexpr int longRunningTasks = SmallSystem::endpoints;
constexpr int burstJobs = 14;
constexpr std::int64_t longestMs = 3'600'000;
constexpr std::int64_t roundMs = 12'000;
constexpr std::int64_t tailMs = 4000;
constexpr std::int64_t startUpMs = 20'000;
constexpr Milliseconds pollInterval{20};
constexpr Milliseconds meanJobPause{600};
constexpr Milliseconds downTime{600};
constexpr std::int64_t leastStarts = 100;
constexpr std::int64_t noQuota = 1'000'000;

auto numberFrom(const char *variable, std::int64_t otherwise) -> std::int64_t
{
    const auto *text = std::getenv(variable);
    return text != nullptr ? std::atoll(text) : otherwise;
}

// An endpoint that starts again under its id, and the relay at its address.
class RestartingEndpoint
{
public:
    RestartingEndpoint(Soak::SoakContext &context, int number, std::vector<std::string> controls)
        : m_context(context)
        , m_identity{"i-" + std::to_string(number), {}, "host-" + std::to_string(number), cpu}
        , m_controls(std::move(controls))
        , m_relay(std::make_shared<Soak::FaultRelay>(context.loop, "127.0.0.1:0", std::string()))
    {
        m_relay->start();
        m_identity.address = m_relay->address();
    }

    auto start(Milliseconds firstAnnouncement) -> void
    {
        m_incarnation = std::make_shared<Soak::StandInEndpoint>(m_context, m_identity, m_controls);
        m_incarnation->setCutOff(m_cutOff);
        m_incarnation->start(firstAnnouncement);
        // The next incarnation knows no connection of the former one.
        m_relay->resetEstablishedConnections();
        m_relay->setTarget(m_incarnation->listensOn());
        if (!m_cutOff)
            m_relay->setMode(Soak::RelayMode::Pass);
    }
    // Calls to the endpoint wait for its next incarnation. Where only the process ends, its machine resets
    // the connections at once.
    auto crash(bool onlyProcess) -> void
    {
        m_incarnation->crash();
        m_relay->setMode(Soak::RelayMode::Unreachable);
        if (onlyProcess)
            m_relay->resetEstablishedConnections();
    }
    auto setCutOff(bool cutOff) -> void
    {
        m_cutOff = cutOff;
        m_incarnation->setCutOff(cutOff);
        m_relay->setMode(cutOff ? Soak::RelayMode::Unreachable : Soak::RelayMode::Pass);
        m_context.trace(m_identity.id + (cutOff ? " is cut off" : " is reachable again"));
    }

private:
    Soak::SoakContext &m_context;
    Soak::EndpointIdentity m_identity;
    std::vector<std::string> m_controls;
    std::shared_ptr<Soak::FaultRelay> m_relay;
    std::shared_ptr<Soak::StandInEndpoint> m_incarnation;
    bool m_cutOff = false;
};

// Long tasks run while endpoints start again under their ids and are cut off soon after.
class Series
{
public:
    explicit Series(std::int64_t seed)
        : m_faults(std::uint64_t(seed))
        , m_engine(std::uint64_t(seed))
    {
        m_context.trace = [this](const std::string &line) {
            m_trace.push_back(std::to_string(m_context.nowMs()) + " ms  " + line);
        };
    }

    auto play() -> void
    {
        m_system.start();
        AsyncNet::start(m_loop, "series", run());
        m_loop.run();
    }
    auto guarantees() const -> const Soak::GuaranteeChecker & { return m_guarantees; }
    // Returns what was recorded of the task that the violation begins with.
    auto traceOf(const std::string &violation) const -> std::string
    {
        const auto task = violation.substr(0, violation.find(' '));
        std::string text;
        for (const auto &line : m_trace) {
            if (line.find(task) != std::string::npos || line.find(".0.0.") == std::string::npos)
                text += "\n  " + line;
        }
        return text;
    }

private:
    struct Restart
    {
        bool onlyProcess = false;
        Milliseconds firstAnnouncement{0};
    };
    // An endpoint crashes again while it is cut off, if its cut lasts that long.
    struct Cut
    {
        Milliseconds after{0};
        Milliseconds lasts{0};
        Milliseconds crashAfter{0};
    };

    auto run() -> Task<void>
    {
        const auto configured = co_await m_system.configure();
        EXPECT_TRUE(configured) << "no configuration was accepted";
        for (int number = 0; configured && number < SmallSystem::endpoints; ++number) {
            m_endpoints.push_back(
                std::make_unique<RestartingEndpoint>(m_context, number, m_system.controls()));
            m_endpoints.back()->start(Milliseconds(0));
        }
        if (configured)
            co_await startLongRunningTasks();
        if (m_guarantees.starts() >= longRunningTasks) {
            AsyncNet::start(m_loop, "jobs", submitJobs());
            for (int round = 0; round < rounds; ++round)
                co_await playRound();
            co_await AsyncNet::pause(Milliseconds(tailMs));
        }
        m_loop.stop();
    }

    auto startLongRunningTasks() -> Task<void>
    {
        const auto endMs = m_context.nowMs() + startUpMs;
        co_await submit(longRunningTasks, true);
        while (m_guarantees.starts() < longRunningTasks && m_context.nowMs() < endMs)
            co_await AsyncNet::pause(pollInterval);
        EXPECT_GE(m_guarantees.starts(), longRunningTasks) << "the first tasks do not start";
    }

    auto draw(std::int64_t from, std::int64_t below) -> Milliseconds
    {
        return Milliseconds(std::uniform_int_distribution(from, below - 1)(m_faults));
    }

    auto playRound() -> Task<void>
    {
        const auto endMs = m_context.nowMs() + roundMs;
        std::shuffle(m_endpoints.begin(), m_endpoints.end(), m_faults);
        AsyncNet::start(m_loop, "burst", submitBurst());
        const auto upTime = draw(600, 1400);
        for (int index = 0; index < crashingCount; ++index) {
            const auto crashAfter = draw(0, 200);
            const Restart first{draw(0, 2).count() == 0, draw(0, 700)};
            const Restart second{draw(0, 2).count() == 0, draw(0, 700)};
            const Cut cut{upTime + draw(0, 200), draw(5000, 8000), draw(0, 24'000)};
            AsyncNet::start(
                m_loop,
                "crash",
                disturb(*m_endpoints[std::size_t(index)], crashAfter, first, cut, second));
        }
        AsyncNet::start(m_loop, "kill", killLeader(downTime + draw(-150, 400)));
        co_await AsyncNet::pause(Milliseconds(endMs - m_context.nowMs()));
    }

    auto disturb(RestartingEndpoint &endpoint,
                 Milliseconds crashAfter,
                 Restart first,
                 Cut cut,
                 Restart second) -> Task<void>
    {
        co_await AsyncNet::pause(crashAfter);
        co_await restart(endpoint, first);
        co_await AsyncNet::pause(cut.after);
        endpoint.setCutOff(true);
        co_await AsyncNet::pause(std::min(cut.lasts, cut.crashAfter));
        if (cut.crashAfter < cut.lasts)
            co_await restart(endpoint, second);
        co_await AsyncNet::pause(cut.lasts - std::min(cut.lasts, cut.crashAfter));
        endpoint.setCutOff(false);
    }

    auto restart(RestartingEndpoint &endpoint, Restart how) -> Task<void>
    {
        endpoint.crash(how.onlyProcess);
        co_await AsyncNet::pause(downTime);
        endpoint.start(how.firstAnnouncement);
    }

    auto killLeader(Milliseconds after) -> Task<void>
    {
        co_await AsyncNet::pause(after);
        co_await m_system.killLeader(Milliseconds(1000));
    }

    auto submitBurst() -> Task<void>
    {
        for (int job = 0; job < burstJobs; ++job) {
            AsyncNet::start(m_loop, "job", submit(1, false));
            co_await AsyncNet::pause(Milliseconds(m_context.draw(100)));
        }
    }

    auto submitJobs() -> Task<void>
    {
        for (;;) {
            AsyncNet::start(m_loop, "job", submit(1 + m_context.draw(2), false));
            co_await AsyncNet::pause(Milliseconds(m_context.draw(2 * meanJobPause.count())));
        }
    }

    auto submit(std::int64_t count, bool lasts) -> Task<void>
    {
        const auto number = std::to_string(++m_jobs);
        Soak::SoakJob job{std::string(16 - number.size(), '0') + number, {count}, longestMs};
        if (!lasts)
            job.taskMs = 6000 + m_context.draw(6000);
        m_guarantees.submitted(job);
        Utils::Json step{{"count", count}, {"cpu", 1000}, {"mem_mb", 100}};
        step["est_duration_ms"] = lasts ? 1000 : job.taskMs;
        // One on each endpoint, so that all endpoints are known when they run.
        if (lasts)
            step.update({{"long_running", true}, {"anti_affinity", 1}});
        Utils::Json body{{"spec", "restarts"}, {"steps", {step}}};
        co_await m_system.submit(job.id, std::move(body));
    }

    std::mt19937_64 m_faults; // Draws faults alone, so that they are the same in each play.
    std::mt19937_64 m_engine;
    AsyncNet::asio::io_context m_loop;
    Soak::GuaranteeChecker m_guarantees{noQuota};
    Soak::SoakContext m_context{m_loop, m_guarantees, m_engine};
    SmallSystem m_system{m_context};
    std::vector<std::unique_ptr<RestartingEndpoint>> m_endpoints;
    std::vector<std::string> m_trace;
    int m_jobs = 0;
};

} // namespace

TEST(RestartedEndpoints, CallsOfLostLeadersForFormerIncarnationsRunNoTaskTwice)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto first = numberFrom("RESTARTEDENDPOINTS_FIRST", 1);
    const auto count = numberFrom("RESTARTEDENDPOINTS_SEEDS", 1);
    for (auto seed = first; seed < first + count; ++seed) {
        Series series(seed);
        series.play();
        const auto &guarantees = series.guarantees();
        std::cout << "seed " << seed << ": " << guarantees.starts() << " starts, "
                  << guarantees.violations().size() << " guarantees violated" << std::endl;
        EXPECT_GE(guarantees.starts(), leastStarts) << "seed " << seed;
        for (const auto &violation : guarantees.violations())
            ADD_FAILURE() << "seed " << seed << ": " << violation << series.traceOf(violation);
    }
}
