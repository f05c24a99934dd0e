#pragma once

#include "error.h"

#include <string>
#include <string_view>

namespace Utils {

struct Address
{
    std::string host;
    int port = 0;
};

/*! \brief Parses an address in the form HOST:PORT. */
auto parseAddress(std::string_view text) -> Result<Address>;

} // namespace Utils
