#include "operatorclient.h"

#include "utils/address.h"
#include "utils/ids.h"

#include <httplib.h>

#include <chrono>

namespace App {
namespace {

constexpr std::chrono::seconds connectTimeout{2};
constexpr std::chrono::seconds readTimeout{15};
constexpr auto statusOk = 200;

auto errorOf(const httplib::Response &response) -> Utils::Error
{
    const auto json = Utils::parseJsonText(response.body, false);
    if (!json || !json.value().contains("error"))
        return {
            Utils::ErrorType::IoFailure, "unexpected response", std::to_string(response.status)};
    const auto &error = json.value()["error"];
    return {Utils::errorTypeFromName(error.value("type", "")),
            error.value("message", ""),
            error.value("details", "")};
}

auto send(const std::string &server,
          const std::string &token,
          const std::string &commandId,
          const OperatorCall &call) -> Utils::Result<Utils::Json>
{
    BOOST_OUTCOME_TRY(address, Utils::parseAddress(server));
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(readTimeout);
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    request.set_header("Trefoilshelf-Command-Id", commandId);
    if (!call.body.empty())
        request.set_header("Content-Type", "application/json");
    if (!token.empty())
        request.set_header("Authorization", "Bearer " + token);
    if (!call.expectedRevision.empty())
        request.set_header("If-Match", call.expectedRevision);
    const auto result = client.send(request);
    if (!result) {
        return Utils::failure(Utils::ErrorType::Unavailable,
                              "no answer from " + server,
                              httplib::to_string(result.error()));
    }
    if (result->status != statusOk)
        return errorOf(*result);
    return Utils::parseJsonText(result->body, false);
}

auto mayTryNextServer(Utils::ErrorType type) -> bool
{
    return type == Utils::ErrorType::Unavailable || type == Utils::ErrorType::NoQuorum
           || type == Utils::ErrorType::NotLeader || type == Utils::ErrorType::OutcomeUnknown;
}

} // namespace

auto callOperator(const OperatorConnection &connection, const OperatorCall &call)
    -> Utils::Result<Utils::Json>
{
    Utils::IdGenerator ids;
    const auto commandId = ids.next("command");
    Utils::Result<Utils::Json> response =
        Utils::failure(Utils::ErrorType::InvalidInput, "no server was given");
    for (const auto &server : connection.servers) {
        response = send(server, connection.token, commandId, call);
        if (response || !mayTryNextServer(response.error().type))
            return response;
    }
    return response;
}

} // namespace App
