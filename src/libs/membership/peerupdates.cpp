#include "peerupdates.h"

#include "MembershipService.h"

#include "utils/address.h"
#include "utils/log.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/protocol/TMultiplexedProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace Membership {
namespace {

using Utils::Milliseconds;

// Interval between the checks for a requested stop while the own set does not change.
constexpr Milliseconds stopCheckInterval{100};

auto toRecord(const LeasedRecord &leased) -> Wire::EndpointRecord
{
    const auto &announcement = leased.announcement;
    Wire::EndpointRecord record;
    record.id = announcement.id;
    record.serviceName = announcement.service;
    record.address = announcement.address;
    record.host = announcement.host;
    record.rack = announcement.rack;
    record.zone = announcement.zone;
    record.slots = std::int32_t(announcement.slots);
    record.connections = std::int32_t(announcement.connections);
    record.incarnation = announcement.incarnation;
    record.sequence = announcement.sequence;
    record.state = std::int32_t(announcement.state);
    record.inFlight = std::int32_t(announcement.inFlight);
    record.leaseMs = std::int32_t(leased.lease.count());
    return record;
}

auto fromRecord(const Wire::EndpointRecord &record) -> LeasedRecord
{
    LeasedRecord leased;
    auto &announcement = leased.announcement;
    announcement.id = record.id;
    announcement.service = record.serviceName;
    announcement.address = record.address;
    announcement.host = record.host;
    announcement.rack = record.rack;
    announcement.zone = record.zone;
    announcement.slots = record.slots;
    announcement.connections = record.connections;
    announcement.incarnation = record.incarnation;
    announcement.sequence = record.sequence;
    const auto isKnown = record.state >= 0 && record.state <= int(EndpointState::Leaving);
    // An endpoint in a state that this version does not know gets no new requests.
    announcement.state = isKnown ? EndpointState(record.state) : EndpointState::Leaving;
    announcement.inFlight = record.inFlight;
    leased.lease = Milliseconds(record.leaseMs);
    return leased;
}

auto toDelta(const Wire::DirectoryUpdate &update) -> SetDelta
{
    SetDelta delta;
    delta.process = update.processId;
    delta.incarnation = update.processIncarnation;
    delta.baseVersion = update.baseVersion;
    delta.version = update.setVersion;
    delta.full = update.full;
    delta.setLease = Milliseconds(update.setLeaseMs);
    delta.removed = update.removed;
    for (const auto &record : update.changed)
        delta.changed.push_back(fromRecord(record));
    return delta;
}

class MembershipHandler final : public Wire::MembershipServiceIf
{
public:
    MembershipHandler(EndpointDirectory &directory, DemandTable &demand)
        : m_directory(directory)
        , m_demand(demand)
    {}

    auto update(Wire::DirectoryReply &reply, const Wire::DirectoryUpdate &update) -> void override
    {
        const auto applied = m_directory.applyPeer(toDelta(update));
        m_directory.setPeerInFlight(update.processId, update.inFlight);
        std::vector<Demand> demand;
        for (const auto &record : update.demand)
            demand.push_back({record.serviceName, record.customer, record.requests});
        m_demand.setPeer(update.processId, update.zone, std::move(demand));
        reply.setVersion = applied ? update.setVersion : 0;
        reply.sendFull = !applied;
    }

private:
    EndpointDirectory &m_directory;
    DemandTable &m_demand;
};

} // namespace

auto makeMembershipProcessor(EndpointDirectory &directory, DemandTable &demand)
    -> std::shared_ptr<apache::thrift::TProcessor>
{
    return std::make_shared<Wire::MembershipServiceProcessor>(
        std::make_shared<MembershipHandler>(directory, demand));
}

