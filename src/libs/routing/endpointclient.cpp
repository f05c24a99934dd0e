#include "endpointclient.h"

#include "utils/address.h"

#include <httplib.h>

#include <poll.h>

#include <algorithm>
#include <array>

namespace Routing {
namespace {

constexpr auto statusServiceUnavailable = 503;
constexpr Utils::Milliseconds connectTimeout{500};
constexpr std::size_t idleConnectionsPerEndpoint = 64;
// This limit is below the time after which endpoints usually close an idle connection.
constexpr Utils::Milliseconds maximumIdleTime{2000};
constexpr auto firstServerError = 500;

using Utils::EnumName;

constexpr std::array attemptFailureNames{
    EnumName<AttemptFailure>{AttemptFailure::None, "none"},
    EnumName<AttemptFailure>{AttemptFailure::Busy, "busy"},
    EnumName<AttemptFailure>{AttemptFailure::Unreachable, "unreachable"},
    EnumName<AttemptFailure>{AttemptFailure::Broken, "broken"},
    EnumName<AttemptFailure>{AttemptFailure::TimedOut, "timed-out"},
    EnumName<AttemptFailure>{AttemptFailure::ShortDeadline, "short-deadline"},
    EnumName<AttemptFailure>{AttemptFailure::ServerError, "server-error"},
};

// Returns whether an idle connection can be reused. A readable one was closed by the endpoint or
// carries a late response.
auto isReusable(httplib::Client &client) -> bool
{
    pollfd waiting{client.socket(), POLLIN, 0};
    return waiting.fd >= 0 && poll(&waiting, 1, 0) == 0;
}

// Headers that are not forwarded: those that apply to one connection or to the framing of the
// response, and Content-Type, which the reply holds separately.
constexpr std::array<std::string_view, 5> hopByHopHeaders{
    "connection", "keep-alive", "transfer-encoding", "content-length", "content-type"};

auto isHopByHopHeader(std::string_view name) -> bool
{
    return std::ranges::any_of(hopByHopHeaders, [&](std::string_view header) {
        return std::ranges::equal(
            name, header, {}, [](unsigned char c) { return std::tolower(c); });
    });
}

auto toHttpRequest(const Request &request, const Attempt &attempt) -> httplib::Request
{
    httplib::Request http;
    http.method = request.method;
    http.path = request.path;
    http.body = request.body;
    for (const auto &header : request.headers)
        http.headers.emplace(header.name, header.value);
    http.set_header("Trefoilshelf-Request-Id", request.id);
    http.set_header("Trefoilshelf-Assignment", std::to_string(attempt.assignmentEpoch));
    http.set_header("Trefoilshelf-Attempt", std::to_string(attempt.number));
    return http;
}

// Returns whether a complete response can be told from one that a broken connection cut off. Other
// responses must not be forwarded.
auto hasDefiniteEnd(const Request &request, const httplib::Response &response) -> bool
{
    constexpr auto noContent = 204;
    constexpr auto notModified = 304;
    return response.has_header("Content-Length")
           || response.get_header_value("Transfer-Encoding") == "chunked"
           || request.method == "HEAD" || response.status == noContent
           || response.status == notModified;
}

auto brokenResponse(std::string reason) -> AttemptResult
{
    return {Reply::unknown(std::move(reason)), AttemptFailure::Broken};
}

auto toResult(const Request &request, const httplib::Response &response) -> AttemptResult
{
    const auto echoed = response.get_header_value("Trefoilshelf-Request-Id");
    if (!echoed.empty() && echoed != request.id)
        return brokenResponse("the endpoint sent the response to another request");
    if (!hasDefiniteEnd(request, response))
        return brokenResponse(
            "the endpoint sent a response without Content-Length or chunked encoding");
    if (response.status == statusServiceUnavailable
        && response.get_header_value("Trefoilshelf-Outcome") == "not-run") {
        return {Reply::notRun(Utils::ErrorType::Unavailable, "the endpoint refused the request"),
                AttemptFailure::Busy};
    }
    Reply reply;
    reply.outcome = Outcome::Ran;
    reply.status = response.status;
    reply.contentType = response.get_header_value("Content-Type");
    reply.body = response.body;
    for (const auto &[name, value] : response.headers) {
        if (!isHopByHopHeader(name))
            reply.headers.push_back({name, value});
    }
    const auto failed = response.status >= firstServerError;
    return {std::move(reply), failed ? AttemptFailure::ServerError : AttemptFailure::None};
}

auto failedResult(httplib::Error error, bool deadlinePassed) -> AttemptResult
{
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
        return {Reply::notRun(Utils::ErrorType::Unavailable, "cannot connect to the endpoint"),
                AttemptFailure::Unreachable};
    }
    return {Reply::unknown("no complete response from the endpoint: " + httplib::to_string(error)),
            deadlinePassed ? AttemptFailure::TimedOut : AttemptFailure::Broken};
}

} // namespace

auto enumNames(AttemptFailure) -> std::span<const EnumName<AttemptFailure>>
{
    return attemptFailureNames;
}

struct EndpointClient::IdleConnection
{
    std::unique_ptr<httplib::Client> client;
    Utils::Instant since;
};

EndpointClient::EndpointClient(const Utils::Clock &clock)
    : m_clock(clock)
{}

EndpointClient::~EndpointClient() = default;

auto EndpointClient::send(const Request &request, const Attempt &attempt) -> AttemptResult
{
    const auto remaining = request.deadline - m_clock.now();
    if (remaining <= Utils::Milliseconds(0)) {
        return {Reply::notRun(Utils::ErrorType::Timeout,
                              "the deadline passed before the request was sent"),
                AttemptFailure::Busy};
    }
    auto client = takeConnection(attempt.address);
    if (!client) {
        return {Reply::notRun(Utils::ErrorType::Unavailable, "the endpoint's address is not valid"),
                AttemptFailure::Unreachable};
    }
    client->set_connection_timeout(std::min(remaining, connectTimeout));
    client->set_read_timeout(remaining);
    client->set_write_timeout(remaining);
    const auto result = client->send(toHttpRequest(request, attempt));
    if (!result)
        return failedResult(result.error(), m_clock.now() >= request.deadline);
    auto outcome = toResult(request, *result);
    if (outcome.reply.outcome != Outcome::Unknown)
        keepConnection(attempt.address, std::move(client));
    return outcome;
}

auto EndpointClient::takeConnection(const std::string &address) -> std::unique_ptr<httplib::Client>
{
    std::vector<IdleConnection> discarded; // Destroyed, and so closed, after the lock is released.
    {
        const std::scoped_lock lock(m_mutex);
        auto &idle = m_idle[address];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (connection.since + maximumIdleTime > m_clock.now()
                && isReusable(*connection.client))
                return std::move(connection.client);
            discarded.push_back(std::move(connection));
        }
    }
    const auto parsed = Utils::parseAddress(address);
    if (!parsed)
        return nullptr;
    auto client = std::make_unique<httplib::Client>(parsed.value().host, parsed.value().port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_decompress(false);
    return client;
}

auto EndpointClient::keepConnection(const std::string &address,
                                    std::unique_ptr<httplib::Client> client) -> void
{
    const std::scoped_lock lock(m_mutex);
    auto &idle = m_idle[address];
    if (idle.size() < idleConnectionsPerEndpoint)
        idle.push_back({std::move(client), m_clock.now()});
}

} // namespace Routing
