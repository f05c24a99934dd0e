#include "standinendpoint.h"

#include <algorithm>

namespace Soak {
namespace {

constexpr std::int64_t longestLeaseMs = 6000;
constexpr std::int64_t stopMs = 100;
constexpr Utils::Milliseconds workInterval{10};
constexpr Utils::Milliseconds announceInterval{700};
constexpr Utils::Milliseconds announceTimeout{1000};
constexpr std::int64_t maximumExtraDelayMs = 5000; // Random part of the delay of a late order.
constexpr std::size_t maximumConnections = 4;

auto reply(int status, Utils::Json body) -> AsyncNet::HttpResponse
{
    AsyncNet::HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

} // namespace

SoakContext::SoakContext(AsyncNet::asio::io_context &eventLoop,
                         GuaranteeChecker &guaranteeChecker,
                         std::mt19937_64 &randomEngine)
    : loop(eventLoop)
    , guarantees(guaranteeChecker)
    , engine(randomEngine)
    , began(clock.now())
{}

auto SoakContext::draw(std::int64_t below) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(0, below - 1)(engine);
}

StandInEndpoint::StandInEndpoint(SoakContext &context,
                                 std::string host,
                                 std::vector<std::string> controls)
    : StandInEndpoint(
        context,
        {"i-" + std::to_string(context.engine() % 1'000'000'000), {}, std::move(host)},
        std::move(controls))
{}

StandInEndpoint::StandInEndpoint(SoakContext &context,
                                 EndpointIdentity identity,
                                 std::vector<std::string> controls)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_bornMs(context.clock.wallTime())
    , m_startedMs(context.nowMs())
    , m_controls(std::move(controls))
    , m_listener(context.loop,
                 "endpoint",
                 [this](AsyncNet::HttpRequest request) { return handle(std::move(request)); })
    , m_client(context.loop,
               1,
               std::make_shared<AsyncNet::ConnectionPool>(context.loop, maximumConnections))
    , m_ended(context.loop)
{}

auto StandInEndpoint::start(Utils::Milliseconds firstAnnouncement) -> void
{
    if (!m_listener.start("127.0.0.1:0"))
        m_context.guarantees.fail("a stand-in endpoint cannot listen");
    if (m_identity.address.empty())
        m_identity.address = listensOn();
    trace("begins its life");
    AsyncNet::start(m_context.loop, "endpoint work", work(), shared_from_this());
    AsyncNet::start(
        m_context.loop, "endpoint announcements", announce(firstAnnouncement), shared_from_this());
}

auto StandInEndpoint::listensOn() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_listener.port());
}

// The clock of each incarnation starts anew.
auto StandInEndpoint::clockMs() const -> std::int64_t
{
    return m_context.nowMs() - m_startedMs + 1;
}

auto StandInEndpoint::trace(const std::string &what) const -> void
{
    if (m_context.trace)
        m_context.trace(m_identity.id + '@' + std::to_string(m_startedMs) + ' ' + what);
}

auto StandInEndpoint::crash() -> void
{
    m_alive = false;
    m_listener.stopAccepting();
    m_listener.endConnections();
    trace("crashes");
    for (const auto &[task, run] : m_runs)
        m_context.guarantees.ended(task);
    m_runs.clear();
}

auto StandInEndpoint::executeLate(Utils::Milliseconds duration) -> void
{
    m_lateUntilMs = m_context.nowMs() + duration.count();
}

auto StandInEndpoint::handle(AsyncNet::HttpRequest request) -> Response
{
    const auto self = shared_from_this();
    auto body = Utils::Json::parse(request.body, nullptr, false);
    if (!m_alive || !body.is_object())
        co_return reply(m_alive ? 400 : 421, Utils::Json::object());
    if (request.target == "/trefoilshelf/hold")
        co_return co_await poll(std::move(body));
    if (m_context.nowMs() < m_lateUntilMs && m_context.draw(2) == 0) {
        co_await AsyncNet::pause(Utils::Milliseconds(1000 + m_context.draw(maximumExtraDelayMs)));
        if (m_alive)
            executeOrder(request.target, body);
        co_return reply(504, Utils::Json::object());
    }
    co_return executeOrder(request.target, body);
}

auto StandInEndpoint::executeOrder(const std::string &target, const Utils::Json &body)
    -> AsyncNet::HttpResponse
{
    if (!acceptToken(body))
        return reply(409, {{"reason", "fence"}, {"clock_ms", clockMs()}});
    endDueRuns();
    if (target == "/trefoilshelf/run-start")
        return startRun(body);
    if (target == "/trefoilshelf/run-stop")
        return stopRun(body);
    return reply(200, {{"clock_ms", clockMs()}});
}

auto StandInEndpoint::acceptToken(const Utils::Json &body) -> bool
{
    const auto token = body.value("fence_token", std::int64_t(0));
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

auto StandInEndpoint::extendLease(const Utils::Json &body) -> void
{
    const auto until = body.value("until_ms", std::int64_t(0));
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(until, clockMs() + longestLeaseMs));
}

auto StandInEndpoint::startRun(const Utils::Json &body) -> AsyncNet::HttpResponse
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", std::int64_t(0));
    const auto now = clockMs();
    const auto refuse = [now](std::string_view reason) {
        return reply(409, {{"reason", reason}, {"clock_ms", now}});
    };
    if (body.value("until_ms", std::int64_t(0)) <= now)
        return refuse("late");
    extendLease(body);
    const auto known = m_runs.find(task);
    if (known != m_runs.end() && known->second.number == run)
        return reply(200, {{"clock_ms", now}});
    if (known != m_runs.end() || run <= m_highestRun[task])
        return refuse("old");
    if (std::int64_t(m_runs.size()) * 1000 >= m_identity.cpu)
        return refuse("room");
    const auto *job = m_context.guarantees.job(task.substr(0, task.find('.')));
    m_runs[task] = {run, now + (job != nullptr ? job->taskMs : 100), 0};
    trace("starts " + task + " run " + std::to_string(run));
    m_context.guarantees.started(task, m_context.nowMs());
    return reply(200, {{"clock_ms", now}});
}

