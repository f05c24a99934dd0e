#pragma once

namespace Wire {

/*! \brief Redirects messages of the Thrift library to the log at debug level. Called at start. */
auto routeThriftLog() -> void;

} // namespace Wire
