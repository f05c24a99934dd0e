#include "fakeendpoint.h"

#include "entry/httpserver.h"
#include "utils/address.h"
#include "utils/clock.h"
#include "utils/log.h"
#include "utils/stopsignal.h"
#include "utils/taskarena.h"

#include <httplib.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace App {
namespace {

constexpr Utils::Milliseconds announceInterval{500};
constexpr auto anyPath = R"(/.*)";

class FakeEndpoint
{
public:
    explicit FakeEndpoint(FakeEndpointOptions options)
        : m_options(std::move(options))
        , m_server({"endpoint", m_options.listen, int(m_options.connections)})
        , m_incarnation(m_clock.wallTime())
    {
        const auto handler = [this](const httplib::Request &http, httplib::Response &response) {
            handle(http, response);
        };
        m_server.routes().Get(anyPath, handler).Post(anyPath, handler).Put(anyPath, handler);
    }

    auto run() -> int
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        if (const auto started = m_server.start(); !started) {
            std::cerr << started.error().message << '\n';
            return 1;
        }
        std::jthread announcer([this] {
            do {
                announce("serving");
            } while (!m_stop.waitFor(announceInterval));
        });
        auto received = 0;
        sigwait(&signals, &received);
        m_stop.request();
        announcer.join();
        announce("leaving");
        m_server.stop();
        return 0;
    }

private:
    auto handle(const httplib::Request &http, httplib::Response &response) -> void
    {
        const auto inFlight = ++m_inFlight;
        response.set_header("Trefoilshelf-Request-Id",
                            http.get_header_value("Trefoilshelf-Request-Id"));
        if (inFlight > m_options.slots || !isOwnEpoch(http)) {
            constexpr auto serviceUnavailable = 503;
            response.status = serviceUnavailable;
            response.set_header("Trefoilshelf-Outcome", "not-run");
        } else {
            m_stop.waitFor(Utils::Milliseconds(m_options.runMs));
            response.set_content(m_options.id + " ran " + http.method + ' ' + http.path + ' '
                                     + http.body + '\n',
                                 "text/plain");
        }
        --m_inFlight;
    }

    // A request with another assignment epoch was sent for a different assignment of the host to
    // a pool.
    auto isOwnEpoch(const httplib::Request &http) const -> bool
    {
        const auto epoch = http.get_header_value("Trefoilshelf-Assignment");
        return epoch.empty() || m_epoch == 0 || epoch == std::to_string(m_epoch.load());
    }

    auto updateEpoch(const std::string &responseBody) -> void
    {
        const auto json = Utils::parseJsonText(responseBody, false);
        if (json && json.value().is_object())
            m_epoch = json.value().value("assignment_epoch", std::int64_t(0));
    }

    auto announce(const std::string &state) -> void
    {
        const auto target = Utils::parseAddress(m_options.announceTo);
        if (!target)
            return;
        const auto own = Utils::parseAddress(m_options.listen);
        httplib::Client client(target.value().host, target.value().port);
        const Utils::Json body{
            {"service", m_options.service},
            {"address", own.value().host + ':' + std::to_string(m_server.port())},
            {"host", m_options.host},
            {"rack", m_options.rack},
            {"zone", m_options.zone},
            {"slots", m_options.slots},
            {"connections", m_options.connections},
            {"incarnation", m_incarnation},
            {"sequence", ++m_sequence},
            {"state", state},
            {"in_flight", m_inFlight.load()}};
        const auto result = client.Post(
            "/v1/endpoints/" + m_options.id + "/announce", body.dump(), "application/json");
        constexpr auto statusOk = 200;
        if (result && result->status == statusOk)
            updateEpoch(result->body);
        else
            Utils::Log::warning(
                "fake-endpoint", "the announcement was not accepted", {{"endpoint", m_options.id}});
    }

    FakeEndpointOptions m_options;
    Utils::SystemClock m_clock;
    Utils::StopSignal m_stop;
    Entry::HttpServer m_server;
    std::int64_t m_incarnation;
    std::int64_t m_sequence = 0;
    std::atomic<std::int64_t> m_inFlight = 0;
    std::atomic<std::int64_t> m_epoch = 0; //!< Assignment epoch of the host; 0 while unknown.
};

} // namespace

auto runFakeEndpoint(const FakeEndpointOptions &options) -> int
{
    const Utils::ThreadLimit threads(int(options.connections) + 2);
    return FakeEndpoint(options).run();
}

} // namespace App
