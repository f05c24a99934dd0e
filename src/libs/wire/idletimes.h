#pragma once

#include "utils/clock.h"

namespace Wire {

/*! \brief A client replaces a connection that has been idle for longer, since its server may be about to close it. */
inline constexpr Utils::Milliseconds longestIdleTimeOfClients{4'000};
/*! \brief A server closes a connection that has been idle for longer: its client has replaced it, or is gone. */
inline constexpr Utils::Milliseconds longestIdleTimeOfServers{10'000};

} // namespace Wire
