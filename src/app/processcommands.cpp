#include "processcommands.h"

#include "commandline.h"
#include "fakeendpoint.h"
#include "serveprocess.h"

#include "settings/settings.h"
#include "utils/log.h"

#include <cxxopts.hpp>

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
    cxxopts::Options options("trefoilshelf fake-endpoint", "Runs the stand-in endpoint.");
    options.add_options()("id", "endpoint id", cxxopts::value(endpoint.id))(
        "service", "service name", cxxopts::value(endpoint.service))(
        "host", "host id", cxxopts::value(endpoint.host))(
        "rack", "rack", cxxopts::value(endpoint.rack))(
        "zone", "availability zone", cxxopts::value(endpoint.zone))(
        "listen", "address to serve on", cxxopts::value(endpoint.listen))(
        "announce-to", "endpoints' listener of the system", cxxopts::value(endpoint.announceTo))(
        "slots", "requests at once", cxxopts::value(endpoint.slots))(
        "run-ms", "run time of a request in milliseconds", cxxopts::value(endpoint.runMs));
    if (!parseOptions(options, argc, argv))
        return exitUsage;
    Utils::Log::initialize({Utils::Log::Level::Info, "", endpoint.id, endpoint.zone});
    return runFakeEndpoint(endpoint);
}

auto runVersionCommand(int, char **) -> int
{
    std::cout << "trefoilshelf 0.1.0\n";
    return exitDone;
}

} // namespace App
