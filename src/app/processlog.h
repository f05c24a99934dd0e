#pragma once

#include "replication/replicatedlog.h"
#include "settings/settings.h"

#include <memory>

namespace apache::thrift {
class TProcessor;
}

namespace App {

/*! \brief The log of one process and the service that it offers to peers. */
struct ProcessLog
{
    std::unique_ptr<Replication::ReplicatedLog> log;
    std::shared_ptr<apache::thrift::TProcessor> processor;
};

/*!
    \brief Makes the log that \a settings ask for: a voter's or an observer's.

    A process without peers is the only voter.
*/
auto makeProcessLog(const Settings::Settings &settings,
                    Replication::StateMachine &machine,
                    const Utils::Clock &clock,
                    std::uint64_t seed) -> ProcessLog;

} // namespace App
