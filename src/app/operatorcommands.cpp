#include "operatorcommands.h"

#include "commandline.h"
#include "operatorclient.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace App {
namespace {

/*! An operator command's common options and its positional words. */
struct Invocation
{
    OperatorConnection connection;
    std::vector<std::string> words;
    cxxopts::ParseResult options;

    auto word(std::size_t index) const -> std::string
    {
        return index < words.size() ? words[index] : std::string();
    }
    auto option(const std::string &name) const -> std::string
    {
        return options.count(name) > 0 ? options[name].as<std::string>() : std::string();
    }
};

auto readFile(const std::string &path) -> std::optional<std::string>
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto trimmed(std::string text) -> std::string
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
        text.pop_back();
    return text;
}

auto parseInvocation(const std::string &name,
                     int argc,
                     char **argv,
                     std::initializer_list<std::string> extra) -> std::optional<Invocation>
{
    cxxopts::Options options("trefoilshelf " + name, "Operator command.");
    options.add_options()("server",
                          "operators' listener as HOST:PORT, may be repeated",
                          cxxopts::value<std::vector<std::string>>())(
        "token-file", "file with the bearer token", cxxopts::value<std::string>())(
        "json", "print JSON")("words", "", cxxopts::value<std::vector<std::string>>());
    for (const auto &option : extra)
        options.add_options()(option, "", cxxopts::value<std::string>());
    options.parse_positional({"words"});
    try {
        Invocation invocation{{}, {}, options.parse(argc, argv)};
        if (invocation.options.count("words") > 0)
            invocation.words = invocation.options["words"].as<std::vector<std::string>>();
        invocation.connection.servers = {"127.0.0.1:7402"};
        if (invocation.options.count("server") > 0)
            invocation.connection.servers =
                invocation.options["server"].as<std::vector<std::string>>();
        if (const auto path = invocation.option("token-file"); !path.empty())
            invocation.connection.token = trimmed(readFile(path).value_or(""));
        return invocation;
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << '\n' << options.help();
        return std::nullopt;
    }
}

auto callAndPrint(const Invocation &invocation, const OperatorCall &call) -> int
{
    const auto answer = callOperator(invocation.connection, call);
    if (!answer) {
        const auto &error = answer.error();
        std::cerr << Utils::errorTypeName(error.type) << ": " << error.message;
        std::cerr << (error.details.empty() ? "" : ": ") << error.details << '\n';
        return exitRefused;
    }
    std::cout << answer.value().dump(2) << '\n';
    return exitDone;
}

auto usage(std::string_view text) -> int
{
    std::cerr << "usage: trefoilshelf " << text << '\n';
    return exitUsage;
}

} // namespace

auto runStatusCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("status", argc, argv, {});
    return invocation ? callAndPrint(*invocation, {"GET", "/v1/status", {}, {}}) : exitUsage;
}

auto runContractCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("contract", argc, argv, {"if-revision"});
    if (!invocation)
        return exitUsage;
    const auto verb = invocation->word(0);
    const auto subject = invocation->word(1);
    if (verb == "list")
        return callAndPrint(*invocation, {"GET", "/v1/contracts", {}, {}});
    if (verb == "get" && !subject.empty())
        return callAndPrint(*invocation, {"GET", "/v1/contracts/" + subject, {}, {}});
    if (verb != "put" || subject.empty())
        return usage("contract put FILE | get CUSTOMER | list");
    const auto text = readFile(subject);
    if (!text)
        return usage("contract put FILE: cannot read " + subject);
    const auto json = Utils::parseJsonText(*text, true);
    if (!json || !json.value().contains("customer"))
        return usage("contract put FILE: the file is not a contract");
    const auto customer = json.value()["customer"].get<std::string>();
    return callAndPrint(*invocation,
                        {"PUT",
                         "/v1/contracts/" + customer,
                         json.value().dump(),
                         invocation->option("if-revision")});
}

auto runHostCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("host", argc, argv, {});
    return invocation ? callAndPrint(*invocation, {"GET", "/v1/hosts", {}, {}}) : exitUsage;
}

auto runMaintenanceCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("maintenance", argc, argv, {"pool"});
    if (!invocation)
        return exitUsage;
    if (invocation->word(0) == "show")
        return callAndPrint(*invocation, {"GET", "/v1/maintenance", {}, {}});
    if (invocation->word(0) != "start" || invocation->option("pool").empty())
        return usage("maintenance start --pool POOL | show");
    const Utils::Json body{{"pool", invocation->option("pool")}};
    return callAndPrint(*invocation, {"POST", "/v1/maintenance", body.dump(), {}});
}

auto runMoveCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("move", argc, argv, {});
    if (!invocation)
        return exitUsage;
    const auto verb = invocation->word(0);
    if (verb == "list")
        return callAndPrint(*invocation, {"GET", "/v1/moves", {}, {}});
    if ((verb != "approve" && verb != "reject") || invocation->word(1).empty())
        return usage("move list | approve ID | reject ID");
    return callAndPrint(*invocation,
                        {"POST", "/v1/moves/" + invocation->word(1) + '/' + verb, {}, {}});
}

auto runAutonomyCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("autonomy", argc, argv, {"pool"});
    if (!invocation)
        return exitUsage;
    if (invocation->word(0).empty())
        return usage("autonomy manual|guarded|full [--pool POOL]");
    const Utils::Json body{{"level", invocation->word(0)}, {"pool", invocation->option("pool")}};
    return callAndPrint(*invocation, {"PUT", "/v1/autonomy", body.dump(), {}});
}

auto runAuditCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("audit", argc, argv, {"since", "customer", "host"});
    if (!invocation)
        return exitUsage;
    std::string path = "/v1/audit?";
    for (const auto *name : {"since", "customer", "host"}) {
        if (const auto value = invocation->option(name); !value.empty())
            path += std::string(name) + '=' + value + '&';
    }
    return callAndPrint(*invocation, {"GET", path, {}, {}});
}

} // namespace App
