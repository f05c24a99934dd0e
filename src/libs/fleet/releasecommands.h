#pragma once

#include "processtypes.h"

/*! Commands on processes and on the release of draining hosts. */
namespace Fleet {

/*! \brief Registers a started process; open claims of its lower incarnations become Unknown. */
struct RegisterProcess
{
    static constexpr std::string_view typeName = "register-process";
    static constexpr bool resultKept = false;
    std::string process;
    std::string zone;
    std::int64_t incarnation = 0;
    std::int64_t routingLeaseMs = 0;
};

/*! \brief Removes a process that will not return, so that no move waits for it. */
struct RetireProcess
{
    static constexpr std::string_view typeName = "retire-process";
    std::string process;
    std::string reason;
};

/*!
    \brief Reports that a process has released a draining host.

    The process sends no more requests to the host and has none in flight there.
*/
struct ReleaseHost
{
    static constexpr std::string_view typeName = "release-host";
    static constexpr bool resultKept = false;
    std::string move;
    std::string host;
    std::int64_t epoch = 0;
    std::string process;
    std::int64_t incarnation = 0;
};

/*! \brief Lets a move proceed without the missing releases, by decision of an operator. */
struct OverrideRelease
{
    static constexpr std::string_view typeName = "override-release";
    std::string move;
    std::string reason;
};

template <typename Archive>
auto describe(Archive &archive, RegisterProcess &command) -> void
{
    archive.required("process", command.process);
    archive.required("zone", command.zone);
    archive.required("incarnation", command.incarnation);
    archive.optional("routing_lease_ms", command.routingLeaseMs, Utils::Range{0, 3'600'000});
}

template <typename Archive>
auto describe(Archive &archive, RetireProcess &command) -> void
{
    archive.required("process", command.process);
    archive.optional("reason", command.reason);
}

template <typename Archive>
auto describe(Archive &archive, ReleaseHost &command) -> void
{
    archive.required("move", command.move);
    archive.required("host", command.host);
    archive.required("epoch", command.epoch);
    archive.required("process", command.process);
    archive.required("incarnation", command.incarnation);
}

template <typename Archive>
auto describe(Archive &archive, OverrideRelease &command) -> void
{
    archive.required("move", command.move);
    archive.required("reason", command.reason);
}

} // namespace Fleet
