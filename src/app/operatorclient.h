#pragma once

#include "utils/error.h"
#include "utils/fields.h"

#include <string>
#include <vector>

namespace App {

/*! \brief Servers and bearer token that operator commands use. */
struct OperatorConnection
{
    std::vector<std::string> servers;
    std::string token;
};

/*! \brief HTTP request to the operator interface. */
struct OperatorCall
{
    std::string method;
    std::string path;
    std::string body;
    std::string expectedRevision; //!< Revision sent as If-Match; if empty, none is checked.
};

/*!
    \brief Sends \a call to the servers in turn and returns the JSON of the response.

    Another server is tried only after an error that may be limited to one server. All servers
    get the same command id.
*/
auto callOperator(const OperatorConnection &connection, const OperatorCall &call)
    -> Utils::Result<Utils::Json>;

} // namespace App
