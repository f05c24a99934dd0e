#pragma once

#include <string>
#include <string_view>

namespace Service {

/*!
    \brief Returns where a control process takes requests of entries and other control processes.

    It is the port after that of \a replicationAddress, its listener for the replicated log.
*/
auto linkAddressOf(std::string_view replicationAddress) -> std::string;

} // namespace Service
