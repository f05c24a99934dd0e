#include "memorybudget.h"

namespace Service {

constexpr std::int64_t bytesPerMb = 1024 * 1024;
constexpr std::int64_t clientsDivisor = 4;
constexpr std::int64_t linksDivisor = 8;
constexpr std::int64_t replicationDivisor = 8;

auto divideMemory(std::int64_t memoryMb) -> MemoryBudget
{
    const auto bytes = memoryMb * bytesPerMb;
    return {bytes / clientsDivisor, bytes / linksDivisor, bytes / replicationDivisor};
}

} // namespace Service
