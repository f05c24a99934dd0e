#include "routing/admission.h"

#include <gtest/gtest.h>

namespace {

using Routing::Admission;
using Routing::AdmissionState;
using Routing::Priority;
using Routing::RefusalReason;
using Utils::Instant;
using Utils::Milliseconds;

constexpr std::size_t queueLimit = 4;
const Instant start{Milliseconds(1'000'000)};

auto request(const std::string &customer, Priority priority, int deadlineMs)
    -> Routing::AdmissionRequest
{
    return {customer, priority, start + Milliseconds(deadlineMs)};
}

// There are four slots; "a" and "b" have two guaranteed each and may use all.
class AdmissionTest : public testing::Test
{
protected:
    AdmissionTest()
    {
        admission.setCapacity(4);
        admission.setCustomer("a", {2, 4});
        admission.setCustomer("b", {2, 4});
    }

    auto offer(const std::string &customer,
               Priority priority = Priority::Normal,
               int deadlineMs = 10'000)
    {
        return admission.offer(request(customer, priority, deadlineMs), start);
    }
    // Lends all slots to "a".
    auto fill() -> std::vector<Routing::TicketId>
    {
        std::vector<Routing::TicketId> tickets;
        for (auto slot = 0; slot < 4; ++slot)
            tickets.push_back(offer("a").ticket);
        return tickets;
    }

    Admission admission{queueLimit};
};

} // namespace

TEST_F(AdmissionTest, LendsUnusedSlotsAndReturnsThemAsWorkFinishes)
{
    const auto lent = fill();
    EXPECT_EQ(admission.inFlight(), 4);
    const auto borrower = offer("a", Priority::Urgent);
    const auto owner = offer("b", Priority::Deferrable);
    ASSERT_EQ(owner.state, AdmissionState::Queued);
    admission.finish(lent[0]);
    EXPECT_EQ(admission.advance(start).started, std::vector{owner.ticket});
    admission.finish(lent[1]);
    EXPECT_EQ(admission.advance(start).started, std::vector{borrower.ticket});
}

TEST_F(AdmissionTest, StartsByPriorityThenDeadline)
{
    const auto lent = fill();
    const auto late = offer("a", Priority::Normal, 5000);
    const auto early = offer("a", Priority::Normal, 4000);
    const auto deferrable = offer("a", Priority::Deferrable, 1000);
    const auto urgent = offer("a", Priority::Urgent, 9000);
    for (const auto ticket : lent)
        admission.finish(ticket);
    const std::vector expected{urgent.ticket, early.ticket, late.ticket, deferrable.ticket};
    EXPECT_EQ(admission.advance(start).started, expected);
}

TEST_F(AdmissionTest, RefusesRequestsThatCannotEndBeforeTheirDeadline)
{
    admission.observeRun(Milliseconds(1000));
    fill();
    const auto refused = offer("a", Priority::Normal, 900);
    EXPECT_EQ(refused.state, AdmissionState::Refused);
    EXPECT_EQ(refused.reason, RefusalReason::TooLate);
    EXPECT_EQ(offer("a", Priority::Normal, 3000).state, AdmissionState::Queued);
    // A customer within its guarantee is not refused because of the estimated wait.
    EXPECT_EQ(offer("b", Priority::Urgent, 900).state, AdmissionState::Queued);
}

TEST_F(AdmissionTest, EvictsFromTheLongestQueueWhenTheQueueIsFull)
{
    const auto lent = fill();
    std::vector<Routing::TicketId> queued;
    for (std::size_t place = 0; place < queueLimit; ++place)
        queued.push_back(offer("a", Priority::Normal, 5000 + int(place)).ticket);
    EXPECT_EQ(offer("a", Priority::Normal, 9000).reason, RefusalReason::QueueFull);
    EXPECT_EQ(offer("b").state, AdmissionState::Queued);
    EXPECT_EQ(offer("b").state, AdmissionState::Queued);
    // Beyond its guarantee, "b" gets a place because "a" has the longer queue.
    EXPECT_EQ(offer("b", Priority::Deferrable).state, AdmissionState::Queued);
    EXPECT_EQ(admission.advance(start).evicted, std::vector{queued.back()});
}

TEST_F(AdmissionTest, CancelledRequestsLeaveTheQueueAtOnce)
{
    const auto lent = fill();
    std::vector<Routing::TicketId> queued;
    for (std::size_t place = 0; place < queueLimit; ++place)
        queued.push_back(offer("a").ticket);
    for (const auto ticket : queued)
        admission.finish(ticket);
    EXPECT_EQ(admission.queued(), 0U);
    admission.finish(lent[0]);
    EXPECT_TRUE(admission.advance(start).started.empty());
    EXPECT_EQ(admission.inFlight(), 3);
}

TEST_F(AdmissionTest, ExpiresLateRequestsAndRespectsMaximumSlots)
{
    admission.setCustomer("a", {2, 3});
    fill();
    EXPECT_EQ(admission.inFlight(), 3);
    EXPECT_EQ(offer("b").state, AdmissionState::Queued);
    EXPECT_EQ(admission.advance(start).started.size(), 1U);
    EXPECT_EQ(admission.advance(start + Milliseconds(10'000)).expired.size(), 1U);
    EXPECT_EQ(admission.queued(), 0U);
}

TEST_F(AdmissionTest, ExpiresQueuedRequestsThatCannotEndBeforeTheirDeadline)
{
    const auto lent = fill();
    admission.observeRun(Milliseconds(100));
    const auto tooLate = offer("b", Priority::Normal, 150);
    const auto inTime = offer("b", Priority::Normal, 500);
    admission.finish(lent[0]);
    const auto changes = admission.advance(start + Milliseconds(60));
    EXPECT_EQ(changes.expired, std::vector{tooLate.ticket});
    EXPECT_EQ(changes.started, std::vector{inTime.ticket});
}
