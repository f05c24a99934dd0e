#pragma once

// Boost.Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "utils/clock.h"

#include <chrono>
#include <memory>
#include <string_view>
#include <vector>

/*! Network I/O with coroutines on one event loop, one coroutine for each connection. */
namespace AsyncNet {

namespace asio = boost::asio;

/*!
    \brief The executor of all coroutines, sockets and timers.

    It is named as a type, since the polymorphic executor that is Boost.Asio's default allocates
    memory for each handler.
*/
using Executor = asio::io_context::executor_type;

/*! \brief A coroutine that runs on the event loop. */
template <typename T>
using Task = asio::awaitable<T, Executor>;

/*! \brief Makes an asynchronous operation of Boost.Asio return a task. */
inline constexpr asio::use_awaitable_t<Executor> useAwaitable;

using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         Executor>;

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
    std::vector<Timer *> m_waiting;
};

} // namespace AsyncNet
