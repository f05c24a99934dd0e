#include "requestreader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

namespace AsyncNet {

namespace beast = boost::beast;
namespace http = beast::http;
using ErrorCode = boost::system::error_code;
using Field = http::field;

namespace {

// Most requests of the system's clients fit into the first read.
constexpr std::size_t leastReadBytes = 1024;
constexpr std::size_t mostReadBytes = 64 * 1024;
// A body in chunks of one byte each takes this many bytes of framing for each of its bytes.
constexpr std::int64_t framingPerBodyByte = 5;

constexpr RequestRefusal malformed{400, "bad-request"};
constexpr RequestRefusal bodyTooLarge{413, "body-bytes"};
constexpr RequestRefusal framingTooLarge{413, "framing-bytes"};
constexpr RequestRefusal headerTooLarge{431, "header-bytes"};
constexpr RequestRefusal trailerTooLarge{431, "trailer-bytes"};
constexpr RequestRefusal noMemory{503, "memory"};

// The buffer that each connection needs to wait for a request is part of the limit of connections.
auto countedBytes(std::size_t bufferBytes) -> std::int64_t
{
    return std::int64_t(bufferBytes - std::min(bufferBytes, leastReadBytes));
}

auto view(beast::string_view text) -> std::string_view
{
    return {text.data(), text.size()};
}

} // namespace

// Keeps only those parts of a request that the system uses.
class RequestReader::Parser final : public http::basic_parser<true>
{
public:
    Parser(const RequestLimits &limits,
           const std::vector<std::string> &keptHeaders,
           Utils::HeldBytes &held)
        : m_bodyLimit(limits.bodyBytes)
        , m_keptHeaders(keptHeaders)
        , m_held(held)
    {
        header_limit(std::uint32_t(limits.headerBytes));
        body_limit(std::uint64_t(limits.bodyBytes));
    }

    HttpRequest request;
    std::int64_t consumedBytes = 0; //!< All bytes of the request that have been parsed.
    std::int64_t headerBytes = 0;   //!< Those of them that belong to the request line and headers.
    std::int64_t bodyBytes = 0;
    bool lacksMemory = false;

private:
    auto on_request_impl(http::verb,
                         beast::string_view method,
                         beast::string_view target,
                         int,
                         ErrorCode &) -> void override
    {
        request.method = view(method);
        request.target = view(target);
    }
    auto on_response_impl(int, beast::string_view, int, ErrorCode &) -> void override {}
    auto on_field_impl(Field field, beast::string_view name, beast::string_view value, ErrorCode &)
        -> void override
    {
        // What a trailer says could contradict the header.
        if (is_header_done())
            return;
        if (field == Field::host && request.host.empty())
            request.host = view(value);
        for (const auto &kept : m_keptHeaders) {
            if (beast::iequals(name, beast::string_view(kept.data(), kept.size())))
                request.headers.push_back({kept, std::string(view(value))});
        }
    }
    auto on_header_impl(ErrorCode &error) -> void override
    {
        if (const auto length = content_length())
            reserve(std::int64_t(*length), error);
    }
    auto on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) -> void override {}
    auto on_body_impl(beast::string_view body, ErrorCode &error) -> std::size_t override
    {
        append(body, error);
        return body.size();
    }
    auto on_chunk_header_impl(std::uint64_t, beast::string_view, ErrorCode &) -> void override {}
    auto on_chunk_body_impl(std::uint64_t, beast::string_view body, ErrorCode &error)
        -> std::size_t override
    {
        append(body, error);
        return body.size();
    }
    auto on_finish_impl(ErrorCode &) -> void override {}

    auto append(beast::string_view body, ErrorCode &error) -> void
    {
        bodyBytes += std::int64_t(body.size());
        const auto capacity = std::int64_t(request.body.capacity());
        if (bodyBytes > capacity)
            reserve(std::max(bodyBytes, std::min(2 * capacity, m_bodyLimit)), error);
        if (!error)
            request.body.append(body.data(), body.size());
    }
    // Both the old and the new body are held while one is copied to the other.
    auto reserve(std::int64_t bytes, ErrorCode &error) -> void
    {
        const auto others = m_held.held() - m_bodyHeld;
        lacksMemory = !m_held.resize(others + m_bodyHeld + bytes);
        if (lacksMemory) {
            error = http::error::body_limit;
            return;
        }
        request.body.reserve(std::size_t(bytes));
        m_bodyHeld = bytes;
        m_held.resize(others + bytes);
    }

