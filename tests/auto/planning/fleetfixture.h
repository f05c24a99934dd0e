#pragma once

#include "fleet/state.h"

#include <string>

/*! \brief A fleet state to which tests apply commands at chosen times. */
class FleetFixture
{
public:
    auto apply(Fleet::CommandBody body, std::string actor = "planner") -> Fleet::CommandResult
    {
        Fleet::Command command;
        command.id = "command-" + std::to_string(revision + 1);
        command.actor = std::move(actor);
        command.timeMs = nowMs;
        command.body = std::move(body);
        return state.apply(command, ++revision);
    }

    auto addHosts(const std::string &service, int count, int hostsPerRack, const std::string &zone)
        -> void
    {
        for (int index = 0; index < count; ++index) {
            const auto rack = service + "-rack-" + std::to_string(index / hostsPerRack);
            apply(Fleet::RegisterHost{
                service + "-" + zone + "-" + std::to_string(index), service, zone, rack, 8});
        }
    }

    auto proposeAndApprove(const std::string &host, const std::string &wave = {}) -> std::string
    {
        Fleet::Move move;
        move.host = host;
        move.wave = wave;
        move.worstCaseHostS = Fleet::plannedStopWorstCaseHostS;
        const auto proposed = apply(Fleet::ProposeMove{move, true}, "operator");
        return proposed.accepted ? proposed.subject : std::string();
    }

    auto advance(const std::string &move, Fleet::MoveState from, Fleet::MoveState to)
        -> Fleet::CommandResult
    {
        return apply(Fleet::AdvanceMove{move, from, to, {}});
    }

    static auto contract(std::int64_t maxUnavailable,
                         std::int64_t budgetHostS,
                         std::int64_t windowS) -> Fleet::Contract
    {
        return {"camara",
                {{"dispatch", "dispatch", 8, 64, 0}},
                {maxUnavailable, budgetHostS, windowS},
                0,
                0};
    }

    Fleet::State state;
    Fleet::Revision revision = 0;
    std::int64_t nowMs = 1'000'000'000;
};
