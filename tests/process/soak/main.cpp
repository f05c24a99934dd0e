// Plays soaks of real processes under faults, one for each seed.
#include "soakrun.h"

#include <cxxopts.hpp>

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

// Lines are "SEED  what it showed"; the rest of a line after # is a comment.
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

auto playSeed(Soak::SoakOptions options, std::uint64_t seed, bool keeps) -> bool
{
    options.seed = seed;
    options.folder =
        std::filesystem::temp_directory_path()
        / ("trefoilshelf-soak-" + std::to_string(::getpid()) + '-' + std::to_string(seed));
    Soak::SoakRun run(options);
    const auto broken = run.play();
    std::cout << "seed " << seed << ": " << run.promises().starts() << " starts, "
              << run.promises().doneJobs() << " jobs done, " << broken.size()
              << " promises broken\n";
    for (const auto &text : broken)
        std::cout << "  " << text << '\n';
    if (broken.empty() && !keeps)
        std::filesystem::remove_all(options.folder);
    else
        std::cout << "  logs are in " << options.folder.string() << '\n';
    std::cout.flush();
    return broken.empty();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("soak", "real processes under random faults, one soak for each seed");
    options.add_options()(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "count", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds-file", "file of seeds, in place of the two", cxxopts::value<std::string>())(
        "seconds", "time with faults", cxxopts::value<std::int64_t>()->default_value("20"))(
        "controls", "control processes", cxxopts::value<int>()->default_value("3"))(
        "entries", "entry processes", cxxopts::value<int>()->default_value("2"))(
        "endpoints", "stand-in endpoints", cxxopts::value<int>()->default_value("6"))(
        "jobs-per-s", "jobs handed in", cxxopts::value<std::int64_t>()->default_value("8"))(
        "calm", "without faults")("keep", "keep all logs")("h,help", "show this help");
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
            good = playSeed(soak, seed, parsed.count("keep") > 0) && good;
        return good ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n' << options.help();
        return 2;
    }
}
