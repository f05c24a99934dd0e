#include "leaderlink.h"

#include "utils/log.h"

namespace Service {
namespace {

constexpr Utils::Milliseconds connectTimeout{400};
constexpr Utils::Milliseconds helloTimeout{800};
constexpr Utils::Milliseconds helloInterval{500};
constexpr Utils::Milliseconds searchPause{60};
constexpr std::size_t mostMembers = 64;

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
        if (m_members.size() < mostMembers)
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

auto LeaderLink::nextAddress() -> std::string
{
    if (!m_hint.empty())
        return std::exchange(m_hint, {});
    if (m_members.empty())
        return {};
    auto member = m_members.begin();
    std::advance(member, m_tries++ % m_members.size());
    return *member;
}

auto LeaderLink::run() -> AsyncNet::Task<void>
{
    while (!m_stopped) {
        const auto address = nextAddress();
        if (!address.empty())
            co_await tryAddress(address);
        co_await AsyncNet::pause(searchPause);
    }
}

auto LeaderLink::tryAddress(std::string address) -> AsyncNet::Task<void>
{
    const auto client = std::make_shared<AsyncNet::FrameClient>(m_loop, address);
    const auto connected = co_await client->connect(connectTimeout);
    if (!connected)
        co_return;
    const auto reply = co_await client->call(hello(), helloTimeout);
    if (!reply)
        co_return;
    addMembers(reply.value().members);
    if (reply.value().outcome == Wire::ControlOutcome::DONE)
        co_await keep(client);
    else if (reply.value().leaderAddress != address)
        m_hint = reply.value().leaderAddress;
}

// Holds the connection for as long as the process at its other end leads.
auto LeaderLink::keep(Client client) -> AsyncNet::Task<void>
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
            m_hint = reply.value().leaderAddress;
            drop(client, "it no longer leads");
        } else {
            addMembers(reply.value().members);
        }
    }
    client->close();
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
                      Utils::Milliseconds patience,
                      Utils::Milliseconds timeout)
    -> AsyncNet::Task<Utils::Result<Wire::ControlReply>>
{
    const auto started = std::chrono::steady_clock::now();
    for (;;) {
        const auto waited = std::chrono::duration_cast<Utils::Milliseconds>(
            std::chrono::steady_clock::now() - started);
        const auto client = m_leader;
        if (!client) {
            if (m_stopped || waited >= patience)
                co_return Utils::failure(Utils::ErrorType::Unavailable, "no leader is known");
            co_await m_changed.waitFor(patience - waited);
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
            co_return std::move(reply.value());
        m_hint = reply.value().leaderAddress;
        drop(client, "it no longer leads");
    }
}

} // namespace Service
