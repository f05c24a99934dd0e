#include "leaderlink.h"

#include "utils/log.h"

namespace Service {
namespace {

constexpr Utils::Milliseconds connectTimeout{400};
constexpr Utils::Milliseconds helloTimeout{800};
constexpr Utils::Milliseconds helloInterval{500};
// Interval between two queries to the same process while no leader is known.
constexpr Utils::Milliseconds searchInterval{100};
constexpr std::size_t maximumMembers = 64;

} // namespace

LeaderLink::LeaderLink(AsyncNet::asio::io_context &loop,
                       std::vector<std::string> seeds,
                       ControlIdentity identity)
    : m_loop(loop)
    , m_seeds(std::move(seeds))
    , m_identity(std::move(identity))
    , m_members(m_seeds.begin(), m_seeds.end())
    , m_changed(loop)
{}

auto LeaderLink::start() -> void
{
    AsyncNet::start(m_loop, "leader link", run());
}

auto LeaderLink::stop() -> void
{
    m_stopped = true;
    if (m_leader)
        m_leader->close();
}

auto LeaderLink::addMembers(const std::vector<std::string> &addresses) -> void
{
    for (const auto &address : addresses) {
        if (m_members.size() < maximumMembers)
            m_members.insert(address);
    }
}

auto LeaderLink::leader() const -> std::string
{
    return m_leader ? m_leader->address() : std::string();
}

auto LeaderLink::hello() const -> Wire::ControlRequest
{
    Wire::ControlRequest request;
    request.call = Wire::ControlCall::HELLO;
    request.processId = m_identity.processId;
    request.address = m_identity.address;
    request.zone = m_identity.zone;
    return request;
}

auto LeaderLink::run() -> AsyncNet::Task<void>
{
    while (!m_stopped) {
        if (!m_leader) {
            for (const auto &address : m_members) {
                if (m_queried.insert(address).second)
                    AsyncNet::start(m_loop, "leader search", query(address));
            }
        }
        co_await AsyncNet::pause(searchInterval);
    }
}

auto LeaderLink::query(std::string address) -> AsyncNet::Task<void>
{
    const auto client = std::make_shared<AsyncNet::FrameClient>(m_loop, address);
    const auto connected = co_await client->connect(connectTimeout);
    auto leads = false;
    while (connected && !m_leader && !m_stopped) {
        const auto reply = co_await client->call(hello(), helloTimeout);
        if (!reply)
            break;
        addMembers(reply.value().members);
        if (!reply.value().leaderAddress.empty())
            addMembers({reply.value().leaderAddress});
        leads = reply.value().outcome == Wire::ControlOutcome::DONE;
        if (leads)
            break;
        co_await AsyncNet::pause(searchInterval);
    }
    if (leads && !m_leader && !m_stopped)
        co_await keepConnection(client);
    client->close();
    m_queried.erase(address);
}

// Keeps the connection and sends periodic hello requests while the process at its other end leads.
auto LeaderLink::keepConnection(Client client) -> AsyncNet::Task<void>
{
    m_leader = client;
    Utils::Log::info("service", "found the leader", {{"address", client->address()}});
    m_changed.notify();
    while (!m_stopped && m_leader == client) {
        co_await m_changed.waitFor(helloInterval);
        if (m_stopped || m_leader != client)
            break;
        const auto reply = co_await client->call(hello(), helloTimeout);
        if (!reply) {
            drop(client, reply.error().message);
        } else if (reply.value().outcome != Wire::ControlOutcome::DONE) {
            drop(client, "it no longer leads");
        } else {
            addMembers(reply.value().members);
        }
    }
}

auto LeaderLink::drop(const Client &client, std::string_view reason) -> void
{
    if (m_leader != client)
        return;
    m_leader.reset();
    Utils::Log::warning(
        "service", "lost the leader", {{"address", client->address()}, {"reason", reason}});
    m_changed.notify();
}

auto LeaderLink::call(Wire::ControlRequest request,
                      Utils::Milliseconds leaderTimeout,
                      Utils::Milliseconds timeout)
    -> AsyncNet::Task<Utils::Result<Wire::ControlReply>>
{
    const auto started = std::chrono::steady_clock::now();
    for (;;) {
        const auto waited = std::chrono::duration_cast<Utils::Milliseconds>(
            std::chrono::steady_clock::now() - started);
        const auto client = m_leader;
        if (!client) {
            if (m_stopped || waited >= leaderTimeout)
                co_return Utils::failure(Utils::ErrorType::Unavailable, "no leader is known");
            co_await m_changed.waitFor(leaderTimeout - waited);
            continue;
        }
        auto reply = co_await client->call(request, timeout);
        if (!reply) {
            drop(client, reply.error().message);
            if (reply.error().type == Utils::ErrorType::Unavailable)
                continue;
            co_return reply.error();
        }
        if (reply.value().outcome != Wire::ControlOutcome::NOT_LEADER)
            co_return reply.value();
        drop(client, "it no longer leads");
    }
}

} // namespace Service
