#include "configuration.h"

#include <algorithm>

namespace Control {

auto Configuration::findQueue(std::string_view name) const -> const Queue *
{
    const auto found = std::ranges::lower_bound(queues, name, {}, &Queue::name);
    return found != queues.end() && found->name == name ? &*found : nullptr;
}

auto Configuration::findPool(std::string_view name) const -> const Pool *
{
    const auto found = std::ranges::find(pools, name, &Pool::name);
    return found != pools.end() ? &*found : nullptr;
}

auto Configuration::sortQueues() -> void
{
    std::ranges::sort(queues, {}, &Queue::name);
}

} // namespace Control
