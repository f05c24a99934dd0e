// Stand-ins for the second review: processes of the system, workers, the platform's machines, callers and
// the operator, and relays in front of core machines. All addresses are loopback addresses.
#pragma once

#include "asyncnet/connectionpool.h"
#include "asyncnet/httpclient.h"
#include "asyncnet/httplistener.h"
#include "asyncnet/task.h"
#include "asyncnet/tcpaddress.h"
#include "asyncnet/tcpsocket.h"
#include "utils/fields.h"

#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Rig {

using AsyncNet::Task;
using Utils::Json;
using Utils::Milliseconds;
namespace asio = AsyncNet::asio;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

/*! \brief The event loop, the clock and the record of a case. */
struct Context
{
    asio::io_context loop;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    std::ofstream recordFile;

    auto nowMs() const -> std::int64_t;
    auto record(const std::string &line) -> void;
};

/*! \brief A relay in front of one port of a core machine. Its open channels can go silent for good. */
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(Context &context, std::string address, std::string target);
    auto start() -> bool;
    auto port() const -> int;
    auto setTarget(std::string target) -> void { m_target = std::move(target); }
    /*! \brief Makes all open channels silent, without a reset. New ones work. Returns their number. */
    auto silenceOpenChannels() -> int;
    auto resetOpenChannels() -> void;
    /*!
        \brief Resets the channel of the first request for which \a chosen returns true, and keeps it.

        Only requests on a channel that has carried one before are asked about.
    */
    auto holdRequest(std::function<bool(const std::string &)> chosen) -> void;
    auto heldRequest() const -> const std::string & { return m_held; }
    /*! \brief Delivers a kept request to the target, and drops the response. */
    auto deliver(std::string request) -> Task<void>;
    /*! \brief Keeps the requests for which \a chosen returns true; their channels go silent. */
    auto keepUnanswered(std::function<bool(const std::string &)> chosen) -> void;
    auto keptRequests() const -> const std::vector<std::string> & { return m_kept; }

private:
    struct Pair
    {
        Pair(AsyncNet::TcpSocket accepted, asio::io_context &loop)
            : caller(std::move(accepted))
            , target(loop)
        {}
        AsyncNet::TcpSocket caller;
        AsyncNet::TcpSocket target;
        bool silent = false;
        int openEnds = 2;
        int requests = 0;
    };
    auto reset(Pair &pair) -> void;
    auto accept() -> Task<void>;
    auto serve(std::shared_ptr<Pair> pair) -> Task<void>;
    auto pump(std::shared_ptr<Pair> pair, bool requests) -> Task<void>;

    Context &m_context;
    std::string m_address;
    std::string m_target;
    AsyncNet::TcpAcceptor m_acceptor;
    std::vector<std::shared_ptr<Pair>> m_pairs;
    std::function<bool(const std::string &)> m_chosen;
    std::string m_held;
    std::function<bool(const std::string &)> m_unanswered;
    std::vector<std::string> m_kept;
};

/*! \brief A process of the system, started by a command of the deploy file. */
class Process
{
public:
    Process(Context &context, std::string role, Json settings, std::filesystem::path folder);
    ~Process();
    auto start() -> void;
    auto signal(int number) -> void;
    auto kill() -> void;
    auto id() const -> std::string { return m_settings["id"].get<std::string>(); }

private:
    Context &m_context;
    std::string m_role;
    Json m_settings;
    std::filesystem::path m_folder;
    int m_pid = 0;
};

/*! \brief What a worker decides about a run when it starts. */
struct RunPlan
{
    std::int64_t lastsMs = 1000;
    bool fails = false;
};

/*! \brief The parts of a request that a worker looks at. */
struct Order
{
    std::string target;
    std::string instance; //!< Expect-Instance; empty if there is none.
    std::string body;
};

/*! \brief A worker's listener. Unlike that of the project, it passes on a header. */
class OrderListener : public std::enable_shared_from_this<OrderListener>
{
public:
    using Handler = std::function<Task<AsyncNet::HttpResponse>(Order)>;

    OrderListener(Context &context, Handler handler);
    auto start() -> bool;
    /*! \brief Accepts no more, and resets all channels. */
    auto stop() -> void;
    auto port() const -> int;

private:
    using Socket = std::shared_ptr<AsyncNet::TcpSocket>;
    auto accept() -> Task<void>;
    auto serve(Socket socket) -> Task<void>;

    Context &m_context;
    Handler m_handler;
    AsyncNet::TcpAcceptor m_acceptor;
    std::vector<Socket> m_sockets;
    bool m_stopped = false;
};

/*! \brief A sound worker by the protocol page, but for what a case makes it do. */
class Worker : public std::enable_shared_from_this<Worker>
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string machine;
        std::int64_t cpu = 32'000;
        std::string rack = "r1";
        std::string address; //!< Where it is reached; by default, where it listens.
        std::vector<std::string> controls;
        std::int64_t firstPingMs = 0; //!< Time from its start to its first ping.
    };
    struct Run
    {
        std::int64_t number = 0;
        std::int64_t endsMs = 0;
        std::int64_t stopsMs = 0;
        bool fails = false;
    };

    Worker(Context &context, Options options, std::function<RunPlan(const std::string &)> plan);
    auto start() -> bool;
    /*! \brief Ends the worker without a word; its address answers nothing. */
    auto crashDark() -> void;
    /*! \brief Cuts the worker off from all machines; it runs on. */
    auto setCut(bool cut) -> void;
    auto setDraining() -> void;
    /*! \brief Deregisters the worker and ends it. */
    auto leave() -> Task<void>;
    /*! \brief Ends the worker; its channels are reset. */
    auto crash() -> void;
    auto isUp() const -> bool { return m_up; }
    auto bornMs() const -> std::int64_t { return m_bornMs; }
    auto sequence() const -> std::int64_t { return m_sequence; }
    auto drainingAcknowledgedMs() const -> std::int64_t { return m_drainingAcknowledgedMs; }
    auto listensOn() const -> std::string;
    auto isDrainingAcknowledged() const -> bool { return m_drainingAcknowledgedMs != 0; }
    auto runs() const -> const std::map<std::string, Run> & { return m_runs; }
    auto options() const -> const Options & { return m_options; }

    std::map<std::string, std::int64_t> startsOf;       //!< Starts by task.
    std::map<std::string, std::int64_t> lastStartMsOf; //!< Time of the last start by task.
    std::map<std::string, std::int64_t> failedRunsOf;
    std::map<std::string, std::int64_t> doneNotedMsOf; //!< When `last_seen` has reached an end `done`.

