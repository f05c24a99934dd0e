#include "log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>

namespace Utils::Log {
namespace {

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::synchronous_sink<Backend>;

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

struct State
{
    Options options;
    boost::shared_ptr<Sink> sink;
};

auto state() -> State &
{
    static State instance;
    return instance;
}

auto openStream(const Options &options) -> boost::shared_ptr<std::ostream>
{
    if (options.file.empty())
        return {options.toStandardOutput ? &std::cout : &std::clog, [](std::ostream *) {}};
    auto file = boost::make_shared<std::ofstream>(options.file, std::ios::app);
    if (*file)
        return file;
    std::clog << "cannot open the log file; logging to standard error\n";
    return {&std::clog, [](std::ostream *) {}};
}

auto rfc3339Time(std::chrono::system_clock::time_point time) -> std::string
{
    constexpr std::size_t longestTime = 40;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(time - seconds).count();
    const auto calendarTime = std::chrono::system_clock::to_time_t(seconds);
    std::tm utc{};
    gmtime_r(&calendarTime, &utc);
    std::array<char, longestTime> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    const auto fraction = std::to_string(1000 + milliseconds).substr(1);
    return std::string(text.data(), length) + '.' + fraction + 'Z';
}

auto addField(nlohmann::ordered_json &line, const Field &field) -> void
{
    std::visit([&](const auto &value) { line[std::string(field.key)] = value; }, field.value);
}

} // namespace

auto levelFromName(std::string_view name) -> std::optional<Level>
{
    const auto found = std::ranges::find(levelNames, name);
    if (found == levelNames.end())
        return std::nullopt;
    return Level(found - levelNames.begin());
}

auto initialize(const Options &options) -> void
{
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(openStream(options));
    backend->auto_flush(true);
    auto &current = state();
    const auto core = boost::log::core::get();
    if (current.sink)
        core->remove_sink(current.sink);
    current.options = options;
    current.sink = boost::make_shared<Sink>(backend);
    core->add_sink(current.sink);
}

auto write(Level level,
           std::string_view component,
           std::string_view message,
           std::initializer_list<Field> fields) -> void
{
    const auto &current = state();
    if (!current.sink || level < current.options.level)
        return;
    nlohmann::ordered_json line;
    line["time"] = rfc3339Time(std::chrono::system_clock::now());
    line["level"] = levelNames.at(std::size_t(level));
    line["process"] = current.options.process;
    line["zone"] = current.options.zone;
    line["component"] = component;
    line["message"] = message;
    for (const auto &field : fields)
        addField(line, field);
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Utils::Log
