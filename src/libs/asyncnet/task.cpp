#include "task.h"

#include "utils/log.h"

#include <exception>
#include <string>

namespace AsyncNet {

auto pause(Utils::Milliseconds duration) -> Task<void>
{
    Timer timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(useAwaitable, error));
}

auto start(asio::io_context &loop,
           std::string_view name,
           Task<void> task,
           std::shared_ptr<const void> owner) -> void
{
    const auto finish = [name = std::string(name),
                         owner = std::move(owner)](std::exception_ptr failure) {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &exception) {
            Utils::Log::error("asyncnet",
                              "a task ended with an exception",
                              {{"task", name}, {"reason", exception.what()}});
        }
    };
    asio::co_spawn(loop, std::move(task), finish);
}

Signal::Signal(asio::io_context &loop)
    : m_loop(loop)
{}

auto Signal::waitFor(Utils::Milliseconds duration) -> Task<void>
{
    Timer timer(m_loop);
    timer.expires_after(duration);
    m_waiting.push_back(&timer);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(useAwaitable, error));
    std::erase(m_waiting, &timer);
}

auto Signal::notify() -> void
{
    for (auto *timer : m_waiting)
        timer->cancel();
}

} // namespace AsyncNet