auto StandInEndpoint::stopRun(const Utils::Json &body) -> AsyncNet::HttpResponse
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", std::int64_t(0));
    m_highestRun[task] = std::max(m_highestRun[task], run);
    const auto known = m_runs.find(task);
    if (known != m_runs.end() && known->second.number <= run && known->second.stopsMs == 0)
        known->second.stopsMs = clockMs() + stopMs;
    return reply(200, {{"clock_ms", clockMs()}});
}

auto StandInEndpoint::poll(Utils::Json body) -> Response
{
    if (!acceptToken(body))
        co_return reply(409, {{"reason", "fence"}, {"clock_ms", clockMs()}});
    extendLease(body);
    removeRecordedEnds(body.value("last_seen", std::int64_t(0)));
    endDueRuns();
    const auto wait = Utils::Milliseconds(body.value("wait_ms", std::int64_t(0)));
    if (m_unrecordedEnds.empty() && wait.count() > 0)
        co_await m_ended.waitFor(wait);
    if (!m_alive)
        co_return reply(421, Utils::Json::object());
    co_return statusReply();
}

auto StandInEndpoint::statusReply() const -> AsyncNet::HttpResponse
{
    auto running = Utils::Json::array();
    for (const auto &[task, run] : m_runs)
        running.push_back({task, run.number, "", 100, 0});
    auto ended = Utils::Json::array();
    for (const auto &end : m_unrecordedEnds)
        ended.push_back({end.number, end.task, end.run, end.how, ""});
    return reply(200,
                 {{"clock_ms", clockMs()},
                  {"born", m_bornMs},
                  {"running_count", running},
                  {"ended", ended}});
}

auto StandInEndpoint::removeRecordedEnds(std::int64_t lastSeen) -> void
{
    while (!m_unrecordedEnds.empty() && m_unrecordedEnds.front().number <= lastSeen) {
        const auto &end = m_unrecordedEnds.front();
        if (end.how == "done") {
            trace("hears that the end of " + end.task + " is recorded");
            m_context.guarantees.doneRecorded(end.task);
        }
        m_unrecordedEnds.pop_front();
    }
}

auto StandInEndpoint::endRun(const std::string &task, const std::string &how) -> void
{
    const auto number = m_runs[task].number;
    m_runs.erase(task);
    m_highestRun[task] = std::max(m_highestRun[task], number);
    m_unrecordedEnds.push_back({++m_ends, task, number, how});
    trace("ends " + task + " run " + std::to_string(number) + ' ' + how);
    m_context.guarantees.ended(task);
    if (how == "done")
        m_context.guarantees.done(task);
    m_ended.notify();
}

auto StandInEndpoint::endDueRuns() -> void
{
    const auto now = clockMs();
    const auto lapsed = now >= m_leaseEndMs;
    const auto runs = m_runs;
    for (const auto &[task, run] : runs) {
        if (lapsed)
            endRun(task, "lapsed");
        else if (now >= run.endsMs)
            endRun(task, "done");
        else if (run.stopsMs > 0 && now >= run.stopsMs)
            endRun(task, "stopped");
    }
}

auto StandInEndpoint::work() -> AsyncNet::Task<void>
{
    while (m_alive) {
        endDueRuns();
        co_await AsyncNet::pause(workInterval);
    }
}

auto StandInEndpoint::announcement(std::int64_t sequence) const -> Utils::Json
{
    return {{"service", "work"},
            {"address", m_identity.address},
            {"zone", "z1"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"born", m_bornMs},
            {"capacity", {{"cpu", m_identity.cpu}, {"mem_mb", 64'000}, {"gpu", 0}}},
            {"labels", {"a", "r1"}},
            {"seq_no", sequence}};
}

auto StandInEndpoint::announce(Utils::Milliseconds first) -> AsyncNet::Task<void>
{
    co_await AsyncNet::pause(first);
    for (std::int64_t sequence = 1; m_alive; ++sequence) {
        if (m_cutOff) {
            co_await AsyncNet::pause(workInterval);
            continue;
        }
        AsyncNet::HttpRequest request;
        request.method = "PUT";
        request.target = "/trefoilshelf/instances/" + m_identity.id;
        request.body = announcement(sequence).dump();
        const auto control = std::size_t(m_context.draw(std::int64_t(m_controls.size())));
        const auto answer =
            co_await m_client.call(m_controls[control], std::move(request), announceTimeout);
        // The next announcement comes sooner if the process did not answer.
        co_await AsyncNet::pause(answer ? announceInterval : announceInterval / 2);
    }
}

} // namespace Soak
