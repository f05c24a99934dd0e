#pragma once

#include "replication/replicatedlog.h"
#include "settings/settings.h"

#include <memory>

namespace apache::thrift {
class TProcessor;
}

namespace App {

/*! \brief Replicated log of a process and the Thrift processor that serves peers. */
struct ProcessLog
{
    std::unique_ptr<Replication::ReplicatedLog> log;
    std::shared_ptr<apache::thrift::TProcessor> processor;
};

/*!
    \brief Creates the log of a voter or of an observer, depending on \a settings.

    A process without peers is the only voter.
*/
auto makeProcessLog(const Settings::Settings &settings,
                    Replication::StateMachine &machine,
                    const Utils::Clock &clock,
                    std::uint64_t seed) -> ProcessLog;

} // namespace App