    std::int64_t m_bodyLimit;
    const std::vector<std::string> &m_keptHeaders;
    Utils::HeldBytes &m_held;
    std::int64_t m_bodyHeld = 0;
};

RequestReader::RequestReader(std::vector<std::string> keptHeaders,
                             std::shared_ptr<Utils::ByteBudget> budget)
    : m_keptHeaders(std::move(keptHeaders))
    , m_held(std::move(budget))
{}

RequestReader::~RequestReader() = default;

auto RequestReader::startRequest(const RequestLimits &limits) -> void
{
    m_limits = limits;
    m_parser = std::make_unique<Parser>(m_limits, m_keptHeaders, m_held);
    // A buffer that a large request has grown isn't kept for an idle connection.
    if (m_buffer.size() == 0 && m_buffer.capacity() > leastReadBytes)
        m_buffer = beast::flat_buffer();
    m_held.resize(std::min(m_held.held(), countedBytes(m_buffer.capacity())));
    parse();
}

auto RequestReader::prepare() -> boost::asio::mutable_buffer
{
    const auto bytes = std::clamp(m_buffer.size(), leastReadBytes, mostReadBytes);
    const auto others = m_held.held() - countedBytes(m_buffer.capacity());
    const auto grows = m_buffer.capacity() - m_buffer.size() < bytes;
    // A new buffer is held together with the one that is copied into it.
    if (grows && !m_held.resize(m_held.held() + countedBytes(2 * m_buffer.size() + bytes))) {
        refuse(noMemory);
        return {};
    }
    const auto space = m_buffer.prepare(bytes);
    m_held.resize(others + countedBytes(m_buffer.capacity()));
    return space;
}

auto RequestReader::commit(std::size_t bytes) -> void
{
    m_buffer.commit(bytes);
    parse();
}

auto RequestReader::parse() -> void
{
    ErrorCode error;
    while (m_buffer.size() > 0 && !m_parser->is_done() && !m_refusal && !error) {
        const auto headerDone = m_parser->is_header_done();
        const auto consumed = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(consumed);
        m_parser->consumedBytes += std::int64_t(consumed);
        if (!headerDone)
            m_parser->headerBytes = m_parser->consumedBytes;
        checkParsedBytes();
        if (error == http::error::need_more)
            checkUnparsedBytes();
    }
    if (!error || error == http::error::need_more || m_refusal)
        return;
    if (m_parser->lacksMemory)
        refuse(noMemory);
    else if (error == http::error::body_limit)
        refuse(bodyTooLarge);
    else if (error == http::error::header_limit)
        refuse(headerTooLarge);
    else
        refuse(malformed);
}

// Checks the parsed bytes against limits that the library doesn't have.
auto RequestReader::checkParsedBytes() -> void
{
    if (m_parser->headerBytes > m_limits.headerBytes)
        return refuse(headerTooLarge);
    const auto framing = m_parser->consumedBytes - m_parser->headerBytes - m_parser->bodyBytes;
    if (framing > m_limits.headerBytes + framingPerBodyByte * m_limits.bodyBytes)
        refuse(framingTooLarge);
}

// Checks the unparsed bytes, which belong to the header, to the line of a chunk, or to the trailers.
auto RequestReader::checkUnparsedBytes() -> void
{
    const auto unparsed = std::int64_t(m_buffer.size());
    if (m_parser->is_header_done()) {
        if (unparsed > m_limits.headerBytes)
            refuse(trailerTooLarge);
    } else if (m_parser->consumedBytes + unparsed > m_limits.headerBytes) {
        refuse(headerTooLarge);
    }
}

auto RequestReader::refuse(const RequestRefusal &refusal) -> void
{
    if (!m_refusal)
        m_refusal = refusal;
}

auto RequestReader::hasBegun() const -> bool
{
    return m_parser->consumedBytes > 0 || m_buffer.size() > 0;
}

auto RequestReader::isComplete() const -> bool
{
    return m_parser->is_done() && !m_refusal;
}

auto RequestReader::keepAlive() const -> bool
{
    return m_parser->keep_alive();
}

auto RequestReader::takeRequest() -> HttpRequest
{
    return std::move(m_parser->request);
}

auto RequestReader::holdResponse(std::size_t bytes) -> bool
{
    return m_held.resize(m_held.held() + std::int64_t(bytes));
}

} // namespace AsyncNet