private:
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };
    auto nowMs() const -> std::int64_t;
    auto handle(Order order) -> Task<AsyncNet::HttpResponse>;
    auto startRun(const Json &body) -> AsyncNet::HttpResponse;
    auto stopRun(const Json &body) -> AsyncNet::HttpResponse;
    auto hold(Json body) -> Task<AsyncNet::HttpResponse>;
    auto lists() const -> AsyncNet::HttpResponse;
    auto endRun(const std::string &task, const std::string &how) -> void;
    auto endDueRuns() -> void;
    auto work() -> Task<void>;
    auto announce() -> Task<void>;

    Context &m_context;
    Options m_options;
    std::function<RunPlan(const std::string &)> m_plan;
    std::shared_ptr<OrderListener> m_listener;
    AsyncNet::HttpClient m_client;
    AsyncNet::Signal m_ended;
    std::string m_address;
    std::int64_t m_bornMs;
    std::int64_t m_startedMs;
    bool m_up = true;
    bool m_cut = false;
    bool m_draining = false;
    std::int64_t m_drainingAcknowledgedMs = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEndMs = 0;
    std::int64_t m_ends = 0;
    std::int64_t m_sequence = 0;
    std::string m_preferred;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_highest;
    std::deque<End> m_unseen;
};

/*! \brief One machine in the platform's list. */
struct Machine
{
    std::string name;
    std::string pool;
    std::string state = "up";
    std::string endpoint;
    std::string listedAs; //!< The state that the list shows instead; empty if it shows the true one.
    std::set<std::int64_t> upkeeps; //!< Waves for which its upkeep has begun.
    std::int64_t backMs = 0;
};

/*! \brief The platform's list of machines and its orders for them. */
class Machines
{
public:
    explicit Machines(Context &context);
    auto start() -> bool;
    auto address() const -> std::string;
    std::map<std::string, Machine> all;
    //! Called when an upkeep begins on a machine, and when the machine is back.
    std::function<void(const std::string &)> upkeepBegins;
    std::function<void(const std::string &)> isBack;

private:
    auto handle(AsyncNet::HttpRequest request) -> Task<AsyncNet::HttpResponse>;

    Context &m_context;
    AsyncNet::HttpListener m_listener;
};

/*! \brief A small deployment: core machines behind relays, entry machines, the platform. */
class Deployment
{
public:
    Deployment(Context &context, Machines &machines, std::filesystem::path folder);
    ~Deployment();
    auto start(int controls, int entries) -> bool;

    /*! \brief Sends a request to the operator's interface, to any node, again until \a untilMs. */
    auto callControl(AsyncNet::HttpRequest request, std::int64_t untilMs)
        -> Task<std::optional<AsyncNet::HttpResponse>>;
    /*! \brief Sends one request of a client to an entry machine. */
    auto callEntry(int entry, const std::string &method, const std::string &path, std::string body)
        -> Task<std::optional<AsyncNet::HttpResponse>>;
    /*! \brief Hands a job in as a client does: the same request again after no clear answer, or a refusal. */
    auto submit(const std::string &path, const Json &job, std::int64_t untilMs) -> Task<bool>;
    /*! \brief Returns the index of the core machine that leads, by its redirects; -1 if none. */
    auto leader() -> Task<int>;

    auto controlAddresses() const -> const std::vector<std::string> & { return m_controlAddresses; }
    auto control(int index) -> Process & { return *m_controls[std::size_t(index)]; }
    auto controls() const -> int { return int(m_controls.size()); }
    auto entries() const -> int { return int(m_entries.size()); }
    /*! \brief Makes the open channels between core machines silent. Returns their number. */
    auto silenceCoreChannels() -> int;

private:
    auto add(const std::string &role, int index, int controls) -> bool;

    Context &m_context;
    Machines &m_machines;
    std::filesystem::path m_folder;
    std::string m_network;
    int m_subnet = 0;
    AsyncNet::HttpClient m_client;
    std::vector<std::unique_ptr<Process>> m_controls;
    std::vector<std::unique_ptr<Process>> m_entries;
    std::vector<std::string> m_controlAddresses;
    std::vector<std::string> m_entryAddresses;
    std::vector<std::shared_ptr<Relay>> m_relays;
    std::vector<std::shared_ptr<Relay>> m_coreRelays;
};

/*! \brief Returns a manifest with the queues /work/ and /desk/, each with a service of its own. */
auto manifest(std::int64_t version) -> Json;
/*! \brief Returns a job of one step of \a count tasks. */
auto jobOf(int count, std::int64_t cpu, std::int64_t estimateMs) -> Json;
auto jobId(int number) -> std::string;

} // namespace Rig