class PeerLink::Connection
{
public:
    Connection(const Utils::Address &address, Milliseconds timeout)
    {
        auto socket =
            std::make_shared<apache::thrift::transport::TSocket>(address.host, address.port);
        socket->setConnTimeout(int(timeout.count()));
        socket->setSendTimeout(int(timeout.count()));
        socket->setRecvTimeout(int(timeout.count()));
        m_transport = std::make_shared<apache::thrift::transport::TFramedTransport>(socket);
        auto protocol = std::make_shared<apache::thrift::protocol::TCompactProtocol>(m_transport);
        m_client = std::make_unique<Wire::MembershipServiceClient>(
            std::make_shared<apache::thrift::protocol::TMultiplexedProtocol>(
                protocol, membershipServiceName));
        m_transport->open();
    }

    auto update(const Wire::DirectoryUpdate &message) -> Wire::DirectoryReply
    {
        Wire::DirectoryReply reply;
        m_client->update(reply, message);
        return reply;
    }

private:
    std::shared_ptr<apache::thrift::transport::TFramedTransport> m_transport;
    std::unique_ptr<Wire::MembershipServiceClient> m_client;
};

PeerLink::PeerLink(PeerLinkOptions options,
                   ProcessIdentity self,
                   EndpointDirectory &directory,
                   std::function<LocalLoad()> localLoad)
    : m_options(std::move(options))
    , m_self(std::move(self))
    , m_directory(directory)
    , m_localLoad(std::move(localLoad))
{}

PeerLink::~PeerLink() = default;

auto PeerLink::run(Utils::StopSignal &stop) -> void
{
    while (!stop.isRequested()) {
        const auto sent = sendUpdate();
        if (sent != m_reachable) {
            Utils::Log::info("membership",
                             sent ? "peer is reachable" : "peer is not reachable",
                             {{"peer", m_options.peer}});
        }
        m_reachable = sent;
        for (Milliseconds waited{0}; waited < m_options.interval; waited += stopCheckInterval) {
            if (stop.isRequested())
                return;
            if (!sent) {
                stop.waitFor(stopCheckInterval);
                continue;
            }
            m_directory.waitForChange(m_acknowledged, stopCheckInterval);
            if (m_directory.version() != m_acknowledged)
                break;
        }
    }
}

auto PeerLink::sendUpdate() -> bool
{
    auto delta = m_directory.changesSince(m_acknowledged);
    Wire::DirectoryUpdate message;
    message.processId = m_self.id;
    message.zone = m_self.zone;
    message.processIncarnation = m_self.incarnation;
    message.baseVersion = delta.baseVersion;
    message.setVersion = delta.version;
    message.full = delta.full;
    message.setLeaseMs = std::int32_t(delta.setLease.count());
    message.removed = std::move(delta.removed);
    for (const auto &record : delta.changed)
        message.changed.push_back(toRecord(record));
    auto load = m_localLoad();
    message.inFlight.insert(load.inFlight.begin(), load.inFlight.end());
    for (const auto &demand : load.demand) {
        auto &record = message.demand.emplace_back();
        record.serviceName = demand.service;
        record.customer = demand.customer;
        record.requests = demand.requests;
    }
    for (const auto &summary : m_directory.summaries()) {
        auto &record = message.summaries.emplace_back();
        record.pool = summary.service;
        record.endpoints = summary.endpoints;
        record.slots = summary.slots;
        record.inFlight = summary.inFlight;
    }
    try {
        if (!m_connection) {
            const auto address = Utils::parseAddress(m_options.address);
            if (!address)
                return false;
            m_connection = std::make_unique<Connection>(address.value(), m_options.callTimeout);
        }
        const auto reply = m_connection->update(message);
        m_acknowledged = reply.sendFull ? 0 : reply.setVersion;
        return true;
    } catch (const apache::thrift::TException &exception) {
        Utils::Log::info("membership",
                         "sending an update to a peer failed",
                         {{"peer", m_options.peer}, {"reason", exception.what()}});
        m_connection.reset();
        return false;
    }
}

} // namespace Membership
