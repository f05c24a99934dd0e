#pragma once

#include "execution/orders.h"

#include "control_types.h"

/*! Converts orders to endpoints, and their replies, to and from messages of control processes. */
namespace Service {

auto toWire(const Execution::StartOrder &order) -> Wire::EndpointOrder;
auto toWire(const Execution::StopOrder &order) -> Wire::EndpointOrder;
auto toWire(const Execution::PaceOrder &order) -> Wire::EndpointOrder;
auto toWire(const Execution::PollOrder &order) -> Wire::EndpointOrder;

/*! \brief Returns the start order in \a order; its task is empty if the task name is invalid. */
auto startOrder(const Wire::EndpointOrder &order) -> Execution::StartOrder;
/*! \brief Returns the stop order in \a order; its task is empty if the task name is invalid. */
auto stopOrder(const Wire::EndpointOrder &order) -> Execution::StopOrder;
/*! \brief Returns the pace order in \a order; its task is empty if the task name is invalid. */
auto paceOrder(const Wire::EndpointOrder &order) -> Execution::PaceOrder;
auto pollOrder(const Wire::EndpointOrder &order) -> Execution::PollOrder;

auto toWire(const Execution::StartReply &reply) -> Wire::EndpointAnswer;
auto toWire(Execution::OrderResult result) -> Wire::EndpointAnswer;
auto toWire(const Execution::PollReply &reply) -> Wire::EndpointAnswer;

auto startReply(const Wire::EndpointAnswer &answer) -> Execution::StartReply;
auto orderResult(const Wire::EndpointAnswer &answer) -> Execution::OrderResult;
auto pollReply(const Wire::EndpointAnswer &answer) -> Execution::PollReply;

} // namespace Service
