#include "configuration.h"

#include <algorithm>

namespace Control {

auto Configuration::findQueue(std::string_view name) const -> const Queue *
{
    const auto found = std::ranges::lower_bound(queues, name, {}, &Queue::name);
    return found != queues.end() && found->name == name ? &*found : nullptr;
}

auto Configuration::findQueue(const Jobs::QueueAddress &address, std::string_view name) const
    -> const Queue *
{
    const auto isAtAddress = [&address](const Queue &queue) {
        return queue.host == address.host && queue.pathPrefix == address.pathPrefix;
    };
    // Most queues keep their names, and a configuration may have thousands of them.
    const auto *named = findQueue(name);
    if (!address.isKnown() || (named != nullptr && isAtAddress(*named)))
        return named;
    const auto found = std::ranges::find_if(queues, isAtAddress);
    return found != queues.end() ? &*found : nullptr;
}

auto Configuration::termsOf(const Jobs::JobSpec &job) const -> Jobs::QueueTerms
{
    const auto *queue = findQueue(job.address, job.queue);
    return queue != nullptr ? queue->terms() : job.terms;
}

auto Configuration::holdsJob(const Jobs::QueueAddress &address,
                             std::string_view name,
                             const Jobs::JobSpec &job) const -> bool
{
    if (job.address.isKnown() && address.isKnown())
        return job.address == address;
    if (job.address.isKnown()) {
        const auto *queue = findQueue(name);
        return queue != nullptr ? queue->address() == job.address : job.queue == name;
    }
    // The name tells nothing once no queue has it.
    return job.queue == name || findQueue(job.queue) == nullptr;
}

auto Queue::terms() const -> Jobs::QueueTerms
{
    return {priority, stretch, objectiveMs, maximumAttempts};
}

auto Configuration::findPool(std::string_view name) const -> const Pool *
{
    const auto found = std::ranges::find(pools, name, &Pool::name);
    return found != pools.end() ? &*found : nullptr;
}

auto Configuration::findAccount(std::string_view name) const -> const Accounts::ClientAccount *
{
    if (!accounts)
        return nullptr;
    const auto found =
        std::ranges::lower_bound(*accounts, name, {}, &Accounts::ClientAccount::name);
    return found != accounts->end() && found->name == name ? &*found : nullptr;
}

auto Configuration::findAccountByKey(std::string_view digest) const
    -> const Accounts::ClientAccount *
{
    if (!accounts)
        return nullptr;
    const auto hasKey = [digest](const Accounts::ClientAccount &account) {
        return std::ranges::find(account.keyDigests, digest) != account.keyDigests.end();
    };
    const auto found = std::ranges::find_if(*accounts, hasKey);
    return found != accounts->end() ? &*found : nullptr;
}

auto Configuration::sealDocument() -> Utils::Result<void>
{
    if (!accounts || sealedDocument)
        return Utils::success();
    BOOST_OUTCOME_TRY(sealed, Utils::seal(document));
    sealedDocument = std::move(sealed);
    document.clear();
    return Utils::success();
}

auto Configuration::openDocument() const -> Utils::Result<std::string>
{
    if (!sealedDocument)
        return document;
    return Utils::open(*sealedDocument);
}

auto Configuration::sortByName() -> void
{
    std::ranges::sort(queues, {}, &Queue::name);
    if (accounts)
        std::ranges::sort(*accounts, {}, &Accounts::ClientAccount::name);
}

} // namespace Control
