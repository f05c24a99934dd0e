// Implements the part of RunLedger that takes in what became of orders.
#include "runledger.h"

#include <algorithm>

namespace Execution {
namespace {

// An endpoint that refuses a start gets no new tasks for these times.
constexpr Utils::Milliseconds noRoomPause{250};
constexpr Utils::Milliseconds unhealthyPause{1000};

// Returns true if an endpoint may have renewed its lease by the order. Refusals for want of room or of an
// outdated run are decided after the lease.
auto mayHaveRenewed(StartResult result) -> bool
{
    return result != StartResult::Unhealthy && result != StartResult::TooLate
           && result != StartResult::OtherIncarnation;
}

} // namespace

auto RunLedger::findRun(const OrderTarget &target, const Jobs::TaskId &task, std::int64_t number)
    -> Run *
{
    auto *endpoint = findEndpoint(target.incarnation);
    if (endpoint == nullptr || !isOfThisTerm(target))
        return nullptr;
    auto *run = endpoint->runs.find(task);
    return run != nullptr && run->number == number ? run : nullptr;
}

auto RunLedger::confirmRecord(const StartOrder &order) -> bool
{
    const auto *run = findRun(order.target, order.task, order.run);
    if (run == nullptr || run->state != RunState::Ordered)
        return false;
    const auto isOver = run->leaseEndMs <= m_endpoints.at(order.target.incarnation.id).clockMs;
    if (!run->stopReason && !isOver && findUnfinished(order.task) != nullptr)
        return true;
    removeRun(m_endpoints.at(order.target.incarnation.id), order.task);
    reopen(order.task);
    return false;
}

auto RunLedger::confirmStart(const StartOrder &order) -> bool
{
    if (!confirmRecord(order))
        return false;
    findRun(order.target, order.task, order.run)->sent = true;
    return true;
}

// Returns the run of a start order wherever it is booked now: the incarnation that the order is for
// may have ended. Run numbers are unique within a term.
auto RunLedger::findStarted(const StartOrder &order) -> Run *
{
    const auto &id = order.target.incarnation.id;
    Run *run = nullptr;
    if (const auto endpoint = m_endpoints.find(id); endpoint != m_endpoints.end())
        run = endpoint->second.runs.find(order.task);
    if (const auto outliving = m_outliving.find(id);
        run == nullptr && outliving != m_outliving.end())
        run = outliving->second.find(order.task);
    const auto matches = run != nullptr && run->number == order.run && isOfThisTerm(order.target);
    return matches ? run : nullptr;
}

// The next incarnation limits the lease in an order to the former one by its maximum alone, since its
// clock starts anew. It has one lease for all that it runs, so each order that it may have carried out
// lengthens the wait for all of them. It may not be known yet.
auto RunLedger::extendLeaseOfNextIncarnation(const Control::EndpointIncarnation &former,
                                             Utils::Instant now) -> void
{
    const auto leaseEnd = now + longestLocalTime(m_timing.maximumLease);
    m_nextLeases[former.id] = leaseEnd;
    if (const auto outliving = m_outliving.find(former.id); outliving != m_outliving.end())
        outliving->second.leaseEnd = std::max(outliving->second.leaseEnd, leaseEnd);
    const auto next = m_endpoints.find(former.id);
    if (next == m_endpoints.end())
        return;
    auto &endpoint = next->second;
    if (endpoint.record.incarnation != former)
        endpoint.extendLease(leaseEnd);
    // What is recorded of its lease is not true any more, and is replaced.
    if (endpoint.leaseRecord == LeaseRecord::Ending)
        endpoint.leaseRecord = LeaseRecord::Outdated;
}

// Returns the time by which the lease is over that a next incarnation may have taken so far.
auto RunLedger::leaseEndOfNext(const std::string &endpoint, Utils::Instant earliest) const
    -> Utils::Instant
{
    const auto found = m_nextLeases.find(endpoint);
    return found != m_nextLeases.end() ? std::max(earliest, found->second) : earliest;
}

// Removes the run of a start order that will not be carried out.
auto RunLedger::dropStart(const StartOrder &order) -> void
{
    const auto &id = order.target.incarnation.id;
    if (const auto endpoint = m_endpoints.find(id); endpoint != m_endpoints.end())
        removeRun(endpoint->second, order.task);
    if (const auto outliving = m_outliving.find(id); outliving != m_outliving.end())
        outliving->second.erase(order.task);
    release({order.task, order.run, id, ReleaseReason::Refused, std::nullopt});
}

// Notes that a copy of the start got no reply. Whatever became of the run, the next incarnation may carry
// that copy out.
auto RunLedger::noteLateStart(const StartOrder &order, Utils::Instant now) -> void
{
    const auto &incarnation = order.target.incarnation;
    LateStart late;
    late.task = order.task;
    late.run = order.run;
    late.bornMs = incarnation.bornMs;
    late.unansweredAt = now;
    if (const auto *spec = specOf(order.task)) {
        late.account = m_jobs.at(order.task.job).account();
        late.demand = spec->demand;
    } else if (const auto *run = findStarted(order)) {
        late.account = run->account;
        late.demand = run->demand;
    }
    m_lateStarts[incarnation.id].push_back(std::move(late));
}

// Returns what is known of all copies of the order. One that this leader's own later token has fenced tells nothing of an
// earlier copy.
auto RunLedger::resultOfAllCopies(const StartOrder &order, const StartReply &reply) const
    -> StartResult
{
    const auto fencedByOwnToken =
        reply.result == StartResult::Fenced && !showsLaterTerm(order.target);
    return reply.repeated && fencedByOwnToken ? StartResult::Unknown : reply.result;
}

auto RunLedger::startAnswered(const StartOrder &order, const StartReply &reply, Utils::Instant now)
    -> void
{
    if (!isOfThisTerm(order.target))
        return;
    const auto result = resultOfAllCopies(order, reply);
    if (result == StartResult::Unknown || reply.repeated)
        noteLateStart(order, now);
    if (mayHaveRenewed(result))
        extendLeaseOfNextIncarnation(order.target.incarnation, now);
    auto *run = findStarted(order);
    if (run == nullptr)
        return;
    if (run->state == RunState::Running)
        return;
    countUnanswered(order.target, result);
    if (result == StartResult::Started) {
        run->state = RunState::Running;
        run->confirmedAt = now;
        run->unlisted = false;
        m_startedJobs.insert(order.task.job);
        return;
    }
    if (result == StartResult::Unknown) {
        run->state = RunState::Uncertain;
        run->unansweredAt = now;
        return;
    }
    if (auto *endpoint = findEndpoint(order.target.incarnation)) {
        if (result == StartResult::NoRoom)
            endpoint->avoidUntil = std::max(endpoint->avoidUntil, now + noRoomPause);
        else if (result != StartResult::Outdated)
            endpoint->avoidUntil = std::max(endpoint->avoidUntil, now + unhealthyPause);
    }
    dropStart(order);
}

// Counts starts without a reply of the incarnation that they were for. Any reply ends the count.
auto RunLedger::countUnanswered(const OrderTarget &target, StartResult result) -> void
{
    auto *endpoint = findEndpoint(target.incarnation);
    if (endpoint == nullptr)
        return;
    auto &unanswered = endpoint->unansweredStarts;
    unanswered = result == StartResult::Unknown ? unanswered + 1 : 0;
}

auto RunLedger::stopAnswered(const StopOrder &order, OrderResult result, Utils::Instant now) -> void
{
    if (result == OrderResult::Accepted)
        noteBlocked(order);
    auto *run = findRun(order.target, order.task, order.run);
    if (run == nullptr || result != OrderResult::Accepted)
        return;
    m_endpoints.at(order.target.incarnation.id).unansweredStarts = 0;
    // Stops are repeated until the run is settled; the time of the first accepted one counts.
    if (run->stopAnsweredAt == Utils::Instant())
        run->stopAnsweredAt = now;
}

auto RunLedger::paceAnswered(const PaceOrder &order, OrderResult result) -> void
{
    auto *run = findRun(order.target, order.task, order.run);
    if (run == nullptr)
        return;
    run->paceInFlight = false;
    run->pacePercent = result == OrderResult::Accepted ? order.percent : unknownPercent;
}

} // namespace Execution
