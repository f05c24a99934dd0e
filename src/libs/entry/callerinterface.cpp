#include "callerinterface.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Entry {
namespace {

using Utils::ErrorType;

constexpr auto servicePattern = R"(/v1/services/([^/]+)(/.*)?)";
constexpr std::int64_t defaultDeadlineMs = 30'000;
constexpr std::int64_t maximumDeadlineMs = 3'600'000;
constexpr std::string_view ownHeaderPrefix = "Trefoilshelf-";
constexpr std::array<std::string_view, 5> idempotentMethods{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
constexpr std::array<std::string_view, 6> hopHeaders{
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Host", "Accept-Encoding"};

auto parseDeadline(const httplib::Request &http) -> Utils::Result<std::int64_t>
{
    if (!http.has_header("Trefoilshelf-Deadline-Ms"))
        return defaultDeadlineMs;
    const auto text = http.get_header_value("Trefoilshelf-Deadline-Ms");
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto complete = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!complete || value <= 0 || value > maximumDeadlineMs)
        return Utils::failure(ErrorType::InvalidInput,
                              "Trefoilshelf-Deadline-Ms must be a whole number from 1 to 3600000",
                              text);
    return value;
}

auto parseIdempotent(const httplib::Request &http) -> Utils::Result<bool>
{
    const auto text = http.get_header_value("Trefoilshelf-Idempotent");
    if (text == "true")
        return true;
    if (text == "false")
        return false;
    if (!text.empty())
        return Utils::failure(
            ErrorType::InvalidInput, "Trefoilshelf-Idempotent must be true or false", text);
    return std::ranges::find(idempotentMethods, http.method) != idempotentMethods.end();
}

auto parsePriority(const httplib::Request &http) -> Utils::Result<Routing::Priority>
{
    const auto text = http.get_header_value("Trefoilshelf-Priority");
    if (text.empty())
        return Routing::Priority::Normal;
    const auto priority = Utils::valueOf<Routing::Priority>(text);
    if (!priority)
        return Utils::failure(ErrorType::InvalidInput, "Trefoilshelf-Priority is not valid", text);
    return *priority;
}

auto isForwarded(std::string_view name) -> bool
{
    if (name.starts_with(ownHeaderPrefix) || name == "Idempotency-Key")
        return false;
    // The HTTP library adds these headers to describe the connection.
    if (name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR"
        || name == "LOCAL_PORT")
        return false;
    return std::ranges::find(hopHeaders, name) == hopHeaders.end();
}

auto writeReply(const Routing::Reply &reply, httplib::Response &response) -> void
{
    constexpr auto millisecondsPerSecond = 1000;
    if (reply.error) {
        setError(response, *reply.error);
        response.status = reply.status;
    } else {
        response.status = reply.status;
        for (const auto &header : reply.headers) {
            if (!header.name.starts_with(ownHeaderPrefix))
                response.headers.emplace(header.name, header.value);
        }
        response.set_content(reply.body, reply.contentType);
    }
    response.set_header("Trefoilshelf-Outcome", std::string(Utils::nameOf(reply.outcome)));
    if (reply.outcome == Routing::Outcome::NotRun) {
        const auto seconds =
            std::max<std::int64_t>(1, reply.retryAfter.count() / millisecondsPerSecond);
        response.set_header("Retry-After", std::to_string(seconds));
    }
}

} // namespace

CallerInterface::CallerInterface(HttpServer &server, CallerContext context)
    : m_context(context)
{
    const auto handler = [this](const httplib::Request &http, httplib::Response &response) {
        handle(http, response);
    };
    server.routes()
        .Get(servicePattern, handler)
        .Post(servicePattern, handler)
        .Put(servicePattern, handler)
        .Patch(servicePattern, handler)
        .Delete(servicePattern, handler)
        .Options(servicePattern, handler);
}

auto CallerInterface::handle(const httplib::Request &http, httplib::Response &response) -> void
{
    const auto started = m_context.clock.now();
    auto request = parse(http);
    if (!request) {
        const auto &error = request.error();
        writeReply(Routing::Reply::notRun(error.type, error.message, error.details), response);
        // The request is counted without names, so that only customers and services of contracts
        // become label values.
        record({}, Routing::Outcome::NotRun, started);
        return;
    }
    const auto &parsed = request.value();
    const auto claimed = !parsed.idempotent && !parsed.idempotencyKey.empty();
    const auto reply = claimed ? m_context.claimedDispatch.dispatch(parsed)
                               : m_context.dispatcher.dispatch(parsed);
    writeReply(reply, response);
    response.set_header("Trefoilshelf-Request-Id", parsed.id);
    record(parsed, reply.outcome, started);
}

auto CallerInterface::record(const Routing::Request &request,
                             Routing::Outcome outcome,
                             Utils::Instant started) const -> void
{
    if (!m_context.metrics)
        return;
    const Utils::MetricLabels labels{{"customer", request.customer},
                                     {"service", request.service},
                                     {"outcome", std::string(Utils::nameOf(outcome))}};
    const std::chrono::duration<double> elapsed = m_context.clock.now() - started;
    m_context.metrics->count("trefoilshelf_requests_total", labels);
    m_context.metrics->observe("trefoilshelf_request_seconds", labels, elapsed.count());
}

auto CallerInterface::parse(const httplib::Request &http) const -> Utils::Result<Routing::Request>
{
    if (m_context.startGate && !m_context.startGate->isOpen())
        return Utils::failure(ErrorType::Unavailable,
                              "the process is still starting and does not serve callers yet");
    Routing::Request request;
    request.id = m_context.ids.next("request");
    request.customer = http.get_header_value("Trefoilshelf-Customer");
    request.service = http.matches[1].str();
    request.method = http.method;
    const auto queryStart = http.target.find('?');
    request.path = http.matches[2].matched ? http.matches[2].str() : "/";
    if (queryStart != std::string::npos)
        request.path += http.target.substr(queryStart);
    request.body = http.body;
    request.idempotencyKey = http.get_header_value("Idempotency-Key");
    BOOST_OUTCOME_TRY(deadlineMs, parseDeadline(http));
    request.deadline = m_context.clock.now() + Utils::Milliseconds(deadlineMs);
    BOOST_OUTCOME_TRY(idempotent, parseIdempotent(http));
    request.idempotent = idempotent;
    BOOST_OUTCOME_TRY(priority, parsePriority(http));
    request.priority = priority;
    for (const auto &[name, value] : http.headers) {
        if (isForwarded(name))
            request.headers.push_back({name, value});
    }
    return m_context.replica.read(
        [&](const Fleet::State &state) -> Utils::Result<Routing::Request> {
            const auto *contract = state.findContract(request.customer);
            if (!contract)
                return Utils::failure(ErrorType::Forbidden, "unknown customer", request.customer);
            if (!contract->findService(request.service)) {
                return Utils::failure(
                    ErrorType::NotFound, "the contract does not name the service", request.service);
            }
            return request;
        });
}

} // namespace Entry
