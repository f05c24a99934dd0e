#include "jobtypes.h"

#include <array>
#include <charconv>

namespace Jobs {

auto firstOfStep(TaskId task) -> TaskId
{
    task.index = 0;
    return task;
}

auto toText(const TaskId &task) -> std::string
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
           + std::to_string(task.index);
}

auto taskFromText(std::string_view text) -> std::optional<TaskId>
{
    TaskId task;
    const std::array<std::int64_t *, 3> numbers{&task.index, &task.step, &task.occurrence};
    for (auto *number : numbers) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const auto part = text.substr(dot + 1);
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), *number);
        if (error != std::errc() || end != part.data() + part.size() || *number < 0)
            return std::nullopt;
        text = text.substr(0, dot);
    }
    task.job = text;
    return task;
}

} // namespace Jobs
