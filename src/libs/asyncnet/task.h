#pragma once

// Boost.Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "utils/clock.h"

#include <memory>
#include <string_view>
#include <vector>

/*! Network I/O with coroutines on one event loop, one coroutine for each connection. */
namespace AsyncNet {

namespace asio = boost::asio;

/*! \brief A coroutine that runs on the event loop. */
template <typename T>
using Task = asio::awaitable<T>;

/*! \brief Waits for \a duration. */
auto pause(Utils::Milliseconds duration) -> Task<void>;

/*!
    \brief Runs \a task on \a loop; logs an exception that the task throws under \a name.

    The task starts only when the loop reaches it, so \a owner keeps the object that it uses alive.
*/
auto start(asio::io_context &loop,
           std::string_view name,
           Task<void> task,
           std::shared_ptr<const void> owner = {}) -> void;

/*! \brief Lets coroutines wait for a notification from another coroutine. Not thread-safe. */
class Signal
{
public:
    explicit Signal(asio::io_context &loop);

    /*! \brief Waits for the next notify(), at most for \a duration. */
    auto waitFor(Utils::Milliseconds duration) -> Task<void>;
    auto notify() -> void;

private:
    asio::io_context &m_loop;
    std::vector<asio::steady_timer *> m_waiting;
};

} // namespace AsyncNet
