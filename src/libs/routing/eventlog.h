#pragma once

#include "utils/clock.h"
#include "utils/fields.h"
#include "utils/metrics.h"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace Routing {

enum class EventKind { Refused, Retried, Spilled, Ejected, Returned, RequestRejected };

auto enumNames(EventKind) -> std::span<const Utils::EnumName<EventKind>>;

/*! \brief A routing decision about a request or an endpoint, with its reason. */
struct Event
{
    Utils::WallTimeMs timeMs = 0;
    EventKind kind = EventKind::Refused;
    std::string request;
    std::string customer;
    std::string service;
    std::string endpoint;
    std::string reason;
};

template <typename Archive>
auto describe(Archive &archive, Event &event) -> void
{
    archive.required("time_ms", event.timeMs);
    archive.required("kind", event.kind);
    archive.optional("request", event.request);
    archive.optional("customer", event.customer);
    archive.optional("service", event.service);
    archive.optional("endpoint", event.endpoint);
    archive.optional("reason", event.reason);
}

/*! \brief Counts routing decisions and keeps the last 1024 of this process. Thread-safe. */
class EventLog
{
public:
    EventLog(const Utils::Clock &clock, Utils::Metrics *metrics);

    auto add(Event event) -> void;
    auto recent() const -> std::vector<Event>;

private:
    const Utils::Clock &m_clock;
    Utils::Metrics *m_metrics;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
};

} // namespace Routing
