#pragma once

#include "../soak/standinendpoint.h"
#include "../soak/systemprocess.h"

/*! \brief Three control processes and one entry process on loopback addresses of their own. */
class SmallSystem
{
public:
    //! Number of endpoints, i-0 and so on, that the platform lists.
    static constexpr int endpoints = 8;

    explicit SmallSystem(Soak::SoakContext &context);
    ~SmallSystem();
    SmallSystem(const SmallSystem &) = delete;
    auto operator=(const SmallSystem &) -> SmallSystem & = delete;

    auto start() -> void;
    /*! \brief Hands in a configuration until it is accepted; returns false after 20 s. */
    auto configure() -> AsyncNet::Task<bool>;
    /*! \brief Hands in a job until it is accepted; returns false after 20 s. */
    auto submit(std::string id, Utils::Json job) -> AsyncNet::Task<bool>;
    /*! \brief Kills the control process that leads, and starts it again after \a pause. */
    auto killLeader(Utils::Milliseconds pause) -> AsyncNet::Task<void>;
    auto controls() const -> const std::vector<std::string> & { return m_controls; }

private:
    auto add(const std::string &role, int index) -> void;
    auto call(std::string address, std::string method, std::string target, std::string body)
        -> AsyncNet::Task<int>;
    auto repeat(std::vector<std::string> addresses,
                std::string method,
                std::string target,
                std::string body) -> AsyncNet::Task<bool>;
    static auto serveHosts() -> AsyncNet::Task<AsyncNet::HttpResponse>;

    Soak::SoakContext &m_context;
    AsyncNet::HttpListener m_hosts;
    AsyncNet::HttpClient m_client;
    std::string m_network; //!< First three numbers of the IP addresses, with the dots.
    std::filesystem::path m_folder;
    std::vector<std::string> m_controls;
    std::vector<std::string> m_entries;
    std::vector<std::unique_ptr<Soak::SystemProcess>> m_processes; //!< Control processes first.
};
