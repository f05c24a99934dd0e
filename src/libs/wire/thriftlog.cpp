#include "thriftlog.h"

#include "utils/log.h"

#include <thrift/TOutput.h>

namespace Wire {

auto routeThriftLog() -> void
{
    apache::thrift::GlobalOutput.setOutputFunction(
        [](const char *message) { Utils::Log::write(Utils::Log::Level::Debug, "wire", message); });
}

} // namespace Wire
