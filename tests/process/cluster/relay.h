#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/*!
    \brief A TCP relay to one address that can be cut silently.

    While the relay is cut, it drops all bytes and keeps its connections open. heal() closes the
    connections, since a stream with missing bytes cannot be continued.
*/
class Relay
{
public:
    explicit Relay(int targetPort);
    ~Relay();
    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;

    auto port() const -> int { return m_port; }
    auto cut() -> void { m_cut = true; }
    auto heal() -> void;

private:
    auto acceptConnections() -> void;
    auto serve(int caller) -> void;
    auto pump(int from, int to) -> void;
    auto closeConnections() -> void;

    int m_targetPort;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_cut = false;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::jthread> m_threads;
    std::jthread m_acceptor;
};

/*! \brief Returns a port that was free during the call. */
auto freePort() -> int;
