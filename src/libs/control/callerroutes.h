#pragma once

#include "configuration.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Control {

/*! \brief What an entry process needs to know of a queue. */
struct CallerRoute
{
    std::string queue;
    std::string host; //!< Of the callers' requests.
    std::string pathPrefix;
    std::string pool;

    auto operator==(const CallerRoute &) const -> bool = default;
};

/*!
    \brief The change of the callers' routes from one version of the configuration to another.

    Entry processes have narrow links, and operators change a configuration of thousands of routes
    several times a second: only what differs is sent.
*/
struct CallerRoutesUpdate
{
    std::int64_t version = 0;
    std::int64_t baseVersion = 0;     //!< Version that it changes; 0: it holds all routes.
    std::vector<CallerRoute> changed; //!< New, or in place of the route of the same queue.
    std::vector<std::string> removed; //!< Queues.
    CallerLimits limits;
};

/*! \brief The routes of callers' requests in one version of the configuration. */
class CallerRoutes
{
public:
    CallerRoutes() = default;
    CallerRoutes(const CallerRoutes &) = delete;
    auto operator=(const CallerRoutes &) -> CallerRoutes & = delete;
    explicit CallerRoutes(const Configuration &configuration);

    auto version() const -> std::int64_t { return m_version; }
    auto limits() const -> const CallerLimits & { return m_limits; }
    /*! \brief Returns the route of \a host with the longest prefix of \a path, or nullptr. */
    auto find(std::string_view host, std::string_view path) const -> const CallerRoute *;
    /*! \brief Returns what changes \a base into this; an empty \a base gives all routes. */
    auto changesSince(const CallerRoutes &base) const -> CallerRoutesUpdate;
    /*! \brief Takes over a newer version; returns false if \a update changes another base. */
    auto apply(const CallerRoutesUpdate &update) -> bool;

private:
    auto indexHosts() -> void;

    std::int64_t m_version = 0;
    CallerLimits m_limits;
    std::map<std::string, CallerRoute> m_routes; //!< By queue.
    //! By host; those with longer prefixes first.
    std::map<std::string, std::vector<const CallerRoute *>, std::less<>> m_hosts;
};

/*! \brief Keeps the latest versions, so that updates can be sent from those that entries hold. */
class CallerRoutesHistory
{
public:
    /*! \brief Notes the routes of \a configuration, if it is newer than what is known. */
    auto add(const Configuration &configuration) -> void;
    /*! \brief Returns the update from \a version to the newest one. */
    auto updateFrom(std::int64_t version) const -> CallerRoutesUpdate;
    auto newestVersion() const -> std::int64_t;

private:
    std::deque<CallerRoutes> m_versions;
};

// Short names: the update of a large configuration has thousands of routes.
template <typename Archive>
auto describe(Archive &archive, CallerRoute &route) -> void
{
    archive.required("q", route.queue);
    archive.required("h", route.host);
    archive.required("x", route.pathPrefix);
    archive.required("p", route.pool);
}

template <typename Archive>
auto describe(Archive &archive, CallerRoutesUpdate &update) -> void
{
    archive.required("version", update.version);
    archive.required("base", update.baseVersion);
    archive.optional("changed", update.changed);
    archive.optional("removed", update.removed);
    archive.optional("limits", update.limits);
}

} // namespace Control
