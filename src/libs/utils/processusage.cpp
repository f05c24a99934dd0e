#include "processusage.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace Utils {

auto processUsage() -> ProcessUsage
{
    constexpr std::int64_t bytesPerKilobyte = 1024;
    ProcessUsage usage;
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        std::istringstream words(line);
        std::string key;
        std::int64_t value = 0;
        words >> key >> value;
        if (key == "VmRSS:")
            usage.residentBytes = value * bytesPerKilobyte;
        else if (key == "Threads:")
            usage.threads = value;
    }
    std::error_code error;
    for (std::filesystem::directory_iterator files("/proc/self/fd", error), end;
         !error && files != end;
         files.increment(error))
        ++usage.openFiles;
    return usage;
}

} // namespace Utils
