#pragma once

#include "controlstate.h"

#include <string>
#include <string_view>

namespace Control::Internal {

/*! \brief Sets what \a job keeps of the queue that has its queue's name. */
auto keepQueue(const Configuration &configuration, Jobs::JobSpec &job) -> void;

/*! \brief Returns \a state in serialized form, with the leases as they are at \a now. */
auto encodeSnapshot(const State &state, Utils::Instant now) -> std::string;

/*!
    \brief Returns the state that encodeSnapshot() has encoded, as of \a now.

    Its endpoints have changed in \a endpointsVersion. Fails with InvalidInput.
*/
auto decodeSnapshot(std::string_view bytes, Utils::Instant now, std::uint64_t endpointsVersion)
    -> Utils::Result<State>;

} // namespace Control::Internal
