#include "experimentcommand.h"

#include "commandline.h"

#include "fleetmodel/fleetmodel.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace App {
namespace {

auto loadScenario(const std::string &path) -> Utils::Result<FleetModel::Scenario>
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return Utils::failure(Utils::ErrorType::IoFailure, "cannot read the scenario file", path);
    BOOST_OUTCOME_TRY(json, Utils::parseJsonText(text.str(), true));
    return Utils::fromJson<FleetModel::Scenario>(json);
}

auto print(std::uint64_t seed, const FleetModel::Result &result) -> void
{
    for (const auto &queue : result.queues)
        std::cout << seed << ',' << queue.queue << ',' << queue.jobs << ',' << queue.onTime << ','
                  << queue.late << ',' << queue.credit << ',' << queue.meanWaitMs << ','
                  << queue.meanResponseMs << '\n';
    const auto microseconds = [](std::chrono::nanoseconds time, std::int64_t count) {
        return count > 0 ? double(time.count()) / 1000.0 / double(count) : 0.0;
    };
    std::cout << "# seed " << seed << ": credit " << result.credit() << ", host seconds "
              << result.hostSeconds << ", moves " << result.moves << ", starts " << result.starts
              << ", far " << result.farStarts << ", stops " << result.stops << ", looks "
              << result.polls << ", pass " << microseconds(result.passTime, result.passes)
              << " us, look " << microseconds(result.pollTime, result.polls) << " us\n";
}

} // namespace

auto runExperimentCommand(int argc, char **argv) -> int
{
    cxxopts::Options options("trefoilshelf experiment", "simulate a scenario of the fleet model");
    options.add_options()("file",
                          "scenario file, JSON with comments",
                          cxxopts::value<std::string>())("h,help", "show this help");
    options.parse_positional({"file"});
    options.positional_help("FILE");
    std::string path;
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return exitDone;
        }
        path = parsed["file"].as<std::string>();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n' << options.help();
        return exitUsage;
    }
    const auto scenario = loadScenario(path);
    if (!scenario) {
        std::cerr << scenario.error().message << '\n' << scenario.error().details << '\n';
        return exitUsage;
    }
    std::cout << "seed,queue,jobs,on_time,late,credit,mean_wait_ms,mean_response_ms\n";
    for (std::int64_t seed = 1; seed <= scenario.value().seeds; ++seed) {
        std::cerr << "simulating seed " << seed << " of " << scenario.value().seeds << '\n';
        print(std::uint64_t(seed), FleetModel::play(scenario.value(), std::uint64_t(seed)));
    }
    return exitDone;
}

} // namespace App
