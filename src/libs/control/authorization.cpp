#include "authorization.h"

namespace Control {

auto authorize(const Configuration &configuration, const Queue *queue, std::string_view keyDigest)
    -> Authorization
{
    if (!configuration.accounts)
        return {KeyCheck::NotNeeded, {}, 0};
    if (keyDigest.empty()) {
        const auto isPublic = queue != nullptr && queue->isPublic;
        return {isPublic ? KeyCheck::Public : KeyCheck::Missing, {}, 0};
    }
    const auto *account = configuration.findAccountByKey(keyDigest);
    if (account == nullptr)
        return {KeyCheck::Unknown, {}, 0};
    return {KeyCheck::Known, account->name, 0};
}

} // namespace Control
