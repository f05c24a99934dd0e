#include "configuration.h"

#include <algorithm>

namespace Control {

auto Configuration::findQueue(std::string_view name) const -> const Queue *
{
    const auto found = std::ranges::find(queues, name, &Queue::name);
    return found != queues.end() ? &*found : nullptr;
}

auto Configuration::findPool(std::string_view name) const -> const Pool *
{
    const auto found = std::ranges::find(pools, name, &Pool::name);
    return found != pools.end() ? &*found : nullptr;
}

auto Configuration::route(std::string_view host, std::string_view path) const -> const Queue *
{
    const Queue *best = nullptr;
    for (const auto &queue : queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

} // namespace Control
