// Long-running tasks that wait for the leases of others, or for room that others claim.
#include "ledgerfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace ExecutionTest;
using Execution::StartResult;

namespace {

/*! \brief Two starts in flight as "a" ends, beside a "b" that is closed until then. */
class TwoStartsInFlight
{
public:
    TwoStartsInFlight()
    {
        const auto first = m_ledger.addEndpoint("a");
        m_ledger.addEndpoint("b");
        m_ledger.addJob("job", longRunningStep(2, 1));
        m_ledger.begin();
        m_ledger.pollAll();
        m_ledger.ledger.setClosed("b", true);
        m_orders = m_ledger.schedule().starts;
        EXPECT_EQ(m_orders.size(), 2U);
        for (const auto &order : m_orders)
            EXPECT_TRUE(m_ledger.ledger.confirmStart(order));
        m_ledger.confirm(m_orders.front());
        m_ledger.ledger.endIncarnation(first.incarnation);
        m_ledger.ledger.setClosed("b", false);
    }
    /*! \brief Lets the second start get this reply after \a time. */
    auto replyAfter(Utils::Milliseconds time, StartResult result) -> void
    {
        m_ledger.advance(time);
        m_ledger.ledger.startAnswered(m_orders.back(), {result, 0}, m_ledger.now());
    }
    /*! \brief Returns whether the first task starts elsewhere after \a time. */
    auto firstStartsAfter(Utils::Milliseconds time) -> bool
    {
        m_ledger.advance(time);
        m_ledger.poll("b");
        const auto starts = m_ledger.schedule().starts;
        const auto &task = m_orders.front().task;
        return std::ranges::find(starts, task, &Execution::StartOrder::task) != starts.end();
    }

private:
    LedgerFixture m_ledger;
    std::vector<Execution::StartOrder> m_orders;
};

// Guards against LOST: an order that the endpoint refuses without effect makes other tasks wait for a whole lease anew.
TEST(RoomAndLeases, RefusedStartDoesNotLengthenTheWaitForAnotherOne)
{
    for (const auto result :
         {StartResult::Unhealthy, StartResult::TooLate, StartResult::OtherIncarnation}) {
        TwoStartsInFlight fixture;
        fixture.replyAfter(Utils::Milliseconds(3000), result);
        EXPECT_TRUE(fixture.firstStartsAfter(Utils::Milliseconds(3300)));
    }
}

// Guards against TWICE: the next incarnation runs the first task, and the second order has renewed its lease.
TEST(RoomAndLeases, StartThatMayHaveRenewedTheLeaseLengthensTheWaitForAnotherOne)
{
    for (const auto result : {StartResult::Started,
                              StartResult::Unknown,
                              StartResult::NoRoom,
                              StartResult::Outdated,
                              StartResult::Fenced,
                              StartResult::Invalid}) {
        TwoStartsInFlight fixture;
        fixture.replyAfter(Utils::Milliseconds(3000), result);
        EXPECT_FALSE(fixture.firstStartsAfter(Utils::Milliseconds(6100)));
        EXPECT_TRUE(fixture.firstStartsAfter(Utils::Milliseconds(200)));
    }
}

} // namespace
