#pragma once

#include "types.h"

namespace Fleet {

enum class FindingSeverity {
    Note,    //!< The contract is accepted; the finding is reported to the operator.
    Warning, //!< The contract is accepted only if the operator accepts warnings.
    Fault,   //!< The contract is never accepted.
};

auto enumNames(FindingSeverity) -> std::span<const Utils::EnumName<FindingSeverity>>;

/*! \brief One problem or consequence of a contract, with the figures behind it. */
struct ContractFinding
{
    FindingSeverity severity = FindingSeverity::Note;
    std::string path; //!< JSON path in the contract.
    std::string text;
};

/*! \brief The state of the fleet against which a contract is checked. */
struct ContractCheckInput
{
    const std::map<std::string, Contract> &contracts;
    const std::map<std::string, Pool> &pools;
    const std::map<std::string, Host> &hosts;
};

/*!
    \brief Returns all findings about \a contract.

    The capacity of a pool that has no slots yet is not checked.
*/
auto findingsOf(const Contract &contract, const ContractCheckInput &input)
    -> std::vector<ContractFinding>;

/*!
    \brief Fails with Refused if \a contract has a fault, or a warning that is not accepted.

    The error's details list these findings.
*/
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
