#pragma once

#include "types.h"

namespace Fleet {

enum class FindingSeverity {
    Note,    //!< Accepted; told to the operator.
    Warning, //!< Accepted only if the operator confirms it.
    Fault,   //!< Never accepted.
};

auto enumNames(FindingSeverity) -> std::span<const Utils::EnumName<FindingSeverity>>;

/*! \brief One thing that a contract promises and the fleet cannot keep, with the figures. */
struct ContractFinding
{
    FindingSeverity severity = FindingSeverity::Note;
    std::string path; //!< JSON path in the contract.
    std::string text;
};

/*! \brief What a contract is checked against. */
struct ContractCheckInput
{
    const std::map<std::string, Contract> &contracts;
    const std::map<std::string, Pool> &pools;
    const std::map<std::string, Host> &hosts;
};

/*! \brief Returns all findings about \a contract. A pool without hosts has no known capacity yet. */
auto findingsOf(const Contract &contract, const ContractCheckInput &input)
    -> std::vector<ContractFinding>;

/*! \brief Fails with Refused and all figures if \a contract has a fault, or a warning not accepted. */
auto checkContract(const Contract &contract, const ContractCheckInput &input, bool acceptWarnings)
    -> Utils::Result<void>;

template <typename Archive>
auto describe(Archive &archive, ContractFinding &finding) -> void
{
    archive.required("severity", finding.severity);
    archive.required("path", finding.path);
    archive.required("text", finding.text);
}

} // namespace Fleet
