#include "httpplatform.h"

#include "utils/address.h"

#include <httplib.h>

namespace Planning {
namespace {

constexpr std::chrono::seconds connectTimeout{1};
constexpr std::chrono::seconds responseTimeout{2};
constexpr auto firstErrorStatus = 400;

struct MaintenanceResponse
{
    MaintenanceState state = MaintenanceState::Running;
};

template <typename Archive>
auto describe(Archive &archive, MaintenanceResponse &response) -> void
{
    archive.required("state", response.state);
}

struct TasksResponse
{
    std::vector<Task> tasks;
};

template <typename Archive>
auto describe(Archive &archive, TasksResponse &response) -> void
{
    archive.required("tasks", response.tasks);
}

} // namespace

HttpPlatform::HttpPlatform(std::string address)
    : m_address(std::move(address))
{}

auto HttpPlatform::drain(const std::string &host) -> Utils::Result<void>
{
    return order("/v1/hosts/" + host + "/drain");
}

auto HttpPlatform::startMaintenance(const std::string &host) -> Utils::Result<void>
{
    return order("/v1/hosts/" + host + "/reboot");
}

auto HttpPlatform::maintenanceState(const std::string &host) -> Utils::Result<MaintenanceState>
{
    BOOST_OUTCOME_TRY(json, call("GET", "/v1/hosts/" + host + "/maintenance", {}));
    BOOST_OUTCOME_TRY(response, Utils::fromJson<MaintenanceResponse>(json));
    return response.state;
}

auto HttpPlatform::returnHost(const std::string &host) -> Utils::Result<void>
{
    return order("/v1/hosts/" + host + "/return");
}

auto HttpPlatform::tasksOn(const std::string &host) -> Utils::Result<std::vector<Task>>
{
    BOOST_OUTCOME_TRY(json, call("GET", "/v1/hosts/" + host + "/tasks", {}));
    BOOST_OUTCOME_TRY(response, Utils::fromJson<TasksResponse>(json));
    return std::move(response.tasks);
}

auto HttpPlatform::moveTask(const std::string &task,
                            const std::string &fromHost,
                            const std::string &toHost) -> Utils::Result<void>
{
    return order("/v1/tasks/" + task + "/checkpoint", {{"from", fromHost}, {"to", toHost}});
}

auto HttpPlatform::throttleTask(const std::string &task) -> Utils::Result<void>
{
    return order("/v1/tasks/" + task + "/throttle");
}

auto HttpPlatform::stopTask(const std::string &task) -> Utils::Result<void>
{
    return order("/v1/tasks/" + task + "/stop");
}

auto HttpPlatform::order(const std::string &path, const Utils::Json &body) const
    -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(call("POST", path, body));
    return Utils::success();
}

auto HttpPlatform::call(const std::string &method,
                        const std::string &path,
                        const Utils::Json &body) const -> Utils::Result<Utils::Json>
{
    BOOST_OUTCOME_TRY(address, Utils::parseAddress(m_address));
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(responseTimeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    if (!body.is_null()) {
        request.body = body.dump();
        request.set_header("Content-Type", "application/json");
    }
    const auto result = client.send(request);
    if (!result)
        return Utils::failure(Utils::ErrorType::Unavailable,
                              "no response from the platform",
                              httplib::to_string(result.error()));
    if (result->status >= firstErrorStatus)
        return Utils::failure(Utils::ErrorType::Refused,
                              "the platform refused " + path,
                              std::to_string(result->status));
    if (result->body.empty())
        return Utils::Json::object();
    return Utils::parseJsonText(result->body, false);
}

} // namespace Planning
