#pragma once

#include "contracttypes.h"

/*! Commands on what contracttypes.h defines. */
namespace Fleet {

/*! \brief Creates or replaces a customer's contract; pools it names are created with it. */
struct PutContract
{
    static constexpr std::string_view typeName = "put-contract";
    Contract contract;
    bool acceptWarnings = false;
};

struct PutPool
{
    static constexpr std::string_view typeName = "put-pool";
    Pool pool;
};

/*! \brief Adds a host seen for the first time to the pool of its endpoint's service. */
struct RegisterHost
{
    static constexpr std::string_view typeName = "register-host";
    std::string host;
    std::string service;
    std::string zone;
    std::string rack;
    std::int64_t slots = 0;
};

/*! \brief Reports that a host failed or came back, as seen by the membership. */
struct ReportHost
{
    static constexpr std::string_view typeName = "report-host";
    std::string host;
    bool failed = false;
    WallTimeMs observedMs =
        0; //!< When it was seen; 0 or later than the command: the command's time.
};

template <typename Archive>
auto describe(Archive &archive, PutContract &command) -> void
{
    archive.required("contract", command.contract);
    archive.optional("accept_warnings", command.acceptWarnings);
}

template <typename Archive>
auto describe(Archive &archive, PutPool &command) -> void
{
    archive.required("pool", command.pool);
}

template <typename Archive>
auto describe(Archive &archive, RegisterHost &command) -> void
{
    archive.required("host", command.host);
    archive.required("service", command.service);
    archive.required("zone", command.zone);
    archive.required("rack", command.rack);
    archive.required("slots", command.slots);
}

template <typename Archive>
auto describe(Archive &archive, ReportHost &command) -> void
{
    archive.required("host", command.host);
    archive.required("failed", command.failed);
    archive.optional("observed_ms", command.observedMs);
}

} // namespace Fleet
