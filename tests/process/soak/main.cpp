// Runs soak tests of real processes with injected faults, one for each seed.
#include "soakrun.h"

#include <cxxopts.hpp>

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

// Reads one seed from each line; the rest of a line after # is a comment.
auto seedsIn(const std::string &path) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line.substr(0, line.find('#')));
        std::uint64_t seed = 0;
        if (words >> seed)
            seeds.push_back(seed);
    }
    return seeds;
}

auto runSeed(Soak::SoakOptions options, std::uint64_t seed, bool keeps) -> bool
{
    options.seed = seed;
    options.folder =
        std::filesystem::temp_directory_path()
        / ("trefoilshelf-soak-" + std::to_string(::getpid()) + '-' + std::to_string(seed));
    Soak::SoakRun soak(options);
    const auto violations = soak.run();
    std::cout << "seed " << seed << ": " << soak.guarantees().starts() << " starts, "
              << soak.guarantees().doneJobs() << " jobs done, " << violations.size()
              << " guarantees violated\n";
    for (const auto &text : violations)
        std::cout << "  " << text << '\n';
    if (violations.empty() && !keeps)
        std::filesystem::remove_all(options.folder);
    else
        std::cout << "  logs are in " << options.folder.string() << '\n';
    std::cout.flush();
    return violations.empty();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options(
        "soak", "soak test of real processes with random faults, one run for each seed");
    options.add_options()(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "count", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds-file", "file of seeds, replaces --seed and --count", cxxopts::value<std::string>())(
        "seconds", "seconds with faults", cxxopts::value<std::int64_t>()->default_value("20"))(
        "controls", "control processes", cxxopts::value<int>()->default_value("3"))(
        "entries", "entry processes", cxxopts::value<int>()->default_value("2"))(
        "endpoints", "stand-in endpoints", cxxopts::value<int>()->default_value("6"))(
        "jobs-per-s",
        "mean number of jobs submitted per second",
        cxxopts::value<std::int64_t>()->default_value("8"))("calm", "inject no faults")(
        "keep", "keep all logs")("h,help", "show this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        Soak::SoakOptions soak;
        soak.seconds = parsed["seconds"].as<std::int64_t>();
        soak.controls = parsed["controls"].as<int>();
        soak.entries = parsed["entries"].as<int>();
        soak.endpoints = parsed["endpoints"].as<int>();
        soak.jobsPerS = parsed["jobs-per-s"].as<std::int64_t>();
        soak.faults = parsed.count("calm") == 0;
        std::vector<std::uint64_t> seeds;
        for (std::uint64_t number = 0; number < parsed["count"].as<std::uint64_t>(); ++number)
            seeds.push_back(parsed["seed"].as<std::uint64_t>() + number);
        if (parsed.count("seeds-file") > 0)
            seeds = seedsIn(parsed["seeds-file"].as<std::string>());
        auto good = true;
        for (const auto seed : seeds)
            good = runSeed(soak, seed, parsed.count("keep") > 0) && good;
        return good ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n' << options.help();
        return 2;
    }
}
