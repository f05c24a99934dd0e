#pragma once

#include "configuration.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Control {

/*! \brief Route of the requests of one queue, as entry processes use it. */
struct CallerRoute
{
    std::string queue;
    std::string host; //!< Host name in the callers' requests.
    std::string pathPrefix;
    std::string pool;

    auto address() const -> Jobs::QueueAddress { return {host, pathPrefix}; }
    auto operator==(const CallerRoute &) const -> bool = default;
};

/*!
    \brief The difference of the callers' routes between two versions of the configuration.

    Only differences are sent, since the links to entry processes have little bandwidth and
    operators may change a configuration of thousands of routes several times a second.
*/
struct CallerRoutesUpdate
{
    std::int64_t version = 0;
    std::int64_t baseVersion = 0;     //!< Version to which it applies; 0 if it contains all routes.
    std::vector<CallerRoute> changed; //!< New routes, or replacements for those of the same queue.
    std::vector<std::string> removed; //!< Names of queues without a route now.
    CallerLimits limits;
};

/*! \brief The routes of the callers' requests in one version of the configuration. */
class CallerRoutes
{
public:
    CallerRoutes() = default;
    CallerRoutes(const CallerRoutes &) = delete;
    auto operator=(const CallerRoutes &) -> CallerRoutes & = delete;
    explicit CallerRoutes(const Configuration &configuration);

    auto version() const -> std::int64_t { return m_version; }
    auto limits() const -> const CallerLimits & { return m_limits; }
    /*!
        \brief Returns the route of \a host whose prefix is the longest that matches \a path.

        Returns nullptr if there is none.
    */
    auto find(std::string_view host, std::string_view path) const -> const CallerRoute *;
    /*!
        \brief Returns the update from \a base to this version; an empty \a base gives all routes.
    */
    auto changesSince(const CallerRoutes &base) const -> CallerRoutesUpdate;
    /*!
        \brief Applies \a update.

        Returns false and changes nothing if \a update is not newer or applies to another version.
    */
    auto apply(const CallerRoutesUpdate &update) -> bool;

private:
    auto indexHosts() -> void;

    std::int64_t m_version = 0;
    CallerLimits m_limits;
    std::map<std::string, CallerRoute> m_routes; //!< Routes by queue.
    //! Routes by host; longer prefixes come first.
    std::map<std::string, std::vector<const CallerRoute *>, std::less<>> m_hosts;
};

/*! \brief Keeps the latest versions, so that entry processes that have one get only an update. */
class CallerRoutesHistory
{
public:
    /*! \brief Adds the routes of \a configuration if it is newer than the newest version. */
    auto add(const Configuration &configuration) -> void;
    /*!
        \brief Returns the update from \a version to the newest one; all routes if it is not kept.
    */
    auto updateFrom(std::int64_t version) const -> CallerRoutesUpdate;
    auto newestVersion() const -> std::int64_t;

private:
    std::deque<CallerRoutes> m_versions;
};

// The field names are short, since the update of a large configuration has thousands of routes.
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
