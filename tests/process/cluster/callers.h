#pragma once

#include "zoneendpoint.h"

/*! \brief Outcome of one attempt to send a key. */
struct Send
{
    std::string key;
    std::string requestId;
    std::string outcome; //!< Empty if the connection broke.
    std::string body;
};

/*! \brief Sends one request with \a key as its body and its idempotency key. */
auto sendClaimed(int port, const std::string &key) -> Send;
/*! \brief Sends one idempotent request. */
auto sendIdempotent(int port, const std::string &body) -> Send;

/*!
    \brief Simulated callers that send claimed requests to all processes in turn.

    Requests without the outcome `ran` are sent again through the next process, 8 times in all.
*/
class Callers
{
public:
    Callers(const Cluster &cluster, int threads);
    ~Callers();

    /*! \brief Returns the number of keys with the outcome `ran` so far. */
    auto answered() const -> int { return m_answered.load(); }
    /*! \brief Stops all callers and returns the outcomes of all attempts. */
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
