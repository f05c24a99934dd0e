#include "clientaccount.h"

#include "utils/ids.h"

namespace Accounts {

auto digestOf(std::string_view key) -> std::string
{
    return Utils::sha256Hex(key);
}

} // namespace Accounts
