#pragma once

#include "fleet/replica.h"
#include "utils/cbor.h"

#include <gtest/gtest.h>

/*! \brief Applies encoded commands to a replica as the replicated log does. */
class StateDriver
{
public:
    auto apply(Fleet::CommandBody body) -> Fleet::CommandResult
    {
        return apply(std::move(body), "command-" + std::to_string(m_revision + 1));
    }

    auto apply(Fleet::CommandBody body,
               std::string commandId,
               std::optional<Fleet::Revision> expected = {}) -> Fleet::CommandResult
    {
        Fleet::Command command;
        command.id = std::move(commandId);
        command.actor = "tester";
        command.timeMs = timeMs;
        command.expectedRevision = expected;
        command.body = std::move(body);
        return applyBytes(Fleet::encodeCommand(command));
    }

    auto applyBytes(std::string payload) -> Fleet::CommandResult
    {
        const auto reply = replica.apply({++m_revision, 1, std::move(payload)});
        auto result = Utils::fromCbor<Fleet::CommandResult>(reply);
        EXPECT_TRUE(result);
        return result ? result.value() : Fleet::CommandResult{};
    }

    /*! \brief Adds customer camara with service dispatch, a spare pool, and host h1 in zone z1. */
    auto addCamara() -> void
    {
        Fleet::Contract contract;
        contract.customer = "camara";
        contract.services = {{"dispatch", "dispatch", 8, 64, 0}};
        contract.disruption = {2, 1'000'000, 2'419'200};
        ASSERT_TRUE(apply(Fleet::PutContract{contract, true}).accepted);
        ASSERT_TRUE(apply(Fleet::PutPool{{"spare", true, {}, 0}}).accepted);
        ASSERT_TRUE(apply(Fleet::RegisterHost{"h1", "dispatch", "z1", "r1", 8}).accepted);
    }

    auto host(const std::string &id) const -> Fleet::Host
    {
        return replica.read([&](const Fleet::State &state) {
            const auto *host = state.findHost(id);
            return host ? *host : Fleet::Host{};
        });
    }
    auto revision() const -> Fleet::Revision { return m_revision; }

    Fleet::Replica replica;
    Fleet::WallTimeMs timeMs = 1'000'000;

private:
    Fleet::Revision m_revision = 0;
};
