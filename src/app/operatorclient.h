#pragma once

#include "utils/error.h"
#include "utils/fields.h"

#include <string>
#include <vector>

namespace App {

/*! \brief How operator commands reach the system. */
struct OperatorConnection
{
    std::vector<std::string> servers;
    std::string token;
};

/*! \brief One HTTP call to the operators' interface. */
struct OperatorCall
{
    std::string method;
    std::string path;
    std::string body;
    std::string expectedRevision; //!< Empty: not checked.
};

/*! \brief Tries each server in turn with one command id and returns the answer's JSON. */
auto callOperator(const OperatorConnection &connection, const OperatorCall &call)
    -> Utils::Result<Utils::Json>;

} // namespace App
