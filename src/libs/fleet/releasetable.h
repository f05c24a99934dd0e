#pragma once

#include "movetypes.h"
#include "processtypes.h"

namespace Fleet {

/*! \brief The processes that have released the host of one draining move. */
struct HostRelease
{
    std::map<std::string, std::int64_t> incarnations; //!< Releasing incarnations, by process.
    std::string overriddenBy; //!< Operator who waived the missing releases; empty if none.
};

/*!
    \brief Keeps a move in its drain while a process may still send requests to the host.

    Every registered process of the host's zone must have released the host in its current
    incarnation, unless an operator waives the missing releases. The drain must also have lasted
    the longest routing lease, after which processes of other zones without contact to a quorum
    no longer send to the host.
*/
class ReleaseTable
{
public:
    /*! \brief Fails with Refused, naming what is missing, if \a move may not end its drain. */
    auto checkReleased(const Move &move,
                       const Host &host,
                       const ProcessTable &processes,
                       WallTimeMs nowMs) const -> Utils::Result<void>;
    /*! \brief Returns the processes of the host's zone that have not released it. */
    auto missingProcesses(const Move &move, const Host &host, const ProcessTable &processes) const
        -> std::vector<std::string>;
    auto isReleasedBy(const std::string &move, const ProcessRecord &process) const -> bool;

    auto release(const std::string &move, const std::string &process, std::int64_t incarnation)
        -> void;
    auto overrideRelease(const std::string &move, const std::string &actor) -> void;
    /*! \brief Removes the releases of \a move; called when its drain or the move ends. */
    auto remove(const std::string &move) -> void { m_releases.erase(move); }

    template <typename Archive>
    friend auto describe(Archive &archive, ReleaseTable &table) -> void
    {
        archive.optional("moves", table.m_releases);
    }

private:
    std::map<std::string, HostRelease> m_releases; //!< Releases by move.
};

template <typename Archive>
auto describe(Archive &archive, HostRelease &release) -> void
{
    archive.optional("incarnations", release.incarnations);
    archive.optional("overridden_by", release.overriddenBy);
}

} // namespace Fleet
