#pragma once

#include "contracttypes.h"

/*! Commands that change contracts, pools and hosts. */
namespace Fleet {

/*! \brief Creates or replaces a customer's contract and creates missing pools that it names. */
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

/*! \brief Adds a new host to the pool that serves its endpoint's service. */
struct RegisterHost
{
    static constexpr std::string_view typeName = "register-host";
    std::string host;
    std::string service;
    std::string zone;
    std::string rack;
    std::int64_t slots = 0;
};

/*! \brief Reports that a host failed or returned, as the membership observed it. */
struct ReportHost
{
    static constexpr std::string_view typeName = "report-host";
    std::string host;
    bool failed = false;
    //! Time of the failure. The command's time is used instead if this is 0 or later than that.
    WallTimeMs observedMs = 0;
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
