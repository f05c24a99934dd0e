#include "jobinterface.h"

#include <httplib.h>

namespace Entry {
namespace {

using Utils::ErrorType;
using Utils::Json;

constexpr auto jobPattern = R"(/v1/jobs/([^/]+))";
constexpr auto statusAccepted = 202;
constexpr auto statusOk = 200;
constexpr std::int64_t defaultLeaseMs = 30'000;
constexpr Utils::Range leaseRange{1000, 3'600'000};
constexpr std::size_t digestLength = 32;

struct JobRequest
{
    std::string customer; //!< Used if the header Trefoilshelf-Customer is missing.
    std::string service;
    std::string path = "/";
    std::string body;
    bool idempotent = false;
};

struct StartRequest
{
    std::string service;
    std::string host;
    std::int64_t leaseMs = defaultLeaseMs;
};

struct CheckpointRequest
{
    std::int64_t attempt = 0;
    std::string checkpoint;
    std::int64_t leaseMs = defaultLeaseMs;
};

struct CommitRequest
{
    std::int64_t attempt = 0;
    Fleet::JobOutcome outcome = Fleet::JobOutcome::Done;
    std::string answer;
    std::string contentType = "text/plain";
};

template <typename Archive>
auto describe(Archive &archive, JobRequest &request) -> void
{
    archive.optional("customer", request.customer);
    archive.required("service", request.service);
    archive.optional("path", request.path);
    archive.optional("body", request.body);
    archive.optional("idempotent", request.idempotent);
}

template <typename Archive>
auto describe(Archive &archive, StartRequest &request) -> void
{
    archive.optional("service", request.service);
    archive.required("host", request.host);
    archive.optional("lease_ms", request.leaseMs, leaseRange);
}

template <typename Archive>
auto describe(Archive &archive, CheckpointRequest &request) -> void
{
    archive.required("attempt", request.attempt);
    archive.optional("checkpoint", request.checkpoint);
    archive.optional("lease_ms", request.leaseMs, leaseRange);
}

template <typename Archive>
auto describe(Archive &archive, CommitRequest &request) -> void
{
    archive.required("attempt", request.attempt);
    archive.optional("outcome", request.outcome);
    archive.optional("answer", request.answer);
    archive.optional("content_type", request.contentType);
}

auto customerView(const Fleet::Job &job) -> Json
{
    Json view{{"id", job.id},
              {"service", job.service},
              {"state", std::string(Utils::nameOf(job.state))},
              {"attempt", job.attempt},
              {"detail", job.detail}};
    if (job.answer) {
        view["answer"] = job.answer->body.data;
        view["content_type"] = job.answer->contentType;
    }
    return view;
}

auto workerView(const Fleet::Job &job, std::int64_t leaseMs) -> Json
{
    return {{"id", job.id},
            {"customer", job.customer},
            {"service", job.service},
            {"path", job.path},
            {"body", job.body.data},
            {"idempotent", job.idempotent},
            {"attempt", job.attempt},
            {"checkpoint", job.checkpoint.data},
            {"lease_ms", leaseMs}};
}

} // namespace

JobInterface::JobInterface(HttpServer &callers, HttpServer &workers, JobContext context)
    : m_context(std::move(context))
{
    const auto route = [this](Handler handler) {
        return [this, handler](const httplib::Request &http, httplib::Response &response) {
            handle(handler, http, response);
        };
    };
    callers.routes()
        .Post("/v1/jobs", route(&JobInterface::submit))
        .Get(jobPattern, route(&JobInterface::show))
        .Delete(jobPattern, route(&JobInterface::cancel));
    workers.routes()
        .Post(R"(/v1/jobs/([^/]+)/start)", route(&JobInterface::start))
        .Post(R"(/v1/jobs/([^/]+)/checkpoint)", route(&JobInterface::checkpoint))
        .Post(R"(/v1/jobs/([^/]+)/commit)", route(&JobInterface::commit));
}

auto JobInterface::handle(Handler handler,
                          const httplib::Request &http,
                          httplib::Response &response) -> void
{
    const auto result = (this->*handler)(http);
    if (!result) {
        setError(response, result.error());
        return;
    }
    setJson(response, result.value());
    response.status = handler == &JobInterface::submit ? statusAccepted : statusOk;
}

auto JobInterface::execute(std::string cause, Fleet::CommandBody body)
    -> Utils::Result<Fleet::CommandResult>
{
    return m_context.gateway.execute(std::move(body),
                                     {m_context.processId, std::move(cause), {}, {}});
}

auto JobInterface::findJob(const std::string &id) const -> Utils::Result<Fleet::Job>
{
    return m_context.replica.read([&](const Fleet::State &state) -> Utils::Result<Fleet::Job> {
        const auto *job = state.jobs().find(id);
        if (!job)
            return Utils::failure(ErrorType::NotFound, "unknown job", id);
        return *job;
    });
}

auto JobInterface::submit(const httplib::Request &http) -> Utils::Result<Json>
{
    BOOST_OUTCOME_TRY(request, Utils::fromJsonText<JobRequest>(http.body));
    const auto key = http.get_header_value("Idempotency-Key");
    Fleet::SubmitJob command;
    command.limit = m_context.jobLimit;
    auto &job = command.job;
    job.customer = http.has_header("Trefoilshelf-Customer")
                       ? http.get_header_value("Trefoilshelf-Customer")
                       : request.customer;
    job.service = request.service;
    job.path = request.path;
    job.body.data = request.body;
    job.idempotent = request.idempotent;
    job.fingerprint = Utils::sha256Hex(http.body);
    // The id is derived from the idempotency key, so that a resent request names the same job.
    job.id = key.empty()
                 ? m_context.ids.next("job")
                 : "job-" + Utils::sha256Hex(job.customer + '\n' + key).substr(0, digestLength);
    const auto id = job.id;
    BOOST_OUTCOME_TRY(result, execute("job " + id, std::move(command)));
    return Json{{"id", id}, {"state", result.value.value("state", "queued")}};
}

auto JobInterface::show(const httplib::Request &http) -> Utils::Result<Json>
{
    BOOST_OUTCOME_TRY(job, findJob(http.matches[1].str()));
    if (job.customer != http.get_header_value("Trefoilshelf-Customer"))
        return Utils::failure(ErrorType::NotFound, "unknown job", job.id);
    return customerView(job);
}

auto JobInterface::cancel(const httplib::Request &http) -> Utils::Result<Json>
{
    const auto id = http.matches[1].str();
    Fleet::CancelJob command{id, http.get_header_value("Trefoilshelf-Customer")};
    BOOST_OUTCOME_TRY(result, execute("job " + id, std::move(command)));
    return Json{{"id", id}, {"state", result.value.value("state", "cancelled")}};
}

auto JobInterface::start(const httplib::Request &http) -> Utils::Result<Json>
{
    BOOST_OUTCOME_TRY(request, Utils::fromJsonText<StartRequest>(http.body));
    const auto id = http.matches[1].str();
    Fleet::StartJob command{id == "next" ? std::string() : id,
                            request.service,
                            request.host,
                            request.leaseMs,
                            http.get_header_value("Trefoilshelf-Command-Id")};
    BOOST_OUTCOME_TRY(result, execute("asked by host " + request.host, std::move(command)));
    BOOST_OUTCOME_TRY(job, findJob(result.subject));
    const auto attempt = result.value.value("attempt", std::int64_t{0});
    if (job.state != Fleet::JobState::Running || job.attempt != attempt)
        return Utils::failure(ErrorType::Conflict, "the attempt has ended", job.id);
    return workerView(job, request.leaseMs);
}

auto JobInterface::checkpoint(const httplib::Request &http) -> Utils::Result<Json>
{
    BOOST_OUTCOME_TRY(request, Utils::fromJsonText<CheckpointRequest>(http.body));
    const auto id = http.matches[1].str();
    Fleet::CheckpointJob command{id, request.attempt, request.leaseMs, {request.checkpoint}};
    BOOST_OUTCOME_TRY(execute("job " + id, std::move(command)));
    return Json{{"id", id}, {"lease_ms", request.leaseMs}};
}

auto JobInterface::commit(const httplib::Request &http) -> Utils::Result<Json>
{
    BOOST_OUTCOME_TRY(request, Utils::fromJsonText<CommitRequest>(http.body));
    const auto id = http.matches[1].str();
    Fleet::FinishJob command{id, request.attempt, request.outcome, {}};
    command.answer.status = statusOk;
    command.answer.contentType = request.contentType;
    command.answer.body.data = request.answer;
    BOOST_OUTCOME_TRY(result, execute("job " + id, std::move(command)));
    return Json{{"id", id}, {"state", result.value.value("state", "committed")}};
}

} // namespace Entry
