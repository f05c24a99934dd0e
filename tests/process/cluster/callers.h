#pragma once

#include "zoneendpoint.h"

/*! \brief The outcome of one send of one key. */
struct Send
{
    std::string key;
    std::string requestId;
    std::string outcome; //!< Empty if the connection broke.
    std::string body;
};

/*! \brief Sends one request; \a key becomes its body and its idempotency key. */
auto sendClaimed(int port, const std::string &key) -> Send;
/*! \brief Sends one idempotent request. */
auto sendIdempotent(int port, const std::string &body) -> Send;

/*!
    \brief Stand-in callers that send claimed requests to processes in turn.

    A send that did not answer `ran` is sent again through another process.
*/
class Callers
{
public:
    Callers(const Cluster &cluster, int threads);
    ~Callers();

    /*! \brief Returns how many keys got an answer so far. */
    auto answered() const -> int { return m_answered.load(); }
    /*! \brief Ends all callers and returns what they saw. */
    auto finish() -> std::vector<Send>;

private:
    auto call(int thread, const std::stop_token &stop) -> void;
    auto sendUntilAnswered(const std::string &key, int firstProcess) -> void;

    const Cluster &m_cluster;
    std::atomic<int> m_answered = 0;
    std::mutex m_mutex;
    std::vector<Send> m_sends;
    std::vector<std::jthread> m_threads;
};
