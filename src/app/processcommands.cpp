#include "processcommands.h"

#include "commandline.h"
#include "fakeendpoint.h"
#include "loadtool.h"
#include "serveprocess.h"

#include "settings/settings.h"
#include "utils/address.h"
#include "utils/log.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace App {
namespace {

auto parseOptions(cxxopts::Options &options, int argc, char **argv)
    -> std::optional<cxxopts::ParseResult>
{
    try {
        return options.parse(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << '\n' << options.help();
        return std::nullopt;
    }
}

auto printError(const Utils::Error &error) -> void
{
    std::cerr << error.message << '\n' << error.details << '\n';
}

} // namespace

auto runServeCommand(int argc, char **argv) -> int
{
    cxxopts::Options options("trefoilshelf serve", "Runs one process of the system.");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
        "help", "print this help");
    const auto parsed = parseOptions(options, argc, argv);
    if (!parsed)
        return exitUsage;
    if (parsed->count("help") > 0) {
        std::cout << options.help();
        return exitDone;
    }
    auto settings = Utils::Result<Settings::Settings>(Settings::defaultSettings());
    if (parsed->count("settings") > 0)
        settings = Settings::loadSettings((*parsed)["settings"].as<std::string>());
    if (!settings) {
        printError(settings.error());
        return exitUsage;
    }
    const auto &log = settings.value().log;
    Utils::Log::initialize({Utils::Log::levelFromName(log.level).value_or(Utils::Log::Level::Info),
                            log.file,
                            settings.value().id,
                            settings.value().zone});
    return runServe(settings.value());
}

auto runCheckCommand(int argc, char **argv) -> int
{
    cxxopts::Options options("trefoilshelf check",
                             "Checks a settings file and prints all its errors.");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
        "keys", "print the path of each key that a settings file may hold")("help",
                                                                            "print this help");
    const auto parsed = parseOptions(options, argc, argv);
    if (!parsed)
        return exitUsage;
    if (parsed->count("help") > 0) {
        std::cout << options.help();
        return exitDone;
    }
    if (parsed->count("keys") > 0) {
        for (const auto &key : Settings::settingsKeys())
            std::cout << key << '\n';
        return exitDone;
    }
    if (parsed->count("settings") == 0) {
        std::cerr << options.help();
        return exitUsage;
    }
    const auto settings = Settings::loadSettings((*parsed)["settings"].as<std::string>());
    if (!settings) {
        printError(settings.error());
        return exitUsage;
    }
    std::cout << "the settings are valid\n";
    return exitDone;
}

auto runFakeEndpointCommand(int argc, char **argv) -> int
{
    FakeEndpointOptions endpoint;
    cxxopts::Options options("trefoilshelf fake-endpoint", "Runs a simulated endpoint.");
    options.add_options()("id", "endpoint id", cxxopts::value(endpoint.id))(
        "service", "service name", cxxopts::value(endpoint.service))(
        "host", "host id", cxxopts::value(endpoint.host))(
        "rack", "rack", cxxopts::value(endpoint.rack))(
        "zone", "availability zone", cxxopts::value(endpoint.zone))(
        "listen", "address to serve on", cxxopts::value(endpoint.listen))(
        "announce-to",
        "address of the system's listener for endpoints",
        cxxopts::value(endpoint.announceTo))(
        "slots", "number of concurrent requests", cxxopts::value(endpoint.slots))(
        "run-ms", "run time of a request in milliseconds", cxxopts::value(endpoint.runMs));
    if (!parseOptions(options, argc, argv))
        return exitUsage;
    Utils::Log::initialize({Utils::Log::Level::Info, "", endpoint.id, endpoint.zone});
    return runFakeEndpoint(endpoint);
}

auto runLoadCommand(int argc, char **argv) -> int
{
    LoadOptions load;
    auto &demand = load.demand;
    std::int64_t durationS = 10;
    std::int64_t peakS = 0;
    cxxopts::Options options("trefoilshelf load", "Sends a limited load and reports the results.");
    options.add_options()(
        "server", "callers' listener, may be repeated", cxxopts::value(load.servers))(
        "customer", "customer name", cxxopts::value(load.customer))(
        "service", "service, may be repeated", cxxopts::value(demand.services))(
        "rate", "mean requests per second", cxxopts::value(demand.requestsPerS))(
        "requests", "number of requests at most", cxxopts::value(demand.requests))(
        "duration-s", "duration in seconds at most", cxxopts::value(durationS))(
        "peak-s",
        "seconds for which each service peaks in turn, 0 for none",
        cxxopts::value(peakS))("seed", "seed of the demand", cxxopts::value(demand.seed))(
        "connections", "number of persistent connections", cxxopts::value(load.connections))(
        "deadline-ms", "deadline of a request", cxxopts::value(load.deadlineMs))(
        "claimed", "send requests with idempotency keys", cxxopts::value(load.claimed))(
        "json", "print JSON", cxxopts::value(load.json));
    if (!parseOptions(options, argc, argv))
        return exitUsage;
    // cxxopts appends to vectors, so their defaults are set after parsing.
    if (load.servers.empty())
        load.servers = {"127.0.0.1:7400"};
    if (demand.services.empty())
        demand.services = {"dispatch"};
    demand.duration = std::chrono::seconds(durationS);
    demand.peak = std::chrono::seconds(peakS);
    const auto addressesValid = std::ranges::all_of(
        load.servers, [](const auto &server) { return bool(Utils::parseAddress(server)); });
    if (!addressesValid || demand.requestsPerS <= 0 || load.connections <= 0 || load.deadlineMs <= 0
        || durationS <= 0 || peakS < 0) {
        std::cerr << "the load's options are invalid or out of range\n";
        return exitUsage;
    }
    return runLoad(load);
}

auto runVersionCommand(int, char **) -> int
{
    std::cout << "trefoilshelf 0.1.0\n";
    return exitDone;
}

} // namespace App
