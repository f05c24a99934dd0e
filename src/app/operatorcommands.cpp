#include "operatorcommands.h"

#include "commandline.h"
#include "operatorclient.h"
#include "tableprinter.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace App {
namespace {

/*! Common options and positional arguments of an operator command. */
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
                     std::initializer_list<std::string> extra,
                     std::initializer_list<std::string> flags = {}) -> std::optional<Invocation>
{
    cxxopts::Options options("trefoilshelf " + name, "Operator command.");
    options.add_options()("server",
                          "operators' listener as HOST:PORT, may be repeated",
                          cxxopts::value<std::vector<std::string>>())(
        "token-file", "file with the bearer token", cxxopts::value<std::string>())(
        "json", "print JSON")("words", "", cxxopts::value<std::vector<std::string>>());
    for (const auto &option : extra)
        options.add_options()(option, "", cxxopts::value<std::string>());
    for (const auto &flag : flags)
        options.add_options()(flag, "");
    options.parse_positional({"words"});
    try {
        Invocation invocation{{}, {}, options.parse(argc, argv)};
        if (invocation.options.count("words") > 0)
            invocation.words = invocation.options["words"].as<std::vector<std::string>>();
        invocation.connection.servers = {"127.0.0.1:7402"};
        if (invocation.options.count("server") > 0)
            invocation.connection.servers =
                invocation.options["server"].as<std::vector<std::string>>();
        if (const auto path = invocation.option("token-file"); !path.empty()) {
            const auto token = readFile(path);
            if (!token) {
                std::cerr << "cannot read the token file " << path << '\n';
                return std::nullopt;
            }
            invocation.connection.token = trimmed(*token);
        }
        return invocation;
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << '\n' << options.help();
        return std::nullopt;
    }
}

auto splitList(const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

auto printCommandError(const Utils::Error &error) -> int
{
    std::cerr << Utils::errorTypeName(error.type) << ": " << error.message;
    std::cerr << (error.details.empty() ? "" : ": ") << error.details << '\n';
    return exitRefused;
}

auto callAndPrint(const Invocation &invocation,
                  const OperatorCall &call,
                  const std::vector<std::string> &columns = {}) -> int
{
    const auto response = callOperator(invocation.connection, call);
    if (!response)
        return printCommandError(response.error());
    if (invocation.options.count("json") > 0)
        std::cout << response.value().dump(2) << '\n';
    else
        printReadable(std::cout, response.value(), columns);
    return exitDone;
}

auto usage(std::string_view text) -> int
{
    std::cerr << "usage: trefoilshelf " << text << '\n';
    return exitUsage;
}

// Returns the request field that names the object of an override action.
auto subjectField(const std::string &action) -> const char *
{
    if (action == "maintain-host" || action == "reassign-host")
        return "host";
    if (action == "requeue-job" || action == "fail-job")
        return "job";
    return action == "retire-process" ? "process" : "move";
}

} // namespace

auto runStatusCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("status", argc, argv, {});
    return invocation ? callAndPrint(*invocation, {"GET", "/v1/status", {}, {}}) : exitUsage;
}

auto runContractCommand(int argc, char **argv) -> int
{
    const auto invocation =
        parseInvocation("contract", argc, argv, {"if-revision"}, {"accept-warnings"});
    if (!invocation)
        return exitUsage;
    const auto verb = invocation->word(0);
    const auto subject = invocation->word(1);
    if (verb == "list")
        return callAndPrint(*invocation,
                            {"GET", "/v1/contracts", {}, {}},
                            {"customer", "disruption", "spare_hosts", "revision"});
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
    if (!json.value()["customer"].is_string())
        return usage("contract put FILE: the customer must be a string");
    const auto customer = json.value()["customer"].get<std::string>();
    const auto *accept =
        invocation->options.count("accept-warnings") > 0 ? "?accept_warnings=true" : "";
    return callAndPrint(*invocation,
                        {"PUT",
                         "/v1/contracts/" + customer + accept,
                         json.value().dump(),
                         invocation->option("if-revision")});
}

auto runPoolCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("pool", argc, argv, {"if-revision"});
    if (!invocation)
        return exitUsage;
    if (invocation->word(0) == "list")
        return callAndPrint(
            *invocation, {"GET", "/v1/pools", {}, {}}, {"pool", "spare", "objective", "revision"});
    if (invocation->word(0) != "put" || invocation->word(1).empty())
        return usage("pool put FILE | list");
    const auto text = readFile(invocation->word(1));
    const auto json = Utils::parseJsonText(text.value_or(""), true);
    if (!json || !json.value().is_object() || !json.value().contains("pool")
        || !json.value()["pool"].is_string())
        return usage("pool put FILE: the file is not a pool");
    return callAndPrint(*invocation,
                        {"PUT",
                         "/v1/pools/" + json.value()["pool"].get<std::string>(),
                         json.value().dump(),
                         invocation->option("if-revision")});
}

