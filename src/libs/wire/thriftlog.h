#pragma once

namespace Wire {

/*! \brief Makes the Thrift library write its messages as debug lines of the log. Called once, at start. */
auto routeThriftLog() -> void;

} // namespace Wire
