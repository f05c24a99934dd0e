#include "fleetfixture.h"

#include "fleet/contractcheck.h"

#include <gtest/gtest.h>

#include <functional>

namespace {

struct ContractCase
{
    std::string name;
    std::function<void(Fleet::Contract &)> edit;
    bool acceptedAsIs;
    bool acceptedWithWarnings;
    std::string figures;
};

} // namespace

TEST(ContractCheck, RefusesImpossibleContractsWithTheFigures)
{
    const std::vector<ContractCase> cases{
        {"possible", [](auto &) {}, true, true, ""},
        {"guarantees above capacity",
         [](auto &contract) { contract.services[0].guaranteedSlots = 64; },
         false,
         true,
         "32 slots, but 64 are guaranteed"},
        {"guaranteed above max",
         [](auto &contract) { contract.services[0].guaranteedSlots = 65; },
         false,
         false,
         "65 is above max_slots 64"},
        {"budget below one reboot",
         [](auto &contract) { contract.disruption.budgetHostS = 1799; },
         false,
         true,
         "1799 is below the 1800"},
        {"no maintenance at all",
         [](auto &contract) {
             contract.disruption = {0, 0, 86400};
         },
         true,
         true,
         ""},
        {"service twice",
         [](auto &contract) { contract.services.push_back(contract.services[0]); },
         false,
         false,
         "stands twice"},
    };
    for (const auto &testCase : cases) {
        FleetFixture fleet;
        auto contract = FleetFixture::contract(2, 90000, 86400);
        fleet.apply(Fleet::PutContract{contract});
        fleet.addHosts("dispatch", 4, 4, "z1");
        testCase.edit(contract);
        const auto asIs = fleet.apply(Fleet::PutContract{contract, false});
        EXPECT_EQ(asIs.accepted, testCase.acceptedAsIs) << testCase.name << asIs.details;
        EXPECT_NE(asIs.details.find(testCase.figures), std::string::npos) << asIs.details;
        const auto confirmed = fleet.apply(Fleet::PutContract{contract, true});
        EXPECT_EQ(confirmed.accepted, testCase.acceptedWithWarnings) << testCase.name;
    }
}
