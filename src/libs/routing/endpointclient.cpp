#include "endpointclient.h"

#include "utils/address.h"

#include <httplib.h>

#include <algorithm>
#include <array>

namespace Routing {
namespace {

constexpr auto statusServiceUnavailable = 503;
constexpr Utils::Milliseconds connectTimeout{500};
constexpr std::size_t idleConnectionsPerEndpoint = 64;

// Headers of one connection or of the answer's framing, which are not passed on.
constexpr std::array<std::string_view, 5> hopHeaders{
    "connection", "keep-alive", "transfer-encoding", "content-length", "content-type"};

auto isHopHeader(std::string_view name) -> bool
{
    return std::ranges::any_of(hopHeaders, [&](std::string_view hop) {
        return std::ranges::equal(name, hop, {}, [](unsigned char c) { return std::tolower(c); });
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

// An answer whose end cannot be told from a broken connection must not be passed on.
auto hasDefiniteEnd(const Request &request, const httplib::Response &response) -> bool
{
    constexpr auto noContent = 204;
    constexpr auto notModified = 304;
    return response.has_header("Content-Length") || response.has_header("Transfer-Encoding")
           || request.method == "HEAD" || response.status == noContent
           || response.status == notModified;
}

auto toReply(const Request &request, const httplib::Response &response) -> Reply
{
    const auto echoed = response.get_header_value("Trefoilshelf-Request-Id");
    if (!echoed.empty() && echoed != request.id)
        return Reply::unknown("the endpoint answered another request");
    if (!hasDefiniteEnd(request, response))
        return Reply::unknown("the endpoint's answer has no definite end");
    if (response.status == statusServiceUnavailable
        && response.get_header_value("Trefoilshelf-Outcome") == "not-run") {
        return Reply::notRun(Utils::ErrorType::Unavailable, "the endpoint refused the request");
    }
    Reply reply;
    reply.outcome = Outcome::Ran;
    reply.status = response.status;
    reply.contentType = response.get_header_value("Content-Type");
    reply.body = response.body;
    for (const auto &[name, value] : response.headers) {
        if (!isHopHeader(name))
            reply.headers.push_back({name, value});
    }
    return reply;
}

auto failedReply(httplib::Error error) -> Reply
{
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
        return Reply::notRun(Utils::ErrorType::Unavailable, "cannot connect to the endpoint");
    return Reply::unknown("the endpoint did not answer: " + httplib::to_string(error));
}

} // namespace

EndpointClient::EndpointClient(const Utils::Clock &clock)
    : m_clock(clock)
{}

EndpointClient::~EndpointClient() = default;

auto EndpointClient::send(const Request &request, const Attempt &attempt) -> Reply
{
    const auto remaining = request.deadline - m_clock.now();
    if (remaining <= Utils::Milliseconds(0))
        return Reply::notRun(Utils::ErrorType::Timeout,
                             "the deadline passed before the request was sent");
    auto client = takeConnection(attempt.address);
    if (!client)
        return Reply::notRun(Utils::ErrorType::Unavailable, "the endpoint's address is not valid");
    client->set_connection_timeout(std::min(remaining, connectTimeout));
    client->set_read_timeout(remaining);
    client->set_write_timeout(remaining);
    auto result = client->send(toHttpRequest(request, attempt));
    if (!result)
        return failedReply(result.error());
    auto reply = toReply(request, *result);
    if (reply.outcome != Outcome::Unknown)
        keepConnection(attempt.address, std::move(client));
    return reply;
}

auto EndpointClient::takeConnection(const std::string &address) -> std::unique_ptr<httplib::Client>
{
    {
        const std::scoped_lock lock(m_mutex);
        auto &idle = m_idle[address];
        if (!idle.empty()) {
            auto client = std::move(idle.back());
            idle.pop_back();
            return client;
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
        idle.push_back(std::move(client));
}

} // namespace Routing
