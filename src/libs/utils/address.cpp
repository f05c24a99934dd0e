#include "address.h"

#include <charconv>

namespace Utils {

auto parseAddress(std::string_view text) -> Result<Address>
{
    constexpr auto maximumPort = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return failure(ErrorType::InvalidInput, "an address must be HOST:PORT", std::string(text));
    const auto digits = text.substr(colon + 1);
    auto port = -1;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const auto complete = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    if (!complete || port < 0 || port > maximumPort)
        return failure(
            ErrorType::InvalidInput, "the port must lie between 0 and 65535", std::string(text));
    return Address{std::string(text.substr(0, colon)), port};
}

} // namespace Utils
