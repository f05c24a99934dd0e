#pragma once

#include "utils/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Execution {

/*! \brief Work of a leader's event loop that is timed by kind. */
enum class LeaderWork { Scheduling, PollReplies, Hosts, Count };

/*! \brief Delays of a leader, of which the longest one of each period is kept. */
enum class LeaderDelay {
    Loop,       //!< Delay of a timer of the event loop.
    Commit,     //!< Time from the request to commit commands until they are committed.
    StartReply, //!< Time from the start order until the reply of the endpoint has arrived.
    Proof,      //!< Age of the proof of leadership, from which on polls renew leases.
    Count,
};

/*! \brief What a leader did in one period, and how long it took. */
struct LeaderLoadReport
{
    std::array<std::chrono::microseconds, std::size_t(LeaderWork::Count)> worked{};
    std::array<std::int64_t, std::size_t(LeaderWork::Count)> times{};
    std::array<Utils::Milliseconds, std::size_t(LeaderDelay::Count)> longest{};
    Utils::Milliseconds period{0};
    //! Processor time of the whole process, and that of the thread that runs the event loop.
    std::chrono::microseconds processTime{0};
    std::chrono::microseconds loopTime{0};

    auto workedOn(LeaderWork work) const { return worked[std::size_t(work)]; }
    auto timesOf(LeaderWork work) const { return times[std::size_t(work)]; }
    auto longestOf(LeaderDelay delay) const { return longest[std::size_t(delay)]; }
};

/*!
    \brief Sums up the work and the delays of a leader between two reports.

    Must be used from the thread that runs the event loop. The times of work include those in which
    another thread had the processor.
*/
class LeaderLoad
{
public:
    /*! \brief Adds the time from its construction until its destruction to one kind of work. */
    class Timer
    {
    public:
        Timer(LeaderLoad &load, LeaderWork work);
        ~Timer();
        Timer(const Timer &) = delete;
        auto operator=(const Timer &) -> Timer & = delete;

    private:
        LeaderLoad &m_load;
        LeaderWork m_work;
        std::chrono::steady_clock::time_point m_startedAt;
    };

    auto record(LeaderDelay delay, Utils::Milliseconds duration) -> void;
    /*! \brief Returns the sums since the last call, at which the period that ends at \a now began. */
    auto take(Utils::Instant now) -> LeaderLoadReport;

private:
    LeaderLoadReport m_report;
    Utils::Instant m_startedAt;
    std::chrono::microseconds m_processTime{0}; //!< Processor time at the start of the period.
    std::chrono::microseconds m_loopTime{0};
};

} // namespace Execution
