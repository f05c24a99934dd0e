#include "addresses.h"

#include "utils/address.h"

namespace Service {

auto linkAddressOf(std::string_view replicationAddress) -> std::string
{
    const auto parsed = Utils::parseAddress(replicationAddress);
    if (!parsed)
        return {};
    return parsed.value().host + ':' + std::to_string(parsed.value().port + 1);
}

} // namespace Service
