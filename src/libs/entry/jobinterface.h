#pragma once

#include "httpserver.h"

#include "fleet/gateway.h"
#include "fleet/replica.h"

namespace Entry {

/*! \brief Dependencies of JobInterface. */
struct JobContext
{
    const Fleet::Replica &replica;
    Fleet::Gateway &gateway;
    Utils::IdGenerator &ids;
    std::string processId;
    std::int64_t jobLimit = 100'000;
};

/*!
    \brief Serves deferred jobs: customers submit, query and cancel them; workers run them.

    Status 202 confirms a job only after the job has been committed to the replicated log.
*/
class JobInterface
{
public:
    JobInterface(HttpServer &callers, HttpServer &workers, JobContext context);

private:
    using Handler = auto(JobInterface::*)(const httplib::Request &) -> Utils::Result<Utils::Json>;

    auto handle(Handler handler, const httplib::Request &http, httplib::Response &response) -> void;
    auto submit(const httplib::Request &http) -> Utils::Result<Utils::Json>;
    auto show(const httplib::Request &http) -> Utils::Result<Utils::Json>;
    auto cancel(const httplib::Request &http) -> Utils::Result<Utils::Json>;
    auto start(const httplib::Request &http) -> Utils::Result<Utils::Json>;
    auto checkpoint(const httplib::Request &http) -> Utils::Result<Utils::Json>;
    auto commit(const httplib::Request &http) -> Utils::Result<Utils::Json>;

    auto execute(std::string cause, Fleet::CommandBody body) -> Utils::Result<Fleet::CommandResult>;
    auto findJob(const std::string &id) const -> Utils::Result<Fleet::Job>;

    JobContext m_context;
};

} // namespace Entry
