#include "eventlog.h"

#include <array>

namespace Routing {
namespace {

using Utils::EnumName;

constexpr std::size_t maximumEvents = 1024;

constexpr std::array eventKindNames{
    EnumName<EventKind>{EventKind::Refused, "refused"},
    EnumName<EventKind>{EventKind::Retried, "retried"},
    EnumName<EventKind>{EventKind::Spilled, "spilled"},
    EnumName<EventKind>{EventKind::Ejected, "ejected"},
    EnumName<EventKind>{EventKind::Returned, "returned"},
    EnumName<EventKind>{EventKind::RequestRejected, "request-rejected"},
};

} // namespace

auto enumNames(EventKind) -> std::span<const EnumName<EventKind>>
{
    return eventKindNames;
}

EventLog::EventLog(const Utils::Clock &clock, Utils::Metrics *metrics)
    : m_clock(clock)
    , m_metrics(metrics)
{}

auto EventLog::add(Event event) -> void
{
    event.timeMs = m_clock.wallTime();
    if (m_metrics) {
        m_metrics->count(
            "trefoilshelf_routing_events_total",
            {{"kind", std::string(Utils::nameOf(event.kind))}, {"service", event.service}});
    }
    const std::scoped_lock lock(m_mutex);
    m_events.push_back(std::move(event));
    if (m_events.size() > maximumEvents)
        m_events.pop_front();
}

auto EventLog::recent() const -> std::vector<Event>
{
    const std::scoped_lock lock(m_mutex);
    return {m_events.begin(), m_events.end()};
}

} // namespace Routing
