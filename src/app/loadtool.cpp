#include "loadtool.h"

#include "utils/address.h"
#include "utils/fields.h"
#include "utils/ids.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

namespace App {
namespace {

using Clock = std::chrono::steady_clock;

constexpr auto statusOk = 200;
constexpr auto priorityCount = 3;

/*! \brief Outcomes and latencies of the requests of one priority. */
struct PriorityReport
{
    std::int64_t inDeadline = 0;
    std::int64_t late = 0;
    std::int64_t notRun = 0;
    std::int64_t unknown = 0;
    std::int64_t failed = 0; //!< Requests without a response or with a status other than 200.
    std::vector<double> latenciesMs;

    auto add(const PriorityReport &other) -> void
    {
        inDeadline += other.inDeadline;
        late += other.late;
        notRun += other.notRun;
        unknown += other.unknown;
        failed += other.failed;
        latenciesMs.insert(latenciesMs.end(), other.latenciesMs.begin(), other.latenciesMs.end());
    }
    auto percentileMs(double fraction) -> double
    {
        if (latenciesMs.empty())
            return 0;
        std::sort(latenciesMs.begin(), latenciesMs.end());
        return latenciesMs[std::size_t(fraction * double(latenciesMs.size() - 1))];
    }
};

using Report = std::array<PriorityReport, priorityCount>;

/*! \brief Sends requests over one connection per server, using the servers in turn. */
class Sender
{
public:
    Sender(const LoadOptions &options, int number)
        : m_options(options)
        , m_ids(options.demand.seed + std::uint64_t(number))
        , m_nextServer(std::size_t(number))
    {
        for (const auto &server : options.servers) {
            const auto address = Utils::parseAddress(server);
            m_clients.push_back(
                std::make_unique<httplib::Client>(address.value().host, address.value().port));
            m_clients.back()->set_keep_alive(true);
            m_clients.back()->set_tcp_nodelay(true);
            m_clients.back()->set_read_timeout(std::chrono::milliseconds(2 * options.deadlineMs));
        }
    }

    auto run(LoadSchedule &schedule, Clock::time_point start) -> void
    {
        while (const auto planned = schedule.next()) {
            std::this_thread::sleep_until(start + planned->due);
            send(*planned);
        }
    }
    auto report() const -> const Report & { return m_report; }

private:
    auto send(const PlannedRequest &planned) -> void
    {
        auto &client = *m_clients[m_nextServer++ % m_clients.size()];
        httplib::Request request;
        request.method = m_options.claimed ? "POST" : "GET";
        request.path = "/v1/services/" + planned.service + "/load";
        request.set_header("Trefoilshelf-Customer", m_options.customer);
        request.set_header("Trefoilshelf-Priority", std::string(Utils::nameOf(planned.priority)));
        request.set_header("Trefoilshelf-Deadline-Ms", std::to_string(m_options.deadlineMs));
        if (m_options.claimed)
            request.set_header("Idempotency-Key", m_ids.next("load"));
        const auto started = Clock::now();
        const auto result = client.send(request);
        const std::chrono::duration<double, std::milli> elapsed = Clock::now() - started;
        count(m_report.at(std::size_t(planned.priority)), result, elapsed.count());
    }

    auto count(PriorityReport &report, const httplib::Result &result, double elapsedMs) const
        -> void
    {
        const auto outcome = result ? result->get_header_value("Trefoilshelf-Outcome") : "";
        if (outcome == "not-run") {
            ++report.notRun;
        } else if (outcome == "unknown") {
            ++report.unknown;
        } else if (!result || result->status != statusOk) {
            ++report.failed;
        } else {
            ++(elapsedMs <= double(m_options.deadlineMs) ? report.inDeadline : report.late);
            report.latenciesMs.push_back(elapsedMs);
        }
    }

    const LoadOptions &m_options;
    Utils::IdGenerator m_ids;
    std::size_t m_nextServer;
    std::vector<std::unique_ptr<httplib::Client>> m_clients;
    Report m_report;
};

auto printTable(Report &report) -> void
{
    constexpr auto width = 14;
    std::cout << std::left << std::fixed << std::setprecision(1);
    for (const auto *title :
         {"priority", "in deadline", "late", "not-run", "unknown", "failed", "p50 ms", "p99 ms"})
        std::cout << std::setw(width) << title;
    std::cout << '\n';
    for (std::size_t index = 0; index < report.size(); ++index) {
        auto &row = report.at(index);
        std::cout << std::setw(width) << Utils::nameOf(Routing::Priority(index)) << std::setw(width)
                  << row.inDeadline << std::setw(width) << row.late << std::setw(width)
                  << row.notRun << std::setw(width) << row.unknown << std::setw(width) << row.failed
                  << std::setw(width) << row.percentileMs(0.5) << std::setw(width)
                  << row.percentileMs(0.99) << '\n';
    }
}

auto printJson(Report &report) -> void
{
    Utils::Json json;
    for (std::size_t index = 0; index < report.size(); ++index) {
        auto &row = report.at(index);
        json[std::string(Utils::nameOf(Routing::Priority(index)))] = {
            {"in_deadline", row.inDeadline},
            {"late", row.late},
            {"not_run", row.notRun},
            {"unknown", row.unknown},
            {"failed", row.failed},
            {"p50_ms", row.percentileMs(0.5)},
            {"p99_ms", row.percentileMs(0.99)}};
    }
    std::cout << json.dump(2) << '\n';
}

} // namespace

auto runLoad(const LoadOptions &options) -> int
{
    LoadSchedule schedule(options.demand);
    std::vector<std::unique_ptr<Sender>> senders;
    for (auto number = 0; number < options.connections; ++number)
        senders.push_back(std::make_unique<Sender>(options, number));
    std::vector<std::jthread> threads;
    const auto start = Clock::now();
    for (const auto &sender : senders)
        threads.emplace_back([&] { sender->run(schedule, start); });
    threads.clear();
    Report report;
    for (const auto &sender : senders) {
        for (std::size_t index = 0; index < report.size(); ++index)
            report.at(index).add(sender->report().at(index));
    }
    if (options.json)
        printJson(report);
    else
        printTable(report);
    return 0;
}

} // namespace App
