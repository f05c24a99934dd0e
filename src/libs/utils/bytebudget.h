#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

namespace Utils {

/*!
    \brief Bytes that the messages of all clients of some listeners may hold together. Thread-safe.

    Answers clients that aren't controlled: each one may stay within the limits of a message, and
    many of them together would still take the memory of the host. What doesn't fit is refused
    before it is read.
*/
class ByteBudget
{
public:
    explicit ByteBudget(std::int64_t bytes)
        : m_bytes(bytes)
    {}

    auto bytes() const -> std::int64_t { return m_bytes; }
    auto held() const -> std::int64_t { return m_held; }

private:
    friend class HeldBytes;

    // Returns false, and takes nothing, if fewer than spared bytes would be left.
    auto take(std::int64_t bytes, std::int64_t spared) -> bool;

    std::int64_t m_bytes;
    std::atomic<std::int64_t> m_held = 0;
};

/*!
    \brief The bytes of a ByteBudget that one client holds; given back at the end of its life.

    A client that holds much leaves a share of the budget to those that hold little, so that a crowd
    with large messages doesn't shut out clients with small ones.
*/
class HeldBytes
{
public:
    explicit HeldBytes(std::shared_ptr<ByteBudget> budget)
        : m_budget(std::move(budget))
    {}
    ~HeldBytes();
    HeldBytes(const HeldBytes &) = delete;
    auto operator=(const HeldBytes &) -> HeldBytes & = delete;

    /*! \brief Holds \a bytes from now on; returns false, and changes nothing, if they don't fit. */
    auto resize(std::int64_t bytes) -> bool;
    auto held() const -> std::int64_t { return m_held; }

private:
    std::shared_ptr<ByteBudget> m_budget;
    std::int64_t m_held = 0;
};

} // namespace Utils
