#include "callers.h"

namespace {

constexpr auto attemptsPerKey = 8;
constexpr auto deadlineMs = "4000";
constexpr std::chrono::seconds readTimeout{8};
constexpr std::chrono::milliseconds sendInterval{20};

auto send(int port, const std::string &key, bool idempotent) -> Send
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(readTimeout);
    httplib::Headers headers{{"Trefoilshelf-Customer", "camara"},
                             {"Trefoilshelf-Deadline-Ms", deadlineMs},
                             {"Trefoilshelf-Idempotent", idempotent ? "true" : "false"}};
    if (!idempotent)
        headers.emplace("Idempotency-Key", key);
    const auto result = client.Post("/v1/services/dispatch/trip", headers, key, "text/plain");
    if (!result)
        return {key, {}, {}, {}};
    return {key,
            result->get_header_value("Trefoilshelf-Request-Id"),
            result->get_header_value("Trefoilshelf-Outcome"),
            result->body};
}

} // namespace

auto sendClaimed(int port, const std::string &key) -> Send
{
    return send(port, key, false);
}

auto sendIdempotent(int port, const std::string &body) -> Send
{
    return send(port, body, true);
}

Callers::Callers(const Cluster &cluster, int threads)
    : m_cluster(cluster)
{
    for (auto thread = 0; thread < threads; ++thread) {
        m_threads.emplace_back([this, thread](const std::stop_token &stop) { call(thread, stop); });
    }
}

Callers::~Callers()
{
    finish();
}

auto Callers::finish() -> std::vector<Send>
{
    for (auto &thread : m_threads)
        thread.request_stop();
    m_threads.clear();
    return std::move(m_sends);
}

auto Callers::call(int thread, const std::stop_token &stop) -> void
{
    for (auto number = 0; !stop.stop_requested(); ++number) {
        sendUntilAnswered("key-" + std::to_string(thread) + "-" + std::to_string(number),
                          thread + number);
        std::this_thread::sleep_for(sendInterval);
    }
}

auto Callers::sendUntilAnswered(const std::string &key, int firstProcess) -> void
{
    for (auto count = 0; count < attemptsPerKey; ++count) {
        const auto &process = m_cluster.process((firstProcess + count) % m_cluster.size());
        auto sent = sendClaimed(process.callers, key);
        const auto ran = sent.outcome == "ran";
        {
            const std::scoped_lock lock(m_mutex);
            m_sends.push_back(std::move(sent));
        }
        if (ran) {
            ++m_answered;
            return;
        }
        std::this_thread::sleep_for(sendInterval);
    }
}
