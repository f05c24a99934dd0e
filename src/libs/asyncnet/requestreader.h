#pragma once

#include "httpmessage.h"

#include "utils/bytebudget.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace AsyncNet {

/*! \brief Limits of one request. */
struct RequestLimits
{
    std::int64_t headerBytes = 16 * 1024; //!< Request line and header lines; also the trailers.
    std::int64_t bodyBytes = 1024 * 1024;
};

/*! \brief Why a request isn't served. It has not run. */
struct RequestRefusal
{
    int status = 0;          //!< HTTP status of the response.
    std::string_view reason; //!< Value of the metric label "reason".
};

/*!
    \brief Assembles the HTTP/1.1 requests of one connection from the bytes that it has received.

    Everything that a client sends counts against a limit, also what isn't part of the request:
    extensions of chunks, the framing of many small chunks, and trailers. What is held counts against
    a budget that many connections share. Header lines that nobody asks for and trailers are not
    kept. This answers clients that send without end, and crowds that each stay within the limits of
    one request. Performs no I/O.
*/
class RequestReader
{
public:
    RequestReader(std::vector<std::string> keptHeaders, std::shared_ptr<Utils::ByteBudget> budget);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    auto operator=(const RequestReader &) -> RequestReader & = delete;

    /*! \brief Begins the next request, and parses what has been received of it already. */
    auto startRequest(const RequestLimits &limits) -> void;
    /*! \brief Returns space for the bytes to receive next; empty if the request is refused. */
    auto prepare() -> boost::asio::mutable_buffer;
    /*! \brief Parses the next \a bytes, which have been written to the space of prepare(). */
    auto commit(std::size_t bytes) -> void;

    /*! \brief Returns whether any byte of the request has been received. */
    auto hasBegun() const -> bool;
    auto isComplete() const -> bool;
    /*! \brief Returns why the request is refused; nothing if it isn't. */
    auto refusal() const -> const std::optional<RequestRefusal> & { return m_refusal; }
    auto keepAlive() const -> bool;
    /*! \brief Returns the complete request. What it holds counts until the next request begins. */
    auto takeRequest() -> HttpRequest;
    /*! \brief Counts the bytes of a response; returns false if they don't fit into the budget. */
    auto holdResponse(std::size_t bytes) -> bool;

private:
    class Parser;

    auto parse() -> void;
    auto checkParsedBytes() -> void;
    auto checkUnparsedBytes() -> void;
    auto refuse(const RequestRefusal &refusal) -> void;

    std::vector<std::string> m_keptHeaders;
    Utils::HeldBytes m_held;
    boost::beast::flat_buffer m_buffer;
    RequestLimits m_limits;
    std::unique_ptr<Parser> m_parser;
    std::optional<RequestRefusal> m_refusal;
};

} // namespace AsyncNet
