#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

/*! \brief An endpoint on a raw TCP socket that responds to each request as a test specifies. */
class RawEndpoint
{
public:
    /*! \brief A request that was received on a connection. */
    struct Exchange
    {
        int socket = -1;
        std::string requestId;

        auto send(const std::string &text) const -> void;
        /*! \brief Waits until the other side closes the connection. */
        auto waitForClose() const -> void;
    };
    /*! \brief Responds to one request; returns false to close the connection. */
    using Behaviour = std::function<bool(const Exchange &)>;

    explicit RawEndpoint(Behaviour behaviour);
    ~RawEndpoint();

    auto address() const -> std::string { return "127.0.0.1:" + std::to_string(m_port); }
    auto requests() const -> int { return m_requests; }
    auto connections() const -> int { return m_connections; }

private:
    auto accept() -> void;
    auto serve(int socket) -> void;

    Behaviour m_behaviour;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_connections = 0;
    std::jthread m_acceptor;
};

/*! \brief Returns a complete HTTP response to the request \a id. */
auto completeResponse(const std::string &id,
                      const std::string &body,
                      const std::string &status = "200 OK") -> std::string;
