#pragma once

#include "controlstate.h"

#include <string>
#include <vector>

namespace Control {

/*!
    \brief Returns commands that add the endpoint, or change its record. To be committed together.

    An incarnation that was removed although it had not ended goes on with the numbers of its ends, and
    drains if it did. So what was recorded of it before is recorded again.
*/
auto commandsToAdd(const State &state, EndpointRecord record) -> std::vector<Command>;

namespace Internal {

/*! \brief Appends what is known of removed endpoints in a form that older builds skip. */
auto saveRemoved(const State &state, std::vector<RecordStarts> &saved) -> void;
/*! \brief Takes in what saveRemoved() has saved; returns false if \a saved is something else. */
auto restoreRemoved(State &state, const RecordStarts &saved) -> bool;

} // namespace Internal
} // namespace Control
