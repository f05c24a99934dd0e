#include "endpointinterface.h"

#include <httplib.h>

namespace Entry {

EndpointInterface::EndpointInterface(HttpServer &server, EndpointContext context)
    : m_context(std::move(context))
{
    server.routes().Post(R"(/v1/endpoints/([^/]+)/announce)",
                         [this](const httplib::Request &http, httplib::Response &response) {
                             handleAnnounce(http, response);
                         });
}

auto EndpointInterface::handleAnnounce(const httplib::Request &http, httplib::Response &response)
    -> void
{
    auto announcement = Utils::fromJsonText<Membership::Announcement>(http.body);
    if (!announcement) {
        setError(response, announcement.error());
        return;
    }
    announcement.value().id = http.matches[1].str();
    const auto host = findOrRegisterHost(announcement.value());
    if (!host) {
        setError(response, host.error());
        return;
    }
    m_context.directory.announce(std::move(announcement.value()));
    setJson(response,
            {{"lease_ms", m_context.directory.lease().count()},
             {"pool", host.value().pool},
             {"assignment_epoch", host.value().assignmentEpoch}});
}

auto EndpointInterface::findOrRegisterHost(const Membership::Announcement &announcement)
    -> Utils::Result<Fleet::Host>
{
    const auto find = [&](const Fleet::State &state) -> std::optional<Fleet::Host> {
        const auto *host = state.findHost(announcement.host);
        return host ? std::optional(*host) : std::nullopt;
    };
    if (const auto host = m_context.replica.read(find))
        return *host;
    Fleet::RegisterHost command{announcement.host,
                                announcement.service,
                                announcement.zone,
                                announcement.rack,
                                announcement.slots};
    const auto registered = m_context.gateway.execute(
        std::move(command),
        {m_context.processId, "first announcement of endpoint " + announcement.id, {}, {}});
    // Another process may have registered the host at the same time.
    if (const auto host = m_context.replica.read(find))
        return *host;
    if (!registered)
        return registered.error();
    return Utils::failure(Utils::ErrorType::NotFound,
                          "the host was registered but is not in the state of this process",
                          announcement.host);
}

} // namespace Entry
