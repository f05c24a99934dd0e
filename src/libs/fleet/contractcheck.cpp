#include "contractcheck.h"

#include "disruptionledger.h"

#include <algorithm>
#include <array>
#include <set>

namespace Fleet {
namespace {

using Utils::EnumName;
using Findings = std::vector<ContractFinding>;

constexpr std::array findingSeverityNames{
    EnumName<FindingSeverity>{FindingSeverity::Note, "note"},
    EnumName<FindingSeverity>{FindingSeverity::Warning, "warning"},
    EnumName<FindingSeverity>{FindingSeverity::Fault, "fault"},
};

auto text(std::int64_t value) -> std::string
{
    return std::to_string(value);
}

auto poolOfOtherContract(const ServiceTerms &terms,
                         const Contract &contract,
                         const ContractCheckInput &input) -> std::string
{
    for (const auto &[customer, other] : input.contracts) {
        const auto *existing = other.findService(terms.service);
        if (customer != contract.customer && existing && existing->pool != terms.pool)
            return existing->pool;
    }
    return {};
}

auto checkServices(const Contract &contract, const ContractCheckInput &input, Findings &findings)
    -> void
{
    std::set<std::string> services;
    for (std::size_t index = 0; index < contract.services.size(); ++index) {
        const auto &terms = contract.services[index];
        const auto path = "services[" + std::to_string(index) + ']';
        const auto fault = [&](std::string_view field, std::string reason) {
            findings.push_back(
                {FindingSeverity::Fault, path + '.' + std::string(field), std::move(reason)});
        };
        if (terms.service.empty())
            fault("service", "must not be empty");
        if (terms.pool.empty())
            fault("pool", "must not be empty");
        if (!services.insert(terms.service).second)
            fault("service", terms.service + " stands twice");
        if (terms.guaranteedSlots > terms.maxSlots) {
            fault("guaranteed_slots",
                  text(terms.guaranteedSlots) + " is above max_slots " + text(terms.maxSlots));
        }
        if (const auto pool = poolOfOtherContract(terms, contract, input); !pool.empty())
            fault("pool", "another contract serves " + terms.service + " from pool " + pool);
    }
}

auto capacityOf(const std::string &pool, const ContractCheckInput &input) -> std::int64_t
{
    std::int64_t slots = 0;
    for (const auto &[id, host] : input.hosts)
        slots += host.pool == pool ? host.slots : 0;
    return slots;
}

auto guaranteedIn(const std::string &pool, const Contract &contract) -> std::int64_t
{
    std::int64_t slots = 0;
    for (const auto &terms : contract.services)
        slots += terms.pool == pool ? terms.guaranteedSlots : 0;
    return slots;
}

auto checkCapacity(const Contract &contract, const ContractCheckInput &input, Findings &findings)
    -> void
{
    std::set<std::string> pools;
    for (const auto &terms : contract.services)
        pools.insert(terms.pool);
    for (const auto &pool : pools) {
        const auto capacity = capacityOf(pool, input);
        const auto own = guaranteedIn(pool, contract);
        std::int64_t others = 0;
        for (const auto &[customer, other] : input.contracts)
            others += customer == contract.customer ? 0 : guaranteedIn(pool, other);
        if (capacity == 0 || own + others <= capacity)
            continue;
        findings.push_back({FindingSeverity::Warning,
                            "services",
                            "pool " + pool + " has " + text(capacity) + " slots, but " + text(own)
                                + " are guaranteed here and " + text(others)
                                + " to other customers"});
    }
}

auto checkDisruption(const Contract &contract, const ContractCheckInput &input, Findings &findings)
    -> void
{
    const auto &terms = contract.disruption;
    if (terms.budgetHostS == 0 || terms.maxUnavailableHosts == 0) {
        findings.push_back({FindingSeverity::Note,
                            "disruption",
                            "a limit of 0 forbids all maintenance of this customer's pools"});
        return;
    }
    if (terms.budgetHostS < plannedStopWorstCaseHostS) {
        findings.push_back({FindingSeverity::Warning,
                            "disruption.budget_host_s",
                            text(terms.budgetHostS) + " is below the "
                                + text(plannedStopWorstCaseHostS)
                                + " host-seconds that one reboot takes at its longest"});
        return;
    }
    const auto rack = RackIndex(input.hosts).largestRack(contract, nullptr);
    const auto needed = plannedStopWorstCaseHostS + rack * failureReserveHostS;
    if (terms.budgetHostS < needed) {
        findings.push_back({FindingSeverity::Note,
                            "disruption.budget_host_s",
                            "one reboot and the reserve for the loss of a rack of " + text(rack)
                                + " hosts need " + text(needed) + " host-seconds, above "
                                + text(terms.budgetHostS) + ", which forbids all maintenance"});
    }
    if (terms.maxUnavailableHosts <= rack) {
        findings.push_back({FindingSeverity::Note,
                            "disruption.max_unavailable_hosts",
                            text(terms.maxUnavailableHosts) + " is no larger than a rack of "
                                + text(rack) + " hosts; planned stops go one at a time"});
    }
}

auto checkSpare(const Contract &contract, const ContractCheckInput &input, Findings &findings)
    -> void
{
    std::int64_t spareHosts = 0;
    for (const auto &[id, host] : input.hosts) {
        const auto pool = input.pools.find(host.pool);
        spareHosts += pool != input.pools.end() && pool->second.spare ? 1 : 0;
    }
    auto contractedSpares = contract.spareHosts;
    for (const auto &[customer, other] : input.contracts)
        contractedSpares += customer == contract.customer ? 0 : other.spareHosts;
    if (spareHosts == 0 || contractedSpares <= spareHosts)
        return;
    findings.push_back({FindingSeverity::Warning,
                        "spare_hosts",
                        "all contracts pay for " + text(contractedSpares)
                            + " spare hosts, but there are " + text(spareHosts)});
}

} // namespace

auto enumNames(FindingSeverity) -> std::span<const EnumName<FindingSeverity>>
{
    return findingSeverityNames;
}

auto findingsOf(const Contract &contract, const ContractCheckInput &input) -> Findings
{
    Findings findings;
    checkServices(contract, input, findings);
    checkCapacity(contract, input, findings);
    checkDisruption(contract, input, findings);
    checkSpare(contract, input, findings);
    return findings;
}

auto checkContract(const Contract &contract, const ContractCheckInput &input, bool acceptWarnings)
    -> Utils::Result<void>
{
    std::string details;
    auto isFaulty = false;
    for (const auto &finding : findingsOf(contract, input)) {
        if (finding.severity == FindingSeverity::Note)
            continue;
        if (finding.severity == FindingSeverity::Warning && acceptWarnings)
            continue;
        isFaulty |= finding.severity == FindingSeverity::Fault;
        details += (details.empty() ? "" : "\n") + finding.path + ": " + finding.text;
    }
    if (details.empty())
        return Utils::success();
    return Utils::failure(Utils::ErrorType::Refused,
                          isFaulty ? "the contract cannot be kept"
                                   : "the contract cannot be kept unless its warnings are accepted",
                          details);
}

} // namespace Fleet
