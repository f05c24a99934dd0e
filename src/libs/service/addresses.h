#pragma once

#include <string>
#include <string_view>

namespace Service {

/*!
    \brief Returns the link address of the control process with \a replicationAddress.

    Entry processes and other control processes send their requests to the link address. It has the
    host of \a replicationAddress, where the process serves the replicated log, and the port after
    it. Returns an empty string if \a replicationAddress cannot be parsed.
*/
auto linkAddressOf(std::string_view replicationAddress) -> std::string;

} // namespace Service
