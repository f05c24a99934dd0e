#pragma once

#include "execution/runledger.h"

#include <string>
#include <vector>

namespace ExecutionTest {

/*! \brief A ledger with endpoints and jobs whose looks and orders a test answers by hand. */
class LedgerFixture
{
public:
    static constexpr std::int64_t term = 7;

    LedgerFixture();

    auto addEndpoint(const std::string &id) -> Control::EndpointRecord;
    auto addJob(const std::string &id, const Jobs::StepSpec &step) -> Jobs::JobSpec;
    /*! \brief Notes durably that an earlier leader was about to start \a task there. */
    auto recordStart(const std::string &endpoint, const Jobs::TaskId &task) -> void;
    auto begin() -> void;
    auto advance(Utils::Milliseconds by) -> void { m_now += by; }

    /*! \brief Has the endpoint answer a look with these lists; returns what has to be logged. */
    auto look(const std::string &id,
              std::vector<Execution::RunningTask> running = {},
              std::vector<Execution::EndedTask> ended = {}) -> Execution::LookEffects;
    /*! \brief Has a look at the endpoint fail. */
    auto failLook(const std::string &id) -> void;
    auto lookAll() -> void;
    auto schedule() -> Execution::Orders;
    auto confirm(const Execution::StartOrder &order) -> void;
    auto acceptStop(const Execution::StopOrder &order) -> void;
    /*! \brief Applies the ends to the durable state and tells the ledger. */
    auto record(const Execution::LookEffects &effects) -> void;
    auto task(const std::string &job, std::int64_t index = 0) const -> Jobs::TaskId;

    Control::State state;
    Execution::RunLedger ledger{{}};

private:
    Utils::Instant m_now{Utils::Milliseconds(1'000'000)};
    std::int64_t m_wallMs = 1'700'000'000'000;
};

/*! \brief Returns a step of \a count tasks of one core. */
auto plainStep(std::int64_t count) -> Jobs::StepSpec;

/*! \brief Returns a step of \a count tasks that last, of which \a mayMiss may be away. */
auto lastingStep(std::int64_t count, std::int64_t mayMiss) -> Jobs::StepSpec;

} // namespace ExecutionTest
