#pragma once

#include "execution/orders.h"

#include "control_types.h"

/*! Orders to endpoints and their answers as messages between control processes, and back. */
namespace Service {

auto toWire(const Execution::StartOrder &order) -> Wire::EndpointOrder;
auto toWire(const Execution::StopOrder &order) -> Wire::EndpointOrder;
auto toWire(const Execution::PaceOrder &order) -> Wire::EndpointOrder;
auto toWire(const Execution::LookOrder &order) -> Wire::EndpointOrder;

/*! \brief Each reads an order of its kind; the task is empty if it cannot be read. */
auto startOrder(const Wire::EndpointOrder &order) -> Execution::StartOrder;
auto stopOrder(const Wire::EndpointOrder &order) -> Execution::StopOrder;
auto paceOrder(const Wire::EndpointOrder &order) -> Execution::PaceOrder;
auto lookOrder(const Wire::EndpointOrder &order) -> Execution::LookOrder;

auto toWire(const Execution::StartReply &reply) -> Wire::EndpointAnswer;
auto toWire(Execution::OrderResult result) -> Wire::EndpointAnswer;
auto toWire(const Execution::LookReply &reply) -> Wire::EndpointAnswer;

auto startReply(const Wire::EndpointAnswer &answer) -> Execution::StartReply;
auto orderResult(const Wire::EndpointAnswer &answer) -> Execution::OrderResult;
auto lookReply(const Wire::EndpointAnswer &answer) -> Execution::LookReply;

} // namespace Service
