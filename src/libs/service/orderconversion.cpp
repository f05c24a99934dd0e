#include "orderconversion.h"

namespace Service {
namespace {

auto orderFor(Wire::OrderKind::type kind, const Execution::OrderTarget &target)
    -> Wire::EndpointOrder
{
    Wire::EndpointOrder order;
    order.kind = kind;
    order.endpoint = target.incarnation.id;
    order.bornMs = target.incarnation.bornMs;
    order.address = target.address;
    order.fencingToken = target.fencingToken;
    return order;
}

auto targetOf(const Wire::EndpointOrder &order) -> Execution::OrderTarget
{
    Execution::OrderTarget target;
    target.incarnation = {order.endpoint, order.bornMs};
    target.address = order.address;
    target.fencingToken = order.fencingToken;
    return target;
}

auto taskOf(const std::string &text) -> Jobs::TaskId
{
    return Jobs::taskFromText(text).value_or(Jobs::TaskId());
}

} // namespace

auto toWire(const Execution::StartOrder &order) -> Wire::EndpointOrder
{
    auto wire = orderFor(Wire::OrderKind::START, order.target);
    wire.task = Jobs::toText(order.task);
    wire.run = order.run;
    wire.payload = order.payload;
    wire.leaseEndMs = order.leaseEndMs;
    wire.checkpoint = order.checkpoint;
    return wire;
}

auto toWire(const Execution::StopOrder &order) -> Wire::EndpointOrder
{
    auto wire = orderFor(Wire::OrderKind::STOP, order.target);
    wire.task = Jobs::toText(order.task);
    wire.run = order.run;
    return wire;
}

auto toWire(const Execution::PaceOrder &order) -> Wire::EndpointOrder
{
    auto wire = orderFor(Wire::OrderKind::PACE, order.target);
    wire.task = Jobs::toText(order.task);
    wire.run = order.run;
    wire.percent = order.percent;
    return wire;
}

auto toWire(const Execution::PollOrder &order) -> Wire::EndpointOrder
{
    auto wire = orderFor(Wire::OrderKind::LOOK, order.target);
    wire.leaseEndMs = order.leaseEndMs;
    wire.notedEnds = order.recordedEnds;
    wire.waitMs = order.waitMs;
    return wire;
}

auto startOrder(const Wire::EndpointOrder &order) -> Execution::StartOrder
{
    Execution::StartOrder start;
    start.target = targetOf(order);
    start.task = taskOf(order.task);
    start.run = order.run;
    start.payload = order.payload;
    start.leaseEndMs = order.leaseEndMs;
    start.checkpoint = order.checkpoint;
    return start;
}

auto stopOrder(const Wire::EndpointOrder &order) -> Execution::StopOrder
{
    Execution::StopOrder stop;
    stop.target = targetOf(order);
    stop.task = taskOf(order.task);
    stop.run = order.run;
    return stop;
}

auto paceOrder(const Wire::EndpointOrder &order) -> Execution::PaceOrder
{
    Execution::PaceOrder pace;
    pace.target = targetOf(order);
    pace.task = taskOf(order.task);
    pace.run = order.run;
    pace.percent = order.percent;
    return pace;
}

auto pollOrder(const Wire::EndpointOrder &order) -> Execution::PollOrder
{
    Execution::PollOrder poll;
    poll.target = targetOf(order);
    poll.leaseEndMs = order.leaseEndMs;
    poll.recordedEnds = order.notedEnds;
    poll.waitMs = order.waitMs;
    return poll;
}

auto toWire(const Execution::StartReply &reply) -> Wire::EndpointAnswer
{
    Wire::EndpointAnswer answer;
    answer.result = std::int32_t(reply.result);
    answer.clockMs = reply.clockMs;
    answer.repeated = reply.repeated;
    return answer;
}

auto toWire(Execution::OrderResult result) -> Wire::EndpointAnswer
{
    Wire::EndpointAnswer answer;
    answer.result = std::int32_t(result);
    return answer;
}

auto toWire(const Execution::PollReply &reply) -> Wire::EndpointAnswer
{
    Wire::EndpointAnswer answer;
    answer.result = std::int32_t(reply.result);
    answer.clockMs = reply.clockMs;
    answer.bornMs = reply.bornMs;
    answer.truncated = reply.truncated;
    for (const auto &running : reply.running) {
        auto &row = answer.running.emplace_back();
        row.task = Jobs::toText(running.task);
        row.run = running.run;
        row.checkpoint = running.checkpoint;
        row.percent = running.percent;
        row.load = running.load;
    }
    for (const auto &ended : reply.ended) {
        auto &row = answer.ended.emplace_back();
        row.number = ended.number;
        row.task = Jobs::toText(ended.task);
        row.run = ended.run;
        row.kind = std::int32_t(ended.kind);
        row.checkpoint = ended.checkpoint;
    }
    return answer;
}

auto startReply(const Wire::EndpointAnswer &answer) -> Execution::StartReply
{
    return {Execution::StartResult(answer.result), answer.clockMs, answer.repeated};
}

auto orderResult(const Wire::EndpointAnswer &answer) -> Execution::OrderResult
{
    return Execution::OrderResult(answer.result);
}

auto pollReply(const Wire::EndpointAnswer &answer) -> Execution::PollReply
{
    Execution::PollReply reply;
    reply.result = Execution::PollResult(answer.result);
    reply.clockMs = answer.clockMs;
    reply.bornMs = answer.bornMs;
    reply.truncated = answer.truncated;
    for (const auto &row : answer.running)
        reply.running.push_back({taskOf(row.task), row.run, row.checkpoint, row.percent, row.load});
    for (const auto &row : answer.ended)
        reply.ended.push_back(
            {row.number, taskOf(row.task), row.run, Execution::EndKind(row.kind), row.checkpoint});
    return reply;
}

} // namespace Service