auto runVoterCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("voter", argc, argv, {"remove"});
    if (!invocation)
        return exitUsage;
    if (invocation->word(0) != "add" || invocation->word(3).empty())
        return usage("voter add ID ZONE ADDRESS [--remove ID]");
    const Utils::Json body{{"removed", invocation->option("remove")},
                           {"id", invocation->word(1)},
                           {"zone", invocation->word(2)},
                           {"address", invocation->word(3)}};
    return callAndPrint(*invocation, {"POST", "/v1/voters/replace", body.dump(), {}});
}

auto runHostCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("host", argc, argv, {});
    if (!invocation)
        return exitUsage;
    const auto verb = invocation->word(0);
    if (verb == "show" && !invocation->word(1).empty())
        return callAndPrint(*invocation, {"GET", "/v1/hosts/" + invocation->word(1), {}, {}});
    if (verb != "list")
        return usage("host list | show HOST");
    return callAndPrint(*invocation,
                        {"GET", "/v1/hosts", {}, {}},
                        {"id", "pool", "zone", "rack", "slots", "state", "move"});
}

auto runMaintenanceCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("maintenance", argc, argv, {"pool", "hosts"});
    if (!invocation)
        return exitUsage;
    const auto verb = invocation->word(0);
    const auto pool = invocation->option("pool");
    if (verb == "show")
        return callAndPrint(*invocation,
                            {"GET", "/v1/maintenance", {}, {}},
                            {"id", "pool", "paused", "hosts", "finished", "failed", "skipped"});
    if (verb == "pause" || verb == "resume") {
        const auto name = pool.empty() ? invocation->word(1) : pool;
        if (name.empty())
            return usage("maintenance " + verb + " WAVE | --pool POOL");
        return callAndPrint(*invocation, {"POST", "/v1/maintenance/" + name + '/' + verb, {}, {}});
    }
    if (verb != "start" || pool.empty())
        return usage("maintenance start --pool POOL [--hosts H1,H2] | show | pause | resume");
    const Utils::Json body{{"pool", pool}, {"hosts", splitList(invocation->option("hosts"))}};
    return callAndPrint(*invocation, {"POST", "/v1/maintenance", body.dump(), {}});
}

auto runMoveCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("move", argc, argv, {"if-revision"});
    if (!invocation)
        return exitUsage;
    const auto verb = invocation->word(0);
    if (verb == "list")
        return callAndPrint(*invocation,
                            {"GET", "/v1/moves", {}, {}},
                            {"id", "kind", "state", "host", "from_pool", "to_pool", "reason"});
    if ((verb != "approve" && verb != "reject") || invocation->word(1).empty())
        return usage("move list | approve ID | reject ID");
    return callAndPrint(*invocation,
                        {"POST",
                         "/v1/moves/" + invocation->word(1) + '/' + verb,
                         {},
                         invocation->option("if-revision")});
}

auto runOverrideCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("override", argc, argv, {"pool", "reason"});
    if (!invocation)
        return exitUsage;
    const auto action = invocation->word(0);
    const auto subject = invocation->word(1);
    const auto reason = invocation->option("reason");
    if (action.empty() || subject.empty() || reason.empty()) {
        return usage("override cancel-move|extend-drain|release-host MOVE --reason TEXT\n"
                     "       trefoilshelf override maintain-host HOST --reason TEXT\n"
                     "       trefoilshelf override reassign-host HOST --pool POOL --reason TEXT\n"
                     "       trefoilshelf override requeue-job|fail-job JOB --reason TEXT\n"
                     "       trefoilshelf override retire-process PROCESS --reason TEXT");
    }
    const Utils::Json body{{"action", action},
                           {subjectField(action), subject},
                           {"pool", invocation->option("pool")},
                           {"reason", reason}};
    return callAndPrint(*invocation, {"POST", "/v1/override", body.dump(), {}});
}

auto runExplainCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("explain", argc, argv, {});
    if (!invocation)
        return exitUsage;
    const auto subject = invocation->word(0);
    const auto path = subject.empty() ? std::string("/v1/explain") : "/v1/explain/" + subject;
    return callAndPrint(*invocation, {"GET", path, {}, {}});
}

auto runPlanCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("plan", argc, argv, {}, {"report", "csv"});
    if (!invocation)
        return exitUsage;
    if (invocation->options.count("json") > 0)
        return callAndPrint(*invocation, {"GET", "/v1/plan", {}, {}});
    const auto response = callOperator(invocation->connection, {"GET", "/v1/plan", {}, {}});
    if (!response)
        return printCommandError(response.error());
    printPlanReport(std::cout, response.value(), invocation->options.count("csv") > 0);
    return exitDone;
}

auto runAutonomyCommand(int argc, char **argv) -> int
{
    const auto invocation = parseInvocation("autonomy", argc, argv, {"pool"});
    if (!invocation)
        return exitUsage;
    const auto level = invocation->word(0);
    if (level.empty() || level == "show")
        return callAndPrint(*invocation, {"GET", "/v1/autonomy", {}, {}});
    if (level != "manual" && level != "guarded" && level != "full")
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
    return callAndPrint(*invocation,
                        {"GET", path, {}, {}},
                        {"revision", "time_ms", "actor", "command", "subject", "cause"});
}

} // namespace App
